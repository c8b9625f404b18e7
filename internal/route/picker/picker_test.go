package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/locator"
)

const average = 20 * time.Millisecond

// setup is a Picker in the zone "own" with searchers, and a clock that the test sets.
type setup struct {
	*Picker
	t         *testing.T
	now       time.Time
	searchers []locator.Searcher
}

// newSetup returns a setup with a searcher in each of zones.
func newSetup(t *testing.T, zones ...string) *setup {
	s := &setup{t: t, now: time.Unix(1000, 0)}
	s.Picker = New("own", func() time.Time { return s.now })
	for i, zone := range zones {
		s.searchers = append(s.searchers, locator.Searcher{Searcher: declarer.Searcher{ID: string(rune('a' + i)), Zone: zone}})
	}
	return s
}

// runExchanges runs n exchanges in sequence and returns their number for each searcher; behavior returns the latency
// and the outcome of an exchange with searcher i.
func (s *setup) runExchanges(n int, behavior func(i int) (time.Duration, Outcome)) []int {
	counts := make([]int, len(s.searchers))
	for range n {
		i, exchange := s.Pick(s.searchers, nil, average)
		if i < 0 {
			s.now = s.now.Add(10 * time.Millisecond)
			continue
		}
		counts[i]++
		d, o := behavior(i)
		s.now = s.now.Add(d)
		exchange.End(o)
	}
	return counts
}

// assertPick checks which searcher is picked, those in tried left out.
func (s *setup) assertPick(want int, tried ...int) {
	s.t.Helper()
	var ids []string
	for _, i := range tried {
		ids = append(ids, s.searchers[i].ID)
	}
	i, exchange := s.Pick(s.searchers, ids, average)
	if i != want {
		s.t.Errorf("picked %d, want %d", i, want)
	}
	if exchange != nil {
		// The exchange must not affect later picks.
		delete(exchange.health.inFlight, exchange)
		s.estimator.Count(exchange.searcher, len(exchange.health.inFlight))
	}
}

// answer is a behavior that answers with the average latency.
func answer(int) (time.Duration, Outcome) { return average, Answered }

func TestZone(t *testing.T) {
	s := newSetup(t, "other", "own", "other")
	s.assertPick(1)
	if i, _ := s.Pick(s.searchers, []string{"b"}, average); i == 1 {
		t.Error("picked a searcher that has been tried")
	}
	s.assertPick(-1, 0, 1, 2)
}

// TestStall checks that requests avoid a searcher while an exchange with it hangs, before that exchange has ended.
func TestStall(t *testing.T) {
	s := newSetup(t, "own", "own")
	_, hanging := s.Pick(s.searchers, []string{"b"}, average)
	s.now = s.now.Add(100 * time.Millisecond)
	s.assertPick(1)
	hanging.End(Abandoned)
	s.assertPick(1)
	s.now = s.now.Add(20 * time.Second)
	counts := s.runExchanges(100, answer)
	if counts[0] < 20 {
		t.Errorf("a searcher that has recovered gets %d of 100 requests, want at least 20", counts[0])
	}
}

// TestSlow checks that a searcher ten times slower than average gets few requests.
func TestSlow(t *testing.T) {
	s := newSetup(t, "own", "own")
	counts := s.runExchanges(200, func(i int) (time.Duration, Outcome) {
		if i == 0 {
			return 10 * average, Answered
		}
		return average, Answered
	})
	if counts[0] > 20 {
		t.Errorf("a searcher ten times slower gets %d of 200 requests, want at most 20", counts[0])
	}
}

// TestGrayFailure checks that a searcher of the own zone that quickly fails nearly half of its requests, while it
// reports good health, gets few requests.
func TestGrayFailure(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for name, outcome := range map[string]Outcome{"fails": Failed, "sheds": NotRun} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, "own", "other")
			counts := s.runExchanges(300, func(i int) (time.Duration, Outcome) {
				if i == 0 && rnd.Float64() < 0.45 {
					return average / 10, outcome
				}
				return average, Answered
			})
			if counts[0] > 60 {
				t.Errorf("a failing searcher gets %d of 300 requests, want at most 60", counts[0])
			}
		})
	}
}

