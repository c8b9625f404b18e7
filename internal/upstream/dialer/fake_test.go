package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// fakeUpstream is an upstream on in-memory connections.
type fakeUpstream struct {
	http.Handler
	conns    chan net.Conn
	done     chan struct{}
	dialTime time.Duration
	mu       sync.Mutex
	dialled  []*silenceableConn
	closed   map[Cause]int
}

// silenceableConn is a connection that can discard written bytes without being closed.
type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

func (d *silenceableConn) Write(p []byte) (int, error) {
	if d.silent.Load() {
		return len(p), nil
	}
	return d.Conn.Write(p)
}

func newFakeUpstream(t testing.TB, h http.HandlerFunc) *fakeUpstream {
	t.Helper()
	f := &fakeUpstream{Handler: h, conns: make(chan net.Conn), done: make(chan struct{}), closed: make(map[Cause]int)}
	srv := &http.Server{Handler: f, Protocols: &http.Protocols{}}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(f) }()
	t.Cleanup(func() { _ = srv.Close() })
	return f
}

func (f *fakeUpstream) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *fakeUpstream) Close() error {
	close(f.done)
	return nil
}

func (f *fakeUpstream) Addr() net.Addr {
	return &net.TCPAddr{}
}

func (f *fakeUpstream) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(f.dialTime)
	near, far := net.Pipe()
	d := &silenceableConn{Conn: near}
	f.mu.Lock()
	f.dialled = append(f.dialled, d)
	f.mu.Unlock()
	select {
	case f.conns <- far:
		return d, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *fakeUpstream) Opened() {}

func (f *fakeUpstream) Closed(c Cause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[c]++
}

// setSilent sets whether the first connection discards requests.
func (f *fakeUpstream) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialled[0].silent.Store(silent)
}

// causes returns the number of closed connections by cause.
func (f *fakeUpstream) causes() map[Cause]int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.closed)
}

func (f *fakeUpstream) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dialled)
}

// client returns a Client of the fake.
func (f *fakeUpstream) client(t testing.TB, change func(*Config)) *Client {
	t.Helper()
	cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30})
	cfg.Dial = f.dial
	if change != nil {
		change(&cfg)
	}
	c, closeAll := New(cfg, "192.0.2.1:80", f)
	t.Cleanup(closeAll)
	return c
}

func search(id uint64) *exchanger.Task {
	return &exchanger.Task{ID: id, Request: "q", Service: "finder", Upstream: "u", Shard: 4, Version: 7, Limit: 10}
}

func action() *exchanger.Task {
	return &exchanger.Task{ID: 1, Request: "t", Service: "roster", Upstream: "u", Action: json.RawMessage(`{"crew":1}`)}
}

// admitFor returns an Admit that gives every task the timeout d.
func admitFor(d time.Duration) Admit {
	return func() (time.Duration, *exchanger.Result) { return d, nil }
}

// echo answers with the request's own fields, except for the changes.
func echo(changes map[string]any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q map[string]any
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			return
		}
		q["documents"], q["oldest"], q["newest"] = 12, 3, 9
		for k, v := range changes {
			q[k] = v
		}
		_ = json.NewEncoder(w).Encode(q)
	}
}

// echoAfter answers after d like echo, unless the request is cancelled. It answers the
// health page at once.
func echoAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			return
		}
		// The server notices a cancellation once it has read the whole body.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-time.After(d):
			echo(nil)(w, r)
		case <-r.Context().Done():
		}
	}
}
