package promoter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/route/locator"
)

// site is a Locator with three searchers of v1 and three of v2 of the service "a", and an order to roll v2 out.
type site struct {
	*locator.Locator
	rollouts relayer.Sink[declarer.Rollout]
	gate     *Gate
	isStale  bool
}

// withSite runs a test in virtual time.
func withSite(t *testing.T, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t.Context())
		synctest.Wait()
		test(s)
	})
}

// newSite returns a site whose Locator runs until ctx ends.
func newSite(ctx context.Context) *site {
	s := &site{Locator: locator.New(declarer.Member{ID: "d1", Zone: "z"}, hclog.NewNullLogger())}
	s.gate = s.newGate(rand.Float64)
	s.rollouts = s.Rollouts()
	go func() { _ = s.Serve(ctx) }()
	var searchers []follower.Item[declarer.Searcher]
	for _, version := range []string{"v1", "v2"} {
		for i := range 3 {
			id := fmt.Sprint(version, "-", i)
			searchers = append(searchers, follower.Item[declarer.Searcher]{Name: id, Revision: 2, Value: declarer.Searcher{
				ID: id, Service: "a", Zone: "z", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Version: version,
			}})
		}
	}
	s.Searchers().Replace(searchers, 2)
	s.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Revision: 1, Value: &declarer.Routing{Version: 1}}}, 2)
	s.rollouts.Replace([]follower.Item[declarer.Rollout]{{Name: "a", Revision: 3, Value: order("", false)}}, 3)
	return s
}

func order(state declarer.RolloutState, moving bool) declarer.Rollout {
	return declarer.Rollout{Name: "a", Service: "a", Target: "v2", Limit: testLimit, State: state, Moving: moving}
}

func (s *site) newGate(random func() float64) *Gate {
	return NewGate(0.1, func() bool { return !s.isStale }, random, time.Now, NewGateMetrics(prometheus.NewRegistry()))
}

// tell tells the Locator of a status.
func (s *site) tell(state declarer.RolloutState, moving bool, revision uint64) {
	s.Notify(&locator.Notice{Rollout: order(state, moving), Revision: revision})
	synctest.Wait()
}

// send sends n requests through a gate and returns how many went to the new version.
func (s *site) send(g *Gate, n int, o Outcome) int {
	sent := 0
	for range n {
		t := g.Enter("a", "r")
		sr := t.Candidates(s.View())[0][0]
		t.Chosen(&sr)
		if sr.Version == "v2" {
			sent++
		}
		t.End(o, time.Millisecond, time.Millisecond)
	}
	return sent
}

// TestGateShare covers the share of the new version over many daemons. Each started with a whole request for it, or none: 100
// daemons exceeded the share at once, or gave the version nothing for seconds.
func TestGateShare(t *testing.T) {
	withSite(t, func(s *site) {
		for _, tt := range []struct{ daemons, requests int }{{100, 3}, {100, 12}, {10, 200}, {1, 5000}} {
			sent := 0
			random := rand.New(rand.NewPCG(1, 1))
			for range tt.daemons {
				g := s.newGate(random.Float64)
				n := s.send(g, tt.requests, Answered)
				if most := float64(tt.requests)*0.1 + 1; float64(n) > most {
					t.Errorf("a daemon sent %d of %d requests to the version, want at most %g", n, tt.requests, most)
				}
				sent += n
			}
			share := float64(sent) / float64(tt.daemons*tt.requests)
			if share < 0.05 || share > 0.12 {
				t.Errorf("%d daemons with %d requests each sent a share of %g to the version, want about 0.09", tt.daemons, tt.requests, share)
			}
		}
	})
}

// TestGateStates covers when the new version gets nothing, and when everything.
func TestGateStates(t *testing.T) {
	withSite(t, func(s *site) {
		full := func() *Gate { return s.newGate(func() float64 { return 0.999 }) }
		assert := func(what string, least, most int) {
			t.Helper()
			if n := s.send(full(), 100, Answered); n < least || n > most {
				t.Errorf("%s: %d of 100 requests to the version, want %d to %d", what, n, least, most)
			}
		}
		assert("testing", 8, 10)
		s.isStale = true
		assert("state too old", 0, 0)
		s.isStale = false
		s.tell(declarer.RolloutRunning, true, 4)
		assert("moving", 100, 100)
		s.isStale = true
		assert("moving, state too old", 0, 0)
		s.isStale = false
		s.tell("", false, 0)
		assert("found bad", 0, 0)
	})
}

