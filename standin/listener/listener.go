// Package listener runs the HTTP server of a stand-in, which can be killed and restarted at the same address.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("listener")

// Listener is an HTTP server that can be killed and restarted.
type Listener struct {
	handler http.Handler

	mu      sync.Mutex // guards the fields below
	address string
	server  *http.Server
}

// Start serves handler on address, a host:port. Port 0 picks a free port, which restarts reuse.
func Start(address string, handler http.Handler) (*Listener, error) {
	l := &Listener{handler: handler, address: address}
	return l, l.Restart()
}

// Address returns the host:port that the server listens on. It stays the same after Kill and Restart.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Restart starts the server again after Kill, at the same address.
func (l *Listener) Restart() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var config net.ListenConfig
	netListener, err := config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return Error.Wrap(err)
	}
	l.address = netListener.Addr().String()
	l.server = &http.Server{Handler: l.handler}
	go func(s *http.Server) { _ = s.Serve(netListener) }(l.server)
	return nil
}

// Kill closes the listener and all connections at once, as a killed process would.
func (l *Listener) Kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		_ = l.server.Close()
		l.server = nil
	}
}
