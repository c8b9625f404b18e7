package promoter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	testLimit   = 12 * time.Second
	testTimeout = 2 * time.Second
	testStep    = 400 * time.Millisecond
	testShare   = 0.1 * usedShare
	// baseLatency is the usual latency, pauseTime and pausePeriod how long and how often a searcher pauses.
	baseLatency = 28 * time.Millisecond
	pauseTime   = 250 * time.Millisecond
	pausePeriod = 6 * time.Second
)

// moment is a request to the version under test: when, on which route, at which searcher, and what share of the service's
// requests the version gets.
type moment struct {
	at       time.Duration
	route    string
	searcher int
	share    float64
}

// pattern is a load pattern and how the version under test behaves in it.
type pattern struct {
	name string
	// rate is the number of requests a second on each of two routes.
	rate float64
	// fails and slows return the probability that an answer is a failure, or four times slower.
	fails, slows func(m moment) float64
	want         Action
	// from and to bound the time of the decision.
	from, to time.Duration
	// seeds is the number of runs, and maxWrong that of runs that may end otherwise.
	seeds, maxWrong int
	// credit is what the version is owed.
	credit float64
}

func never(moment) float64 { return 0 }

func always(p float64) func(moment) float64 {
	return func(moment) float64 { return p }
}

// testEnd is when a good version is found good: with the slowest answers of about 0.3 s the move takes 2.9 s.
const testEnd = testLimit - 3500*time.Millisecond

// TestDecide covers load patterns of a roll-out. Bad versions were completed, or good ones rolled back, with decisions on
// few requests, on one route or searcher, or early.
func TestDecide(t *testing.T) {
	later := func(at time.Duration, p float64) func(moment) float64 {
		return func(m moment) float64 {
			if m.at < at {
				return 0
			}
			return p
		}
	}
	for _, p := range []pattern{
		{name: "good", rate: 60, fails: never, slows: never, want: Move, from: testEnd, to: testLimit - 2*time.Second, seeds: 100, maxWrong: 1},
		{name: "good, as many failures as the others", rate: 60, fails: always(0.05), slows: never, want: Move, from: testEnd, to: testLimit - 2*time.Second, seeds: 50, maxWrong: 2},
		{name: "good, one searcher fails for two seconds", rate: 60, fails: func(m moment) float64 {
			if m.searcher == 0 && m.at > 3*time.Second && m.at < 5*time.Second {
				return 0.9
			}
			return 0
		}, slows: never, want: Move, from: testEnd, to: testLimit - 2*time.Second, seeds: 50, maxWrong: 2},
		{name: "good, little traffic", rate: 1, fails: never, slows: never, want: Move, from: testEnd, to: testLimit, seeds: 50, maxWrong: 1},
		{name: "bad at once", rate: 60, fails: always(0.4), slows: never, want: RollBack, to: 6 * time.Second, seeds: 50},
		{name: "bad later", rate: 60, fails: later(6*time.Second, 0.4), slows: never, want: RollBack, from: 6 * time.Second, to: testLimit - 2*time.Second, seeds: 50},
		{name: "bad under load only", rate: 600, fails: func(m moment) float64 {
			if m.share < 0.5 {
				return 0
			}
			return 0.3
		}, slows: never, want: RollBack, from: testEnd, to: testLimit, seeds: 20},
		{name: "bad on one route only", rate: 60, fails: func(m moment) float64 {
			if m.route == "b" {
				return 0.5
			}
			return 0
		}, slows: never, want: RollBack, to: 7 * time.Second, seeds: 50},
		{name: "several times slower", rate: 60, fails: never, slows: always(0.6), want: RollBack, to: 6 * time.Second, seeds: 50},
		{name: "several times slower later", rate: 60, fails: never, slows: later(4*time.Second, 0.8), want: RollBack, from: 4 * time.Second, to: testLimit - 2*time.Second, seeds: 50},
		{name: "bad, little traffic", rate: 2, fails: always(0.8), slows: never, want: RollBack, to: testLimit, seeds: 50, maxWrong: 2},
	} {
		t.Run(p.name, func(t *testing.T) {
			wrong := 0
			var last string
			for seed := range p.seeds {
				action, at, reason := p.run(uint64(seed))
				if action != p.want || at < p.from || at > p.to {
					wrong++
					last = fmt.Sprintf("seed %d: %s after %s: %s", seed, action, at, reason)
				}
			}
			if wrong > p.maxWrong {
				t.Errorf("%d of %d runs did not end with %q after %s to %s; the last: %s", wrong, p.seeds, p.want, p.from, p.to, last)
			}
		})
	}
}

