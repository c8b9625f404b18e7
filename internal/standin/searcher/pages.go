package searcher

import (
	"net/http"
	"time"

	"cornelwood.example/internal/standin/responder"
)

// Load is the body of the load page, GET /load.
type Load struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// loadSample is the number of requests in flight at a time.
type loadSample struct {
	at       time.Time
	inflight int
}

func (s *Searcher) getHealth(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	s.state.endColdStart(now)
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
	if now.Sub(s.lastLoad.at) >= s.faults.Lag.Duration {
		s.lastLoad = loadSample{at: now, inflight: s.state.inFlight}
	}
	l := Load{Inflight: s.lastLoad.inflight, Slots: s.cfg.Slots}
	if s.faults.Mislead {
		l.Inflight = 0
	}
	s.mu.Unlock()
	responder.Write(w, http.StatusOK, l)
}
