// Package selector chooses the daemon that gathers a query, and finds out which daemons can be reached.
//
// It handles these load patterns:
//   - Daemons that slow down or have much in flight: queries go to the others before those in flight have ended.
//   - Daemons that are cut off, frozen or dead: after one query without a sign of life they get none until a probe, which
//     no query waits for, has been answered.
package selector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/time/sleeper"
)

const (
	// inFlightCost is the cost of each query in flight, relative to an average one.
	inFlightCost = 0.3
	// otherZoneCost is the cost of a daemon of another zone: a round trip between zones, and bytes that cross them.
	otherZoneCost = 1.5
	// costJitter is the share by which costs are increased at random, so that daemons of about equal cost get about equal
	// load.
	costJitter = 0.3
	// latencyWeight is the weight of the newest sample in a daemon's relative latency, and maxLatency bounds one sample.
	latencyWeight = 0.25
	maxLatency    = 8
	// latencyHalfLife is how fast a daemon's relative latency returns to 1 without new samples.
	latencyHalfLife = 2 * time.Second
	// minProbePause and maxProbePause bound the pause between probes of a daemon that does not answer; it doubles with
	// each.
	minProbePause = 200 * time.Millisecond
	maxProbePause = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the interval at which due probes are started.
	probeInterval = 50 * time.Millisecond
	// wantedFor is how long after its last candidacy a daemon is probed: a daemon without clients probes nobody.
	wantedFor = 10 * time.Second
)

// Outcome is the outcome of asking a daemon to gather a query.
type Outcome int

// Outcomes.
const (
	// Answered: the daemon answered.
	Answered Outcome = iota
	// Refused: the daemon refused the query for a reason of its own.
	Refused
	// Silent: the daemon gave no sign of life in time, or the connection to it failed.
	Silent
	// Abandoned: the query ended for another reason before the daemon had answered.
	Abandoned
)

// Prober sends a probe to a daemon and returns an error when it does not answer.
type Prober interface {
	Probe(ctx context.Context, m *declarer.Member) error
}

// Selector chooses daemons. It is a service whose Serve probes those that do not answer. It is safe for concurrent use.
type Selector struct {
	zone   string
	prober Prober
	log    hclog.Logger
	now    func() time.Time

	mu     sync.Mutex
	states map[string]*state
	probes sync.WaitGroup
}

// state is what is known of one daemon.
type state struct {
	member declarer.Member
	// inFlight holds the start of each query in flight.
	inFlight map[*Call]struct{}
	// latency is the moving average of latencies relative to the route's average, as of sampledAt.
	latency   float64
	sampledAt time.Time
	// silences counts the queries and probes in a row that the daemon did not answer; while it is above 0, the daemon gets
	// no query. The next probe is due at probeAt.
	silences int
	probeAt  time.Time
	probing  bool
	// wantedAt is when the daemon was last a candidate.
	wantedAt time.Time
}

// New returns a Selector of a daemon in zone; now is its clock.
func New(zone string, prober Prober, log hclog.Logger, now func() time.Time) *Selector {
	return &Selector{zone: zone, prober: prober, log: log, now: now, states: make(map[string]*state)}
}

// Call is a query at a daemon, from Pick to End.
type Call struct {
	selector *Selector
	state    *state
	start    time.Time
	average  time.Duration
	ended    bool
}

// Pick starts a query at the candidate of the lowest cost that is not among tried, the IDs of daemons, and returns nil
// when there is none that is known to answer. average is the average latency of the route's queries.
func (s *Selector) Pick(candidates []declarer.Member, tried []string, average time.Duration) (*declarer.Member, *Call) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *state
	bestCost := 0.0
	for i := range candidates {
		st := s.stateOf(&candidates[i], now)
		if st.silences > 0 || slices.Contains(tried, st.member.ID) {
			continue
		}
		cost := s.cost(st, average, now) * (1 + costJitter*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = st, cost
		}
	}
	if best == nil {
		return nil, nil
	}
	c := &Call{selector: s, state: best, start: now, average: average}
	best.inFlight[c] = struct{}{}
	m := best.member
	return &m, c
}

// Reachable reports whether one of the candidates may be chosen.
func (s *Selector) Reachable(candidates []declarer.Member) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range candidates {
		if s.stateOf(&candidates[i], now).silences == 0 {
			return true
		}
	}
	return false
}

func (s *Selector) cost(st *state, average time.Duration, now time.Time) float64 {
	cost := st.latencyAt(now)
	for c := range st.inFlight {
		cost = max(cost, relative(now.Sub(c.start), average))
	}
	cost *= 1 + inFlightCost*float64(len(st.inFlight))
	if st.member.Zone != s.zone {
		cost += otherZoneCost
	}
	return cost
}

func (s *Selector) stateOf(m *declarer.Member, now time.Time) *state {
	st := s.states[m.ID]
	if st == nil || st.member.Peer != m.Peer {
		st = &state{inFlight: make(map[*Call]struct{})}
		s.states[m.ID] = st
	}
	st.member, st.wantedAt = *m, now
	return st
}

// End ends the call with its outcome. Calls after the first have no effect.
func (c *Call) End(o Outcome) {
	s := c.selector
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	st := c.state
	delete(st.inFlight, c)
	took := now.Sub(c.start)
	switch o {
	case Answered:
		st.addLatency(relative(took, c.average), now)
		st.silences = 0
	case Refused:
		st.addLatency(maxLatency, now)
	case Silent:
		s.recordSilence(st, now)
	case Abandoned:
		if l := relative(took, c.average); l > st.latencyAt(now) {
			st.addLatency(l, now)
		}
	}
}

// recordSilence takes a daemon that does not answer out of the choice until a probe is answered.
func (s *Selector) recordSilence(st *state, now time.Time) {
	if st.silences == 0 {
		s.log.Info("daemon gathers no queries for now: it does not answer", "daemon", st.member.ID, "zone", st.member.Zone)
	}
	st.probeAt = now.Add(min(maxProbePause, minProbePause<<min(st.silences, 8)))
	st.silences++
}

// String names the service for its supervisor.
func (s *Selector) String() string {
	return "selector"
}

// Serve probes the daemons that do not answer until ctx ends, and returns its error.
func (s *Selector) Serve(ctx context.Context) error {
	defer s.probes.Wait()
	for {
		if err := sleeper.Sleep(ctx, probeInterval); err != nil {
			return err
		}
		for _, st := range s.dueProbes() {
			s.probes.Go(func() { s.probe(ctx, st) })
		}
	}
}

// dueProbes returns the states of the daemons to be probed now, and forgets those that are no longer candidates.
func (s *Selector) dueProbes() []*state {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*state
	for id, st := range s.states {
		switch {
		case now.Sub(st.wantedAt) > wantedFor && len(st.inFlight) == 0 && !st.probing:
			delete(s.states, id)
		case st.silences > 0 && !st.probing && !now.Before(st.probeAt):
			st.probing = true
			due = append(due, st)
		}
	}
	return due
}

func (s *Selector) probe(ctx context.Context, st *state) {
	s.mu.Lock()
	m := st.member
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := s.prober.Probe(ctx, &m)
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.probing = false
	if err != nil {
		s.recordSilence(st, now)
		return
	}
	st.silences = 0
	s.log.Info("daemon gathers queries again: it answered a probe", "daemon", m.ID, "zone", m.Zone)
}

func (st *state) addLatency(sample float64, now time.Time) {
	st.latency = st.latencyAt(now)*(1-latencyWeight) + latencyWeight*sample
	st.sampledAt = now
}
