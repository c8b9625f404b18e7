package forwarder

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/promoter"
)

// rollOut makes "1b" a searcher of version v2, "1a" one of v1, and orders v2 for service "1". isFresh is the state's.
func (s *setup) rollOut(isFresh func() bool) {
	sink := s.locator.Rollouts()
	s.gate = promoter.NewGate(0.1, isFresh, func() float64 { return 0 }, time.Now, promoter.NewGateMetrics(prometheus.NewRegistry()))
	sink.Replace([]follower.Item[declarer.Rollout]{{Name: "1", Revision: 2, Value: order(false)}}, 2)
	var changes []follower.Change[declarer.Searcher]
	for i, version := range []string{"v1", "v2"} {
		id := fmt.Sprintf("1%c", 'a'+i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		changes = append(changes, follower.Change[declarer.Searcher]{Item: follower.Item[declarer.Searcher]{Name: id, Revision: 3, Value: declarer.Searcher{
			ID: id, Service: "1", Addr: addr, Zone: "z", Version: version,
		}}})
	}
	s.locator.Searchers().Apply(changes, 3)
	sink.Confirm(3)
	synctest.Wait()
}

func order(moving bool) declarer.Rollout {
	return declarer.Rollout{Name: "1", Service: "1", Target: "v2", Limit: time.Minute, State: declarer.RolloutRunning, Moving: moving}
}

// sentOf returns the requests that a searcher got so far.
func (s *setup) sentOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id]
}

// TestRolloutShare covers all ways on which a service gets requests during a roll-out: single ones, queries of this daemon's
// clients, and queries that it gathers for others. A way without the gate gave the version under test half of them.
func TestRolloutShare(t *testing.T) {
	for name, send := range map[string]func(s *setup){
		"single":   func(s *setup) { s.request(s.t.Context(), "/post/x", "") },
		"query":    func(s *setup) { s.request(s.t.Context(), "/q/x", "") },
		"gathered": func(s *setup) { s.gatherFor(s.t.Context(), askFor(), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				isFresh := true
				s.rollOut(func() bool { return isFresh })
				assert := func(what string, least, most int) {
					t.Helper()
					before := s.sentOf("1b")
					for range 100 {
						send(s)
					}
					if n := s.sentOf("1b") - before; n < least || n > most {
						t.Errorf("%s: the version got %d of 100 requests, want %d to %d", what, n, least, most)
					}
				}
				assert("testing", 8, 10)
				isFresh = false
				assert("state too old", 0, 0)
				isFresh = true
				s.locator.Notify(&locator.Notice{Rollout: order(true), Revision: 5})
				synctest.Wait()
				assert("moving", 100, 100)
				if r := s.gate.Report(s.locator.View().Trial("1")); r.InFlight != 0 || !r.Moved || answers(r.Samples) < 200 {
					t.Errorf("report after all requests: %+v; want no exchange in flight and 300 answers", r)
				}
			})
		})
	}
}

// TestRolloutRefused covers a searcher of the version under test that refuses requests: it was asked again although one of
// the other version had not been asked.
func TestRolloutRefused(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.rollOut(func() bool { return true })
		s.behaviors["1b"] = replyWith(http.StatusServiceUnavailable, "", true)
		for range 40 {
			before := s.total()
			a, _ := s.request(s.t.Context(), "/post/x", "")
			s.assertAnswer(a, http.StatusOK)
			if n := s.total() - before; n > 2 {
				t.Errorf("%d requests to searchers, want 2 at most", n)
			}
		}
		if s.sentOf("1b") == 0 {
			t.Error("the version got no request")
		}
	})
}

func answers(samples []exchanger.RolloutSample) int {
	n := 0
	for i := range samples {
		n += samples[i].Answers
	}
	return n
}
