package relay

import (
	"net"
	"sync"
	"testing"
	"time"

	"clementinetray/server/blackboard"
)

// Guards against Close that returns while the goroutine of a connection begins that was accepted at the same moment; the race detector
// reports it.
func TestCloseWaitsForConnectionsBeingAccepted(t *testing.T) {
	for i := range 300 {
		board := blackboard.New()
		dialer, err := NewDialer(Config{Instance: "e1", Board: board})
		if err != nil {
			t.Fatal(err)
		}
		s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Board: board, Dialer: dialer, MaxConnections: 2})
		if err != nil {
			t.Fatal(err)
		}
		var serving sync.WaitGroup
		serving.Go(func() { _ = s.Serve() })
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i) * time.Microsecond)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		serving.Wait()
		if open := len(s.open); open != 0 {
			t.Fatalf("%d connections are open after Close", open)
		}
	}
}
