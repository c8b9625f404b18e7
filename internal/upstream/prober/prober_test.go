package prober

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// source has three upstreams; the second never answers.
type source struct {
	calls int
	hints map[string]int
}

func (s *source) Targets() []Target {
	var ts []Target
	for _, u := range []string{"a", "b", "c"} {
		ts = append(ts, Target{Upstream: u, Get: func(ctx context.Context, _ string, v any) error {
			s.calls++
			if u == "b" {
				<-ctx.Done()
				return ctx.Err()
			}
			if h, ok := v.(*Health); ok {
				h.State = Cold
			}
			return nil
		}})
	}
	return ts
}

func (s *source) Hint(_, upstream string, p Pages) {
	s.hints[upstream+" "+p.Health.State]++
}

func TestProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{hints: make(map[string]int)}
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		if err := New(Default(), s).Serve(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("serve: %v", err)
		}
		want := map[string]int{"a cold": 10, "c cold": 10}
		if d := cmp.Diff(want, s.hints); d != "" {
			t.Errorf("hints in 9.5 s (-want +got):\n%s", d)
		}
		if s.calls != 50 {
			t.Errorf("%d calls in 9.5 s, want 50", s.calls)
		}
	})
}
