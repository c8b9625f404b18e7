package dispatcher

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/dialer"
)

// do runs a task and waits for its result.
func (b *bench) do(t testing.TB, task exchanger.Task) exchanger.Result {
	t.Helper()
	got := make(chan exchanger.Result, 1)
	b.Do(t.Context(), task, func(r exchanger.Result) { got <- r })
	return <-got
}

func TestSearchOverHTTP(t *testing.T) {
	b := newBench(t, Default(), serve(t, &searcher{}), DialHTTP)
	got := b.do(t, search(1, 10*time.Second))
	want := exchanger.Result{ID: 1, Sent: true, Version: 7, Documents: 1}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("result (-want +got):\n%s", d)
	}
}

// BenchmarkSubRequest is one sub-request at the owner from end to end, over TCP
// to an upstream in the same process.
func BenchmarkSubRequest(b *testing.B) {
	d := newBench(b, Default(), serve(b, &searcher{}), DialHTTP)
	b.ReportAllocs()
	for b.Loop() {
		d.do(b, search(1, 10*time.Second))
	}
}

// BenchmarkAdmission is one sub-request at the owner without the upstream.
func BenchmarkAdmission(b *testing.B) {
	d := newBench(b, Default(), "192.0.2.1:80", (&instant{}).dial)
	b.ReportAllocs()
	for b.Loop() {
		d.do(b, search(1, 10*time.Second))
	}
}

// instant is a Client that answers at once.
type instant struct {
	runner
}

func (c *instant) dial(netip.AddrPort, declarer.Capacity, dialer.Events) (Client, func()) {
	return c, func() {}
}

func (c *instant) Do(_ context.Context, t *exchanger.Task, admit dialer.Admit) dialer.Outcome {
	admit()
	return dialer.Outcome{Result: exchanger.Result{ID: t.ID, Sent: true}}
}
