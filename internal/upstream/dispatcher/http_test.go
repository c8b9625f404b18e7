package dispatcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/exchanger"
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