// run plays the pattern until a decision. A version that is bad under load shows after the decision to move: then the second
// decision counts.
func (p *pattern) run(seed uint64) (Action, time.Duration, string) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	total := make(Evidence)
	c := &course{}
	s := &Situation{Limit: testLimit, StateBound: 2600 * time.Millisecond, Timeout: testTimeout, Unmoved: 1}
	start := time.Unix(0, 0)
	share := testShare
	p.credit = rnd.Float64()
	for at := testStep; at < 2*testLimit; at += testStep {
		next := make(Evidence)
		next = next.Since(Evidence{})
		for route, t := range total {
			next.add(t.samples(route), 1)
		}
		next.Add(p.samples(rnd, at, share))
		total = next
		s.Elapsed, s.Total, s.Recent = at, total, c.recent(total, start.Add(at), 2*time.Second)
		action, reason := Decide(s)
		if action == Move && p.want != Move {
			s.IsMoving, share = true, 1
			continue
		}
		if action != Keep {
			return action, at, reason
		}
	}
	return Keep, 2 * testLimit, ""
}

// samples returns what is counted in one step before at.
func (p *pattern) samples(rnd *rand.Rand, at time.Duration, share float64) []exchanger.RolloutSample {
	var out []exchanger.RolloutSample
	for _, route := range []string{"a", "b"} {
		requests := p.rate * testStep.Seconds()
		for range int(requests + rnd.Float64()) {
			m := moment{at: at - time.Duration(rnd.Int64N(int64(testStep))), route: route, share: share}
			m.searcher = (int(m.at/focusTime)*minFocus + rnd.IntN(minFocus)) % 3
			p.credit += share
			isVersion := p.credit >= 1
			if isVersion {
				p.credit--
			}
			sample := exchanger.RolloutSample{Route: route}
			fails, slow := 0.05, 0.0
			if p.fails(moment{}) != 0.05 {
				fails = 0
			}
			if isVersion {
				sample.Searcher = fmt.Sprint("s", m.searcher)
				fails, slow = p.fails(m), p.slows(m)
			}
			latency := time.Duration(float64(baseLatency) * (0.7 + 0.7*rnd.Float64()))
			if rnd.Float64() < slow {
				latency *= 4
			}
			// Each searcher pauses at another time.
			if phase := (m.at + time.Duration(m.searcher)*time.Second) % pausePeriod; phase < pauseTime {
				latency += pauseTime - phase
			}
			outcome := Answered
			if rnd.Float64() < fails {
				outcome = Failed
			}
			count(&sample, outcome, latency, baseLatency, false)
			out = append(out, sample)
		}
	}
	return out
}

// TestDecideWithoutTraffic covers an order whose version gets no request: it was completed at its limit although nothing was
// known of the version.
func TestDecideWithoutTraffic(t *testing.T) {
	s := &Situation{Limit: testLimit, Timeout: testTimeout}
	for at := time.Duration(0); at < testLimit; at += testStep {
		s.Elapsed = at
		action, _ := Decide(s)
		if action == Keep {
			continue
		}
		if action != RollBack || at < testLimit-2*time.Second {
			t.Errorf("%s after %s, want a rollback in the last two seconds of %s", action, at, testLimit)
		}
		return
	}
	t.Errorf("no decision within %s", testLimit)
}