// TestUnreachable checks that an unreachable searcher is probed by one request after each backoff, and that the
// backoff grows.
func TestUnreachable(t *testing.T) {
	s := newSetup(t, "own", "other")
	started := s.now
	probes := 0
	for s.now.Sub(started) < 10*time.Second {
		counts := s.runExchanges(1, func(i int) (time.Duration, Outcome) {
			if i == 0 {
				return 0, Unreachable
			}
			return average, Answered
		})
		probes += counts[0]
	}
	if probes < 3 || probes > 9 {
		t.Errorf("probed %d times in 10 s, want 3 to 9", probes)
	}
	s.now = s.now.Add(maxBackoff)
	_, probe := s.Pick(s.searchers, []string{"b"}, average)
	s.assertPick(1)
	s.assertPick(-1, 1)
	probe.End(Answered)
	s.assertPick(0, 1)
}

// TestMalformed guards against a searcher that sends malformed answers to all requests and gets many, since it fails fast while the others
// are loaded; and against one that is left out because of a single request.
func TestMalformed(t *testing.T) {
	s := newSetup(t, "own", "own")
	var left []time.Duration
	end := func(o Outcome) {
		_, exchange := s.Pick(s.searchers, []string{"b"}, average)
		if exchange == nil {
			s.t.Fatal("searcher not available")
		}
		left = append(left, exchange.End(o))
	}
	isAvailable := func() bool { return s.Usable(s.searchers) == 2 }
	var got []bool
	for _, o := range []Outcome{Malformed, Answered, Malformed, Malformed} {
		end(o)
		got = append(got, isAvailable())
	}
	// Exchanges of before that fail meanwhile neither end the time nor lengthen it.
	s.healthOf("a").record(Malformed, 0, average, s.now)
	s.healthOf("a").record(Failed, 0, average, s.now)
	s.now = s.now.Add(minBackoff)
	got = append(got, isAvailable())
	end(Malformed)
	s.now = s.now.Add(minBackoff)
	got = append(got, isAvailable())
	s.now = s.now.Add(minBackoff)
	end(Answered)
	got = append(got, isAvailable())
	if diff := cmp.Diff([]bool{true, true, true, false, true, false, true}, got); diff != "" {
		t.Errorf("available after each answer and time (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]time.Duration{0, 0, 0, minBackoff, 2 * minBackoff, 0}, left); diff != "" {
		t.Errorf("time without requests after each answer (-want +got):\n%s", diff)
	}
}

// TestSurplus checks that a searcher that sends more bytes after its answers is avoided, and used where there is no other.
func TestSurplus(t *testing.T) {
	s := newSetup(t, "own", "other")
	counts := s.runExchanges(100, func(i int) (time.Duration, Outcome) {
		if i == 0 {
			return average, Surplus
		}
		return average, Answered
	})
	if counts[0] < minMalformed || counts[0] > 10 {
		t.Errorf("%d of 100 requests in 2 s to the searcher, want %d to 10", counts[0], minMalformed)
	}
	s.assertPick(0, 1)
}

func TestUsable(t *testing.T) {
	s := newSetup(t, "own", "own")
	_, exchange := s.Pick(s.searchers, []string{"b"}, average)
	exchange.End(Unreachable)
	if n := s.Usable(s.searchers); n != 1 {
		t.Errorf("%d searchers usable, want 1", n)
	}
}

// TestMerge checks that a daemon avoids a bad searcher by the observations of other daemons, without a request of its
// own to that searcher.
func TestMerge(t *testing.T) {
	tests := []struct {
		name     string
		observed exchanger.Observation
		want     int
	}{
		{"slow", exchanger.Observation{Searcher: "a", Answers: 10, Slowness: 10}, 1},
		{"failing", exchanger.Observation{Searcher: "a", Answers: 5, Slowness: 1, Failures: 5}, 1},
		{"unreachable", exchanger.Observation{Searcher: "a", Failures: 1, DialFailures: 1}, 1},
		{"average latency", exchanger.Observation{Searcher: "a", Answers: 10, Slowness: 1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup(t, "own", "other")
			s.Merge([]exchanger.Observation{tt.observed})
			s.assertPick(tt.want)
		})
	}
}

// TestDrain checks that answers of every latency are reported: reports of the slow ones alone make every searcher
// look slow.
func TestDrain(t *testing.T) {
	s := newSetup(t, "own")
	n := 0
	s.runExchanges(10, func(int) (time.Duration, Outcome) {
		n++
		return average * time.Duration(n%2*2), Answered
	})
	observed := s.Drain()
	if len(observed) != 1 || observed[0].Answers != 10 || observed[0].Slowness < 0.9 || observed[0].Slowness > 1.1 {
		t.Errorf("observations %+v, want 10 answers of slowness 1", observed)
	}
	if again := s.Drain(); len(again) != 0 {
		t.Errorf("returned twice: %+v", again)
	}
}

// TestCold checks that a warm searcher is preferred to a cold one.
func TestCold(t *testing.T) {
	s := newSetup(t, "own", "own")
	s.searchers[0].WarmAt = s.now.Add(time.Second)
	s.assertPick(1)
}

// TestColdLimited checks that the rate of requests to a cold searcher is bounded even if there is no other.
func TestColdLimited(t *testing.T) {
	s := newSetup(t, "own")
	cold := &s.searchers[0]
	cold.ColdLimited, cold.ColdRate, cold.WarmAt = true, 2, s.now.Add(3*time.Second)
	sent := 0
	for s.now.Before(cold.WarmAt) {
		if i, exchange := s.Pick(s.searchers, nil, average); i >= 0 {
			exchange.End(Answered)
			sent++
		}
		s.now = s.now.Add(5 * time.Millisecond)
	}
	if sent < 4 || sent > 6 {
		t.Errorf("%d requests in a warm-up of 3 s at 2 per second, want 4 to 6", sent)
	}
	if counts := s.runExchanges(10, answer); counts[0] != 10 {
		t.Errorf("%d of 10 requests after the warm-up, want all", counts[0])
	}
}

// TestFullSearcher guards against requests that queue at a searcher that the requests of other daemons fill, while another
// one has room, and against a load that is counted by its own daemon twice.
func TestFullSearcher(t *testing.T) {
	s, other := newSetup(t, "own", "other"), newSetup(t, "own", "other")
	for i := range s.searchers {
		s.searchers[i].Slots = 2
	}
	s.assertPick(0)
	for range 6 {
		other.Pick(other.searchers, []string{"b"}, average)
	}
	for range 10 {
		s.now, other.now = s.now.Add(300*time.Millisecond), other.now.Add(300*time.Millisecond)
		s.Merge(other.Drain())
	}
	s.assertPick(1)
	full, _ := s.Load(s.searchers[:1])
	free, _ := s.Load(s.searchers)
	if full < 1.3 || full > 2.7 || free != 0 {
		t.Errorf("load %.1f of the full searcher and %.1f of the least loaded, want about 2 and 0", full, free)
	}
	if _, ok := s.Load(nil); ok {
		t.Error("load of no searcher")
	}
}

// TestFasterSearcher guards against searchers of different speed that get equal load once the last answer is some seconds old.
func TestFasterSearcher(t *testing.T) {
	s := newSetup(t, "own", "own")
	latencies := []time.Duration{average * 13 / 10, average * 8 / 10}
	for range 200 {
		for i, id := range []string{"b", "a"} {
			_, e := s.Pick(s.searchers, []string{id}, average)
			s.now = s.now.Add(latencies[i])
			e.End(Answered)
		}
	}
	s.now = s.now.Add(4 * time.Second)
	for range 20 {
		s.assertPick(1)
	}
}
