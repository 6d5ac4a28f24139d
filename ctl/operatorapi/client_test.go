package operatorapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"clementinetray/ctl/operatorapi"
)

// Guards against a command that never ends: reads after a protocol switch, by a proxy in front of the API, end with no context.
func TestCallEndsAfterAProtocolSwitch(t *testing.T) {
	end := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n")
		<-end
	}))
	defer server.Close()
	defer close(end)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- operatorapi.New([]string{server.URL}, "token").Call(ctx, http.MethodGet, "/v1/status", nil, new(any))
	}()
	select {
	case err := <-ended:
		if !operatorapi.ErrUnreachable.Has(err) {
			t.Errorf("%v, want an unreachable API", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the call has not ended")
	}
}
