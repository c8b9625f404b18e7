package searcher

import "time"

// States on the health page.
const (
	Warm     = "warm"
	Cold     = "cold"
	Draining = "draining"
)

// Health is the health page.
type Health struct {
	State  string `json:"state"`
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// state is what a searcher is: its temperature, drain, versions and running
// work.
type state struct {
	cfg            *Config
	cold           bool
	coldSince      time.Time
	successes      int
	shedUntil      time.Time
	drainSince     time.Time
	oldest, newest uint64
	// inside is the admitted work, queued included; running holds a slot.
	inside, running int
	// pages holds the health pages of the past, oldest first.
	pages []page
}

type page struct {
	at     time.Time
	health Health
}

func newState(cfg *Config, now time.Time) state {
	s := state{cfg: cfg, cold: !cfg.Warm, coldSince: now, oldest: cfg.Oldest, newest: cfg.Newest}
	s.note(now)
	return s
}

// settle turns the searcher warm when it has been cold long enough.
func (s *state) settle(now time.Time) {
	if !s.cold || s.successes < s.cfg.ColdSuccesses || now.Sub(s.coldSince) < s.cfg.ColdFor {
		return
	}
	s.cold = false
	s.note(now)
}

func (s *state) turnCold(now time.Time) {
	s.cold, s.coldSince, s.successes = true, now, 0
	s.note(now)
}

func (s *state) setDrain(drain bool, now time.Time) {
	switch {
	case !drain:
		s.drainSince = time.Time{}
	case s.drainSince.IsZero():
		s.drainSince = now
	}
	s.note(now)
}

func (s *state) draining() bool {
	return !s.drainSince.IsZero()
}

func (s *state) advance(n uint64, now time.Time) {
	s.oldest += n
	s.newest += n
	s.note(now)
}

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

// note remembers the health page from now on.
func (s *state) note(now time.Time) {
	const maxPages = 256
	s.pages = append(s.pages, page{at: now, health: s.health()})
	if len(s.pages) > maxPages {
		s.pages = s.pages[1:]
	}
}

// healthAt returns the health page as it was at t.
func (s *state) healthAt(t time.Time) Health {
	h := s.pages[0].health
	for _, p := range s.pages {
		if p.at.After(t) {
			break
		}
		h = p.health
	}
	return h
}