// TestDecideMoving covers the end of the move. The status was completed, and the old searchers stopped, while a daemon still
// had requests in flight at them.
func TestDecideMoving(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		unmoved, unreachable int
		movingFor, elapsed   time.Duration
		isVetoed             bool
		want                 Action
	}{
		{name: "all moved", want: Complete},
		{name: "one has requests in flight", unmoved: 1, want: Keep},
		{name: "one does not answer", unreachable: 1, movingFor: time.Second, want: Keep},
		{name: "one has not answered for its bound and the timeout", unreachable: 1, movingFor: 2600*time.Millisecond + testTimeout, want: Complete},
		{name: "completed late", elapsed: testLimit + time.Second, want: Complete},
		{name: "not completed long after the limit", unmoved: 1, elapsed: maxOverrun * testLimit, want: RollBack},
		{name: "found bad by another", isVetoed: true, want: RollBack},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &Situation{
				Limit: testLimit, Elapsed: tt.elapsed, IsMoving: true, MovingFor: tt.movingFor, IsVetoed: tt.isVetoed,
				Unmoved: tt.unmoved, Unreachable: tt.unreachable, StateBound: 2600 * time.Millisecond, Timeout: testTimeout,
			}
			got, _ := Decide(s)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDecideRecent covers a version that turns bad after many good answers: their number hid the failures.
func TestDecideRecent(t *testing.T) {
	sample := func(searcher string, answers, failures int) exchanger.RolloutSample {
		return exchanger.RolloutSample{Route: "a", Searcher: searcher, Answers: answers, Failures: failures}
	}
	earlier, now := make(Evidence), make(Evidence)
	earlier.Add([]exchanger.RolloutSample{sample("", 9000, 5), sample("s1", 500, 0), sample("s2", 500, 0)})
	now.Add([]exchanger.RolloutSample{sample("", 9200, 5), sample("s1", 506, 5), sample("s2", 506, 5)})
	s := &Situation{Limit: time.Minute, Elapsed: 30 * time.Second, Timeout: testTimeout, Total: now, Recent: now.Since(earlier)}
	if action, reason := Decide(s); action != RollBack {
		t.Errorf("%s: %s; want a rollback after 10 failures of 22", action, reason)
	}
	s.Total, s.Recent = earlier, earlier.Since(earlier)
	if action, reason := Decide(s); action != Keep {
		t.Errorf("%s: %s; want none before the failures", action, reason)
	}
}

// TestTestTime covers the division of the time limit: most of it is the test, but enough is left for the move.
func TestTestTime(t *testing.T) {
	slow := make(Evidence)
	sample := exchanger.RolloutSample{Route: "a"}
	count(&sample, Answered, time.Second, time.Second, false)
	slow.Add([]exchanger.RolloutSample{sample})
	for _, tt := range []struct {
		name     string
		s        Situation
		from, to time.Duration
	}{
		{"short requests", Situation{Limit: testLimit, Timeout: testTimeout}, 9 * time.Second, 9200 * time.Millisecond},
		{"long requests", Situation{Limit: testLimit, Timeout: testTimeout, Total: slow}, 7500 * time.Millisecond, 8200 * time.Millisecond},
		{"a daemon that did not answer in time once", Situation{Limit: testLimit, Timeout: testTimeout, Unreachable: 1, StateBound: 2600 * time.Millisecond}, 9 * time.Second, 9200 * time.Millisecond},
		{"a daemon that does not answer", Situation{Limit: testLimit, Timeout: testTimeout, Unreachable: 1, Silent: 1, StateBound: 2600 * time.Millisecond}, 6 * time.Second, 6 * time.Second},
		{"longer limit", Situation{Limit: time.Minute, Timeout: testTimeout}, 57 * time.Second, 58 * time.Second},
		{"half at least", Situation{Limit: 2 * time.Second, Timeout: testTimeout}, time.Second, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.s.TestTime(); got < tt.from || got > tt.to {
				t.Errorf("test of %s, want %s to %s", got, tt.from, tt.to)
			}
		})
	}
}
