package sentry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSentry checks which pauses are detected, and that a check right after a pause detects it before the next tick.
func TestSentry(t *testing.T) {
	const threshold = 2 * time.Second
	for _, tt := range []struct {
		name  string
		pause time.Duration
		check bool
		want  []time.Duration
	}{
		{"short pause", time.Second, true, nil},
		{"long pause, checked", 5 * time.Second, true, []time.Duration{5 * time.Second}},
		{"long pause, not checked", 5 * time.Second, false, []time.Duration{5*time.Second + interval}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				// suspended is the time that only the clock of the Sentry counts.
				var suspended atomic.Int64
				var mu sync.Mutex
				var got []time.Duration
				clock := func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
				s := New(clock, threshold, func(d time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, d)
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = s.Serve(ctx) }()
				time.Sleep(10 * interval)
				synctest.Wait()
				suspended.Store(int64(tt.pause))
				if tt.check {
					s.Check()
				}
				time.Sleep(10 * interval)
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("pauses (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestBootClock(t *testing.T) {
	before := BootClock()
	time.Sleep(time.Millisecond)
	if d := BootClock() - before; d < time.Millisecond || d > time.Minute {
		t.Errorf("the clock advanced by %s in a millisecond", d)
	}
}
