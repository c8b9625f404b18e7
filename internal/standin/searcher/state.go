package searcher

import "time"

// Values of Health.State.
const (
	Warm     = "warm"
	Cold     = "cold"
	Draining = "draining"
)

// Health is the body of the health page, GET /health.
type Health struct {
	State  string `json:"state"`
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// state is the changing state of a searcher. Searcher.mu guards it.
type state struct {
	cfg  *Config
	cold bool
	// coldSince is when the searcher last turned cold; successes counts the answers since then.
	coldSince time.Time
	successes int
	// shedUntil is when the shedding after an overload ends.
	shedUntil time.Time
	// drainSince is when the drain began; zero when the searcher does not drain.
	drainSince     time.Time
	oldest, newest uint64
	// inFlight is the number of admitted requests, queued ones included; running is the number of those with a slot.
	inFlight, running int
	// healthHistory holds the health pages of the past, oldest first.
	healthHistory []healthRecord
}

// healthRecord is the health page from one time on.
type healthRecord struct {
	at     time.Time
	health Health
}

func newState(cfg *Config, now time.Time) state {
	s := state{cfg: cfg, cold: !cfg.Warm, coldSince: now, oldest: cfg.Oldest, newest: cfg.Newest}
	s.recordHealth(now)
	return s
}

// endColdStart makes the searcher warm when ColdFor and ColdSuccesses are reached.
func (s *state) endColdStart(now time.Time) {
	if !s.cold || s.successes < s.cfg.ColdSuccesses || now.Sub(s.coldSince) < s.cfg.ColdFor {
		return
	}
	s.cold = false
	s.recordHealth(now)
}

// turnCold makes the searcher cold. The time and the answers of the cold start count from now.
func (s *state) turnCold(now time.Time) {
	s.cold, s.coldSince, s.successes = true, now, 0
	s.recordHealth(now)
}

// setDrain starts or ends a drain. Setting a drain again keeps its start.
func (s *state) setDrain(drain bool, now time.Time) {
	switch {
	case !drain:
		s.drainSince = time.Time{}
	case s.drainSince.IsZero():
		s.drainSince = now
	}
	s.recordHealth(now)
}

func (s *state) draining() bool {
	return !s.drainSince.IsZero()
}

// advance adds n newer versions and drops the n oldest ones.
func (s *state) advance(n uint64, now time.Time) {
	s.oldest += n
	s.newest += n
	s.recordHealth(now)
}

// health returns the present health page.
func (s *state) health() Health {
	h := Health{State: Warm, Oldest: s.oldest, Newest: s.newest}
	switch {
	case s.draining():
		h.State = Draining
	case s.cold:
		h.State = Cold
	}
	return h
}

// recordHealth adds the present health page to the history.
func (s *state) recordHealth(now time.Time) {
	const maxRecords = 256
	s.healthHistory = append(s.healthHistory, healthRecord{at: now, health: s.health()})
	if len(s.healthHistory) > maxRecords {
		s.healthHistory = s.healthHistory[1:]
	}
}

// healthAt returns the health page as of t, or the oldest in the history when t is before it.
func (s *state) healthAt(t time.Time) Health {
	h := s.healthHistory[0].health
	for _, r := range s.healthHistory {
		if r.at.After(t) {
			break
		}
		h = r.health
	}
	return h
}
