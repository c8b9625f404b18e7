package estimator

import (
	"testing"
	"time"
)

// setup is an Estimator of the searcher "a" with 6 slots and a clock that the test sets.
type setup struct {
	*Estimator
	t   *testing.T
	now time.Time
}

const slots = 6

func newSetup(t *testing.T) *setup {
	s := &setup{t: t, now: time.Unix(1000, 0)}
	s.Estimator = New(func() time.Time { return s.now })
	return s
}

// run lets the searcher answer 20 requests a second for d with inFlight requests at a time; latency is the relative latency
// of an answer.
func (s *setup) run(d time.Duration, inFlight int, latency func() float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		s.Observe("a", Sample{Answers: 1, Slowness: latency(), InFlight: inFlight, Slots: slots})
	}
}

func always(latency float64) func() float64 {
	return func() float64 { return latency }
}

func (s *setup) assertLimit(low, high float64) {
	s.t.Helper()
	if got, certainty := s.Limit("a", slots); got < low || got > high || certainty < 0 || certainty > 1 {
		s.t.Errorf("limit %.2f (certainty %.2f), want %g to %g", got, certainty, low, high)
	}
}

func (s *setup) assertSpeed(low, high float64) {
	s.t.Helper()
	if got := s.Speed("a"); got < low || got > high {
		s.t.Errorf("speed %.2f, want %g to %g", got, low, high)
	}
}

// TestUnknown guards against an estimate without samples that differs from what the searcher declares.
func TestUnknown(t *testing.T) {
	s := newSetup(t)
	s.assertLimit(slots, slots)
	s.assertSpeed(1, 1)
	if got, _ := s.Limit("a", 0); got != 0 {
		t.Errorf("limit %g of a searcher that declares no slots, want 0", got)
	}
}

// TestSpeed guards against a weight that takes a pause, or slow seconds, for the searcher's speed.
func TestSpeed(t *testing.T) {
	s := newSetup(t)
	s.run(20*time.Second, 1, always(1.3))
	s.assertSpeed(0.74, 0.83)
	s.run(time.Second, 1, always(9))
	s.assertSpeed(0.4, 0.83)
	s.run(10*time.Second, 1, always(1.3))
	s.assertSpeed(0.7, 0.83)
	s.now = s.now.Add(time.Minute)
	s.assertSpeed(0.97, 1)
}

// TestLimitFalls guards against a searcher that slows down before it is full and keeps its declared number of requests.
func TestLimitFalls(t *testing.T) {
	s := newSetup(t)
	s.run(5*time.Second, 1, always(1))
	s.run(4*time.Second, 5, always(4))
	s.assertLimit(1, 4.5)
	s.now = s.now.Add(time.Minute)
	s.assertLimit(slots*0.9, slots)
}

// TestLimitOfPausingSearcher guards against a limit that falls by the pauses of a searcher under normal load, 250 ms each
// 6 s.
func TestLimitOfPausingSearcher(t *testing.T) {
	s := newSetup(t)
	for range 10 {
		s.run(250*time.Millisecond, 2, always(8))
		s.run(5750*time.Millisecond, 1, always(1))
	}
	s.assertLimit(slots, slots)
}

// TestLimitRises guards against a limit that keeps a searcher from what it handles well.
func TestLimitRises(t *testing.T) {
	s := newSetup(t)
	s.run(5*time.Second, 1, always(1))
	s.run(20*time.Second, slots, always(1.2))
	s.assertLimit(slots+1, maxLimitSlots*slots)
}

// TestRefusals guards against refusals of a full searcher that do not lower its limit.
func TestRefusals(t *testing.T) {
	s := newSetup(t)
	for range 6 {
		s.Observe("a", Sample{Refusals: 1, InFlight: slots, Slots: slots})
		s.now = s.now.Add(adjustInterval)
	}
	s.assertLimit(1, 5.5)
}

// TestLoad guards against a queue that only its own daemon sees.
func TestLoad(t *testing.T) {
	s := newSetup(t)
	for range 20 {
		// Eight requests in flight at all times, reported each 300 ms.
		s.Observe("a", Sample{Busy: 8 * 300 * time.Millisecond})
		s.now = s.now.Add(300 * time.Millisecond)
	}
	if got := s.Load("a", 0, 0); got < 6 || got > 10 {
		t.Errorf("load %.1f, want about 8", got)
	}
	s.now = s.now.Add(5 * time.Second)
	if got := s.Load("a", 0, 0); got > 0.1 {
		t.Errorf("load %.1f after 5 s without reports, want none", got)
	}
}

// TestSweep guards against estimates that stay for good.
func TestSweep(t *testing.T) {
	s := newSetup(t)
	s.run(time.Second, 1, always(1))
	s.now = s.now.Add(2 * retention)
	s.Observe("b", Sample{Answers: 1, Slowness: 1})
	if n := len(s.searchers); n != 1 {
		t.Errorf("%d searchers kept, want 1", n)
	}
}

// TestInFlight guards against a load that stays as it was a second ago while all daemons have stopped sending, and against one
// that misses what this daemon has just sent.
func TestInFlight(t *testing.T) {
	s := newSetup(t)
	s.Count("a", 2)
	for range 20 {
		s.Observe("a", Sample{Busy: 6 * 300 * time.Millisecond})
		s.now = s.now.Add(300 * time.Millisecond)
	}
	for _, tt := range []struct {
		own       int
		low, high float64
	}{{2, 6, 9}, {5, 9, 12}, {1, 3, 4.5}, {0, 0, 0}} {
		s.Count("a", tt.own)
		if got := s.InFlight("a", 0, 0); got < tt.low || got > tt.high {
			t.Errorf("%d own requests: %.1f in flight, want %g to %g", tt.own, got, tt.low, tt.high)
		}
	}
	// A daemon that had one request for 50 ms.
	s.Observe("b", Sample{Busy: 6 * time.Second})
	s.Count("b", 1)
	s.now = s.now.Add(50 * time.Millisecond)
	s.Count("b", 0)
	if got := s.InFlight("b", 0, 0); got < 5 {
		t.Errorf("%.1f in flight for a daemon that has a request now and then, want those of the others, about 5.5", got)
	}
}

// TestUnlikelyLoad guards against a load that is reported several times over, and refuses requests that the searchers have room for.
func TestUnlikelyLoad(t *testing.T) {
	const slots, senders = 4, 11
	now := time.Unix(1000, 0)
	e := New(func() time.Time { return now })
	e.Observe("a", Sample{Busy: 400 * time.Second})
	if got := e.Load("a", slots, senders); got > slots {
		t.Errorf("load %.1f beside a daemon without requests, want the slots, %d, at most", got, slots)
	}
	e.Count("a", 2)
	now = now.Add(5 * time.Second)
	e.Observe("a", Sample{Busy: 30 * time.Second})
	if got := e.Load("a", slots, senders); got < 29 {
		t.Errorf("load %.1f beside a daemon with two requests in flight, want all of the 30 that are reported", got)
	}
}
