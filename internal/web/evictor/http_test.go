package evictor

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// TestBoundKeepsConnContext guards against a server whose own ConnContext is lost, and against connections that hide the kernel's
// figures: then the way to the client is not known.
func TestBoundKeepsConnContext(t *testing.T) {
	type key struct{}
	var got any
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Context().Value(key{}) }))
	srv.Config.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, key{}, nc) }
	g := New(1<<20, hclog.NewNullLogger(), prometheus.NewRegistry()).Group("test", 10, func() Limits { return Limits{IdleTimeout: time.Second} })
	g.Bound(srv.Config)
	srv.Listener = g.Listener(srv.Listener)
	srv.Start()
	defer srv.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	res, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	sc, ok := got.(syscall.Conn)
	if !ok {
		t.Fatalf("connection in the context is %T, want a syscall.Conn", got)
	}
	if _, err := sc.SyscallConn(); err != nil {
		t.Error(err)
	}
}