// TestGateUnsent covers requests that reach no searcher: they added to the allowance, or used it up.
func TestGateUnsent(t *testing.T) {
	withSite(t, func(s *site) {
		g := s.newGate(func() float64 { return 0.5 })
		if n := s.send(g, 200, Unsent); n > 0 {
			t.Errorf("%d requests to the version out of none that reached the service", n)
		}
		if n := s.send(g, 100, Answered); n != 9 {
			t.Errorf("%d requests to the version, want 9", n)
		}
		first := g.Enter("a", "r")
		first.Candidates(s.View())
		first.Drop()
		if n := s.send(g, 100, Answered); n != 9 {
			t.Errorf("%d requests to the version after one without a searcher, want 9", n)
		}
	})
}

// TestGateReport covers requests whose searcher is being chosen while the daemon reports: the report said that nothing was in
// flight at the old searchers.
func TestGateReport(t *testing.T) {
	withSite(t, func(s *site) {
		s.gate = s.newGate(func() float64 { return 0 })
		report := func() exchanger.RolloutReport { return s.gate.Report(s.View().Trial("a")) }
		choosing := s.gate.Enter("a", "r")
		sr := choosing.Candidates(s.View())[0][0]
		s.tell(declarer.RolloutRunning, true, 4)
		if diff := cmp.Diff([]any{1, true}, []any{report().InFlight, report().Moved}); diff != "" {
			t.Errorf("in flight and moved while choosing (-want +got):\n%s", diff)
		}
		choosing.Chosen(&sr)
		if n := report().InFlight; n != 1 {
			t.Errorf("%d in flight with others, want 1", n)
		}
		choosing.End(Failed, time.Millisecond, time.Millisecond)
		moved := s.gate.Enter("a", "r")
		sr = moved.Candidates(s.View())[0][0]
		moved.Chosen(&sr)
		want := exchanger.RolloutReport{Rollout: "a", Target: "v2", Moved: true, Samples: []exchanger.RolloutSample{{Route: "r", Failures: 1}}}
		if diff := cmp.Diff(want, report()); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
		s.isStale = true
		if report().Moved {
			t.Error("moved although the state is too old, so that requests go to the others")
		}
	})
}

// TestIsWarm covers searchers of the new version that are cold at the end of the test: all requests went to them, and they
// refused most.
func TestIsWarm(t *testing.T) {
	now := time.Unix(100, 0)
	cold := locator.Searcher{ColdLimited: true, WarmAt: now.Add(time.Second)}
	warm := locator.Searcher{ColdLimited: true, WarmAt: now.Add(-time.Second)}
	unlimited := locator.Searcher{WarmAt: now.Add(time.Second)}
	for _, tt := range []struct {
		name      string
		searchers []locator.Searcher
		want      bool
	}{
		{"none", nil, false},
		{"cold", []locator.Searcher{cold}, false},
		{"a third is warm", []locator.Searcher{cold, cold, warm}, false},
		{"half are warm", []locator.Searcher{cold, warm}, true},
		{"cold without a limit", []locator.Searcher{unlimited}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := isWarm(tt.searchers, now); got != tt.want {
				t.Errorf("warm: %t, want %t", got, tt.want)
			}
		})
	}
}

// TestFocused covers how many searchers of a version get its requests at a time: spread over all, a tenth of the requests
// loads none of them.
func TestFocused(t *testing.T) {
	searchers := make([]locator.Searcher, 20)
	for i := range searchers {
		searchers[i].ID = fmt.Sprint(i)
	}
	for _, tt := range []struct{ searchers, others, want int }{{20, 40, 4}, {20, 3, 2}, {2, 3, 2}, {1, 3, 1}} {
		if got := focused(searchers[:tt.searchers], tt.others, 0.1, 0); len(got) != tt.want {
			t.Errorf("%d of %d searchers beside %d others, want %d", len(got), tt.searchers, tt.others, tt.want)
		}
	}
	seen := make(map[string]bool)
	for age := time.Duration(0); age < 10*time.Second; age += focusTime {
		for _, s := range focused(searchers, 3, 0.1, age) {
			seen[s.ID] = true
		}
	}
	if len(seen) != len(searchers) {
		t.Errorf("%d of %d searchers got requests in ten seconds", len(seen), len(searchers))
	}
}
