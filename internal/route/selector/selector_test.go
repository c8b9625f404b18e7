package selector

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
)

// prober answers probes unless it is down.
type prober struct {
	down   atomic.Bool
	probes atomic.Int64
}

func (p *prober) Probe(context.Context, *declarer.Member) error {
	p.probes.Add(1)
	if p.down.Load() {
		return errors.New("no answer")
	}
	return nil
}

const average = 20 * time.Millisecond

// withSelector runs a test in virtual time with a Selector in zone z and three candidates, two of them in that zone.
func withSelector(t *testing.T, test func(s *Selector, p *prober, candidates []declarer.Member)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &prober{}
		s := New("z", p, hclog.NewNullLogger(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Serve(ctx)
		}()
		test(s, p, []declarer.Member{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "other"}})
		cancel()
		<-done
	})
}

// picks returns how often each daemon is chosen for 30 queries that take the average time, one after the other.
func picks(s *Selector, candidates []declarer.Member) map[string]int {
	got := make(map[string]int)
	for range 30 {
		m, call := s.Pick(candidates, nil, average)
		if m == nil {
			got["none"]++
			continue
		}
		got[m.ID]++
		time.Sleep(average)
		call.End(Answered)
	}
	return got
}

func TestOwnZoneFirst(t *testing.T) {
	withSelector(t, func(s *Selector, _ *prober, candidates []declarer.Member) {
		got := picks(s, candidates)
		if got["a"] < 5 || got["b"] < 5 || got["c"] > 0 {
			t.Errorf("queries by daemon %v, want both of the own zone and none of another", got)
		}
	})
}

// TestSilentDaemon checks that a daemon that does not answer gets no query until it has answered a probe, and that a
// daemon of another zone replaces those of the own zone when none of them answers.
func TestSilentDaemon(t *testing.T) {
	withSelector(t, func(s *Selector, p *prober, candidates []declarer.Member) {
		p.down.Store(true)
		for range 2 {
			_, call := s.Pick(candidates, nil, average)
			call.End(Silent)
		}
		if diff := cmp.Diff(map[string]int{"c": 30}, picks(s, candidates)); diff != "" {
			t.Errorf("queries by daemon while two are silent (-want +got):\n%s", diff)
		}
		p.down.Store(false)
		time.Sleep(maxProbePause + probeInterval)
		if got := picks(s, candidates); got["a"] == 0 || got["b"] == 0 {
			t.Errorf("queries by daemon after the probes %v, want both of the own zone", got)
		}
	})
}

// TestSlowDaemon checks that a daemon whose query takes long gets no other one before it has ended.
func TestSlowDaemon(t *testing.T) {
	withSelector(t, func(s *Selector, _ *prober, candidates []declarer.Member) {
		slow, _ := s.Pick(candidates, nil, average)
		time.Sleep(10 * average)
		if got := picks(s, candidates); got[slow.ID] > 0 {
			t.Errorf("queries by daemon %v while one at %s takes ten times the average", got, slow.ID)
		}
	})
}

// TestProbesEnd checks that a daemon that has stopped to leave queries to others probes nobody any more.
func TestProbesEnd(t *testing.T) {
	withSelector(t, func(s *Selector, p *prober, candidates []declarer.Member) {
		p.down.Store(true)
		_, call := s.Pick(candidates, nil, average)
		call.End(Silent)
		time.Sleep(wantedFor + time.Second)
		before := p.probes.Load()
		time.Sleep(time.Minute)
		if n := p.probes.Load() - before; before == 0 || n > 0 {
			t.Errorf("%d probes while queries came, %d in the minute after, want some and none", before, n)
		}
	})
}
