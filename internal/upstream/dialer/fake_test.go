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

// fake is an upstream on in-memory connections.
type fake struct {
	http.Handler
	conns   chan net.Conn
	done    chan struct{}
	connect time.Duration
	mu      sync.Mutex
	dialled []*deaf
	closed  map[Cause]int
}

// deaf is a connection that may stop carrying bytes without being closed.
type deaf struct {
	net.Conn
	silent atomic.Bool
}

func (d *deaf) Write(p []byte) (int, error) {
	if d.silent.Load() {
		return len(p), nil
	}
	return d.Conn.Write(p)
}

func newFake(t testing.TB, h http.HandlerFunc) *fake {
	t.Helper()
	f := &fake{Handler: h, conns: make(chan net.Conn), done: make(chan struct{}), closed: make(map[Cause]int)}
	srv := &http.Server{Handler: f, Protocols: &http.Protocols{}}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(f) }()
	t.Cleanup(func() { _ = srv.Close() })
	return f
}

func (f *fake) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *fake) Close() error {
	close(f.done)
	return nil
}

func (f *fake) Addr() net.Addr {
	return &net.TCPAddr{}
}

func (f *fake) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(f.connect)
	near, far := net.Pipe()
	d := &deaf{Conn: near}
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

func (f *fake) Opened() {}

func (f *fake) Closed(c Cause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[c]++
}

// silence stops the first connection from carrying requests.
func (f *fake) silence(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialled[0].silent.Store(silent)
}

// causes returns how often connections were closed, by cause.
func (f *fake) causes() map[Cause]int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.closed)
}

func (f *fake) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dialled)
}

// client returns a Client of the fake.
func (f *fake) client(t testing.TB, change func(*Config)) *Client {
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

// within admits a task for d.
func within(d time.Duration) Admit {
	return func() (time.Duration, *exchanger.Result) { return d, nil }
}

// answer repeats the request, with some fields changed.
func answer(changes map[string]any) http.HandlerFunc {
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

// after answers when d has passed, unless the request is cancelled.
func after(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			return
		}
		// The server notices a cancellation once it has read the whole body.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-time.After(d):
			answer(nil)(w, r)
		case <-r.Context().Done():
		}
	}
}
