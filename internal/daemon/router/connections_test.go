package router

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// assertActive waits until the number of connections with a request is n.
func assertActive(t *testing.T, a *activeConns, n int) {
	t.Helper()
	const waitLimit = 20 * time.Second
	deadline := time.Now().Add(waitLimit)
	for a.count() != n {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections with a request, want %d", a.count(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestActiveConns checks that a connection counts while it has a request, and not before or after.
func TestActiveConns(t *testing.T) {
	a := newActiveConns()
	release := make(chan struct{})
	srv := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         a.track,
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
	}
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	assertActive(t, a, 1)
	close(release)
	assertActive(t, a, 0)
}
