package evictor

import (
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// newTestGroup returns a group of an Evictor with the budget, and a function that admits a connection at a time.
func newTestGroup(t *testing.T, budget int64, conns int, l Limits) (*Group, func(at time.Time) *Conn) {
	t.Helper()
	e := New(budget, hclog.NewNullLogger(), prometheus.NewRegistry())
	g := e.Group("test", conns, func() Limits { return l })
	return g, func(at time.Time) *Conn {
		local, remote := net.Pipe()
		t.Cleanup(func() { local.Close(); remote.Close() })
		return g.admit(local, at)
	}
}

// hasGivenWay reports whether a connection has given way.
func hasGivenWay(c *Conn) bool {
	_, ok := c.givenWay()
	return ok
}

// TestBudget guards against bodies that hold more than the budget, and against a body that is refused while a slower one is
// kept.
func TestBudget(t *testing.T) {
	g, admit := newTestGroup(t, 10, 10, Limits{})
	slow, arriving, running := admit(time.Now()), admit(time.Now()), admit(time.Now())
	for _, c := range []*Conn{slow, arriving, running} {
		c.finish(Running)
		c.begin(true)
		if !c.grow(freeBodyBytes + 3) {
			t.Fatal("body refused although the budget has room")
		}
	}
	running.finish(Running)
	slow.state.Since = time.Now().Add(-time.Second)
	if !arriving.grow(4) || !hasGivenWay(slow) || hasGivenWay(arriving) || hasGivenWay(running) {
		t.Error("not the slowest body gave way")
	}
	if diff := cmp.Diff(int64(10), g.e.used); diff != "" {
		t.Errorf("bytes held (-want +got):\n%s", diff)
	}
	b := &body{ReadCloser: io.NopCloser(readerFunc(slow.Read)), c: slow, w: httptest.NewRecorder()}
	_, err := b.Read(make([]byte, 1))
	var evicted *EvictedError
	if !errors.As(err, &evicted) {
		t.Errorf("reading the refused body: error %v, want an EvictedError", err)
	}
	if diff := cmp.Diff("close", b.w.Header().Get("Connection")); diff != "" {
		t.Errorf("header Connection (-want +got):\n%s", diff)
	}
	if arriving.grow(1) {
		t.Error("the last incomplete body got more than the budget")
	}
	running.finish(Idle)
	if diff := cmp.Diff(int64(0), g.e.used); diff != "" {
		t.Errorf("bytes held at the end (-want +got):\n%s", diff)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestConnectionBound guards against more connections than the bound, and against the run of a request whose connection has
// given way.
func TestConnectionBound(t *testing.T) {
	now := time.Now()
	g, admit := newTestGroup(t, 10, 2, Limits{})
	silent, running := admit(now.Add(-time.Second)), admit(now)
	running.finish(Running)
	last := admit(now)
	if last == nil || !hasGivenWay(silent) || silent.begin(false) {
		t.Error("the silent connection did not give way")
	}
	last.finish(Running)
	if admit(now) != nil {
		t.Error("a connection was admitted although no other can give way")
	}
	if diff := cmp.Diff(2, len(g.conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
	last.Close()
	if admit(now) == nil {
		t.Error("no connection admitted after one was closed")
	}
}

// TestLeavingConnections guards against connections that have given way and pile up faster than the server leaves them.
func TestLeavingConnections(t *testing.T) {
	now := time.Now()
	g, admit := newTestGroup(t, 10, 2, Limits{})
	var conns []*Conn
	for i := range 5 {
		if c := admit(now.Add(time.Duration(i) * time.Second)); c != nil {
			conns = append(conns, c)
		}
	}
	if diff := cmp.Diff(4, len(conns)); diff != "" {
		t.Fatalf("connections admitted (-want +got):\n%s", diff)
	}
	for _, c := range conns {
		c.Close()
		c.Close()
	}
	if g.leaving != 0 || admit(now) == nil {
		t.Errorf("%d connections are leaving after all were closed, or none is admitted", g.leaving)
	}
}

// TestHeadBound guards against a head without end, and against limits that do not change with the desired state.
func TestHeadBound(t *testing.T) {
	l := Limits{HeadBytes: 16 << 10}
	e := New(1<<20, hclog.NewNullLogger(), prometheus.NewRegistry())
	g := e.Group("test", 10, func() Limits { return l })
	local, remote := net.Pipe()
	defer remote.Close()
	c := g.admit(local, time.Now())
	if _, ok := c.countHead(make([]byte, 16<<10+readAhead), time.Now()); !ok {
		t.Error("a head within the limit was refused")
	}
	if diff := cmp.Diff(int64(headCopies*(16<<10+readAhead)), e.used); diff != "" {
		t.Errorf("bytes held (-want +got):\n%s", diff)
	}
	c.finish(Running)
	c.finish(Idle)
	l.HeadBytes = 4 << 10
	e.sweep(time.Now())
	if _, ok := c.countHead(make([]byte, 4<<10+readAhead+1), time.Now()); ok {
		t.Error("a head beyond the new limit was read")
	}
}
