package tcpinfo

import (
	"net"
	"testing"
	"time"
)

// Guards against connections that count as open, or as ended, against what the other end did.
func TestHasEnded(t *testing.T) {
	cases := []struct {
		desc string
		act  func(client *net.TCPConn)
		want bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"unread bytes", func(c *net.TCPConn) { _, _ = c.Write([]byte("unread")) }, false},
		{"closed", func(c *net.TCPConn) { _ = c.Close() }, true},
		{"closed behind unread bytes", func(c *net.TCPConn) { _, _ = c.Write([]byte("unread")); _ = c.Close() }, true},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			server, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			c.act(client.(*net.TCPConn))
			for end := time.Now().Add(time.Second); HasEnded(server) != c.want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := HasEnded(server); got != c.want {
				t.Errorf("ended %t, want %t", got, c.want)
			}
		})
	}
	near, far := net.Pipe()
	defer far.Close()
	if HasEnded(near) {
		t.Error("a connection of which the kernel knows nothing counts as ended")
	}
}
