package searcher

import (
	"net/http"
	"time"

	"cornelwood.example/internal/standin/responder"
)

// Load is the load page.
type Load struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// loadPage is the load page as it was sampled last.
type loadPage struct {
	at       time.Time
	inflight int
}

func (s *Searcher) getHealth(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	s.state.settle(now)
	h := s.state.healthAt(now.Add(-s.faults.Lag.Duration))
	if s.faults.Mislead {
		h.State = Warm
	}
	s.mu.Unlock()
	responder.Write(w, http.StatusOK, h)
}

func (s *Searcher) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.load.at) >= s.faults.Lag.Duration {
		s.load = loadPage{at: now, inflight: s.state.inside}
	}
	l := Load{Inflight: s.load.inflight, Slots: s.cfg.Slots}
	if s.faults.Mislead {
		l.Inflight = 0
	}
	s.mu.Unlock()
	responder.Write(w, http.StatusOK, l)
}
