package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
)

// fakePlatform answers every call but the watches, which fail after cutAfter.
type fakePlatform struct {
	cutAfter time.Duration
	watches  int
}

func (p *fakePlatform) List(context.Context, declarer.Kind) ([]declarer.Object, uint64, error) {
	return nil, 1, nil
}

func (p *fakePlatform) Watch(context.Context, uint64, time.Duration) ([]declarer.Object, uint64, error) {
	p.watches++
	time.Sleep(p.cutAfter)
	return nil, 0, errors.New("cut off")
}

func (p *fakePlatform) Instances(context.Context) ([]declarer.Instance, error) { return nil, nil }

// fakeConsumer always watches.
type fakeConsumer struct{}

func (fakeConsumer) ShouldWatch() (bool, <-chan struct{}) { return true, nil }

func (fakeConsumer) Adopt(context.Context, Update) error { return nil }

// TestCutWatches covers watches that the platform cuts off while they wait. They must not delay the next one by a growing
// backoff, with which a change took more than 3 s to become known (the cause of review/3, in this daemon).
func TestCutWatches(t *testing.T) {
	for _, tt := range []struct {
		cutAfter time.Duration
		min, max int
	}{
		{time.Second, 13, 20},
		{0, 5, 16},
	} {
		t.Run(tt.cutAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePlatform{cutAfter: tt.cutAfter}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				w := New(p, fakeConsumer{}, rand.New(rand.NewPCG(1, 2)), hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
				if err := w.Serve(ctx); !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("Serve returned %v", err)
				}
				if p.watches < tt.min || p.watches > tt.max {
					t.Errorf("%d watches in 20 s, want %d to %d", p.watches, tt.min, tt.max)
				}
			})
		})
	}
}
