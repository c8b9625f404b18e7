package searcher

import (
	"maps"
	"net/http"
	"time"

	"cornelwood.example/internal/standin/responder"
)

// maxRequests bounds the request ids that are remembered in each of the two
// maps of Counts.
const maxRequests = 1 << 16

// Counts is what a searcher saw.
type Counts struct {
	// Runs and Searches hold how often each request id started to run. Searches
	// counts the sub-requests of all shards here together. Ids beyond the first
	// 65536 are not held.
	Runs     map[string]int `json:"runs,omitempty"`
	Searches map[string]int `json:"searches,omitempty"`
	// Started, Done and Refused count work: what got a slot, what was answered,
	// and what was turned away with a status that says "not run".
	Started int `json:"started"`
	Done    int `json:"done"`
	Refused int `json:"refused"`
	Sheds   int `json:"sheds"`
	// MostInside is the most work at once, queued included.
	MostInside int `json:"mostinside"`
	// Overlaps counts work that came while every slot was taken.
	Overlaps int `json:"overlaps"`
	// ColdOverloads counts how often the searcher fell over because it was given
	// more work at once than it bears while cold.
	ColdOverloads int `json:"coldoverloads"`
	// MostCold is the most work at once that came while cold.
	MostCold int `json:"mostcold"`
	// AfterDrain counts work that came after the drain began; LastAfterDrain is
	// when the last of it came, as time since the drain began.
	AfterDrain     int           `json:"afterdrain"`
	LastAfterDrain time.Duration `json:"lastafterdrain"`
	// LastWork is when work came last.
	LastWork time.Time `json:"lastwork"`
	// Accepted, RefusedConns and MostOpen count connections.
	Accepted     int `json:"accepted"`
	RefusedConns int `json:"refusedconns"`
	MostOpen     int `json:"mostopen"`
	Open         int `json:"open"`
	// Cancelled and Expired count work that was stopped by its caller and by its
	// deadline while it ran; Wasted is the time spent on it.
	Cancelled int           `json:"cancelled"`
	Expired   int           `json:"expired"`
	Wasted    time.Duration `json:"wasted"`
}

func newCounts() Counts {
	return Counts{Runs: make(map[string]int), Searches: make(map[string]int)}
}

// Counts returns what the searcher saw up to now.
func (s *Searcher) Counts() Counts {
	s.mu.Lock()
	c := s.counts
	c.Runs = maps.Clone(c.Runs)
	c.Searches = maps.Clone(c.Searches)
	s.mu.Unlock()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	c.Accepted, c.RefusedConns = s.conns.accepted, s.conns.refused
	c.MostOpen, c.Open = s.conns.mostOpen, len(s.conns.open)
	return c
}

// getCounts leaves out the request ids when the query says brief=1.
func (s *Searcher) getCounts(w http.ResponseWriter, r *http.Request) {
	c := s.Counts()
	if r.URL.Query().Get("brief") == "1" {
		c.Runs, c.Searches = nil, nil
	}
	responder.Write(w, http.StatusOK, c)
}

// countID counts a request id unless too many are held.
func countID(ids map[string]int, id string) {
	if _, ok := ids[id]; ok || len(ids) < maxRequests {
		ids[id]++
	}
}
