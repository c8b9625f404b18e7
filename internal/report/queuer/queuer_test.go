package queuer

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// slow is an output that takes a time for each write.
type slow struct {
	bytes.Buffer
	// delay is the time in nanoseconds.
	delay  atomic.Int64
	writes int
}

func (s *slow) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	s.writes++
	return s.Buffer.Write(p)
}

func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slow{}
		q, closer := New(out)
		want := ""
		for i := range 100 {
			line := fmt.Sprintf("line %d\n", i)
			want += line
			fmt.Fprint(q, line)
		}
		time.Sleep(time.Second)
		closer()
		if diff := cmp.Diff(want, out.String()); diff != "" {
			t.Errorf("output (-want +got):\n%s", diff)
		}
		if out.writes > 3 {
			t.Errorf("%d writes for 100 lines", out.writes)
		}
	})
}

func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slow{}
		out.delay.Store(int64(time.Hour))
		q, closer := New(out)
		started := time.Now()
		for range 3 * maxWaiting {
			fmt.Fprintln(q, "line")
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("writing took %s", took)
		}
		if n := q.Dropped(); n < maxWaiting {
			t.Errorf("%d lines dropped, want %d or more", n, maxWaiting)
		}
		out.delay.Store(0)
		time.Sleep(2 * time.Hour)
		closer()
		if !strings.Contains(out.String(), `"log lines dropped"`) {
			t.Error("the drops are not told")
		}
	})
}

func TestCloseFlushes(t *testing.T) {
	out := &slow{}
	q, closer := New(out)
	fmt.Fprintln(q, "last")
	closer()
	if diff := cmp.Diff("last\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
