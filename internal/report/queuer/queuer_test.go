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

// slowWriter is a buffer of which each write takes a delay.
type slowWriter struct {
	bytes.Buffer
	// delay is in nanoseconds.
	delay  atomic.Int64
	writes int
}

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	s.writes++
	return s.Buffer.Write(p)
}

func TestWritesInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{}
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
			t.Errorf("%d writes for 100 lines, want at most 3", out.writes)
		}
	})
}

func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{}
		out.delay.Store(int64(time.Hour))
		q, closer := New(out)
		started := time.Now()
		for range 3 * maxQueuedLines {
			fmt.Fprintln(q, "line")
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("queuing the lines took %s, want no time", took)
		}
		if n := q.Dropped(); n < maxQueuedLines {
			t.Errorf("%d lines dropped, want %d or more", n, maxQueuedLines)
		}
		out.delay.Store(0)
		time.Sleep(2 * time.Hour)
		closer()
		if !strings.Contains(out.String(), `"log lines dropped"`) {
			t.Error("the number of dropped lines is not logged")
		}
	})
}

func TestCloseWritesQueuedLines(t *testing.T) {
	for _, tt := range []struct {
		name  string
		lines int
	}{{"one line", 1}, {"several batches", maxQueuedLines}} {
		t.Run(tt.name, func(t *testing.T) {
			out := &slowWriter{}
			q, closer := New(out)
			line := strings.Repeat("x", 300) + "\n"
			for range tt.lines {
				fmt.Fprint(q, line)
			}
			closer()
			if got := strings.Count(out.String(), line) + int(q.Dropped()); got != tt.lines {
				t.Errorf("%d lines written or counted as dropped, want %d", got, tt.lines)
			}
		})
	}
}
