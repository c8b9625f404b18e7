package searcher

import (
	"maps"
	"net/http"
	"time"

	"cornelwood.example/internal/standin/responder"
)

// maxRequestIDs is the largest number of request IDs in each of the two maps of Counts.
const maxRequestIDs = 1 << 16

// Counts holds a searcher's counters since its start.
type Counts struct {
	// Runs and Searches map each request ID to the number of times that it started to run. Searches adds up the
	// sub-requests for all shards of this searcher. IDs beyond the first 65536 are not counted.
	Runs     map[string]int `json:"runs,omitempty"`
	Searches map[string]int `json:"searches,omitempty"`
	// Started counts requests that got a slot, and Done those that were answered. Refused counts requests that were
	// refused during a drain, by shedding, or because their deadline passed or their caller disconnected while they were
	// queued; Sheds counts those refused by shedding. Requests for a shard or version that is not held are in none of
	// these counts.
	Started int `json:"started"`
	Done    int `json:"done"`
	Refused int `json:"refused"`
	Sheds   int `json:"sheds"`
	// MaxInFlight is the largest number of requests in flight at one time, including queued ones.
	MaxInFlight int `json:"mostinside"`
	// Overlaps counts requests that arrived while every slot was taken.
	Overlaps int `json:"overlaps"`
	// ColdOverloads counts how often the searcher was overloaded because more than Config.ColdSlots requests were in
	// flight while it was cold.
	ColdOverloads int `json:"coldoverloads"`
	// LastColdOverload describes the last of them.
	LastColdOverload ColdOverload `json:"lastcoldoverload"`
	// MaxInFlightCold is the largest number of requests in flight at an arrival while cold.
	MaxInFlightCold int `json:"mostcold"`
	// AfterDrain counts requests that arrived during a drain; LastAfterDrain is the time from the start of the drain
	// to the last of them.
	AfterDrain     int           `json:"afterdrain"`
	LastAfterDrain time.Duration `json:"lastafterdrain"`
	// LastWork is when the last request arrived.
	LastWork time.Time `json:"lastwork"`
	// Accepted and RefusedConns count connections within and beyond the limit; MaxOpen is the largest number open at
	// one time, Open the present number.
	Accepted     int `json:"accepted"`
	RefusedConns int `json:"refusedconns"`
	MaxOpen      int `json:"mostopen"`
	Open         int `json:"open"`
	// Cancelled and Expired count running requests that were stopped by their caller and by their deadline; Wasted is
	// the time that they ran.
	Cancelled int           `json:"cancelled"`
	Expired   int           `json:"expired"`
	Wasted    time.Duration `json:"wasted"`
}

// ColdOverload describes one overload of a cold searcher.
type ColdOverload struct {
	// Cold is the time from when the searcher turned cold to the overload.
	Cold time.Duration `json:"cold"`
	// InFlight is the number of requests in flight with the one that overloaded it, and Successes the number of answers
	// since it turned cold.
	InFlight  int `json:"inflight"`
	Successes int `json:"successes"`
	// Reset is true when the request arrived on a connection that had been reset: its caller could not know yet that the
	// searcher had turned cold.
	Reset bool `json:"reset"`
}

func newCounts() Counts {
	return Counts{Runs: make(map[string]int), Searches: make(map[string]int)}
}

// Counts returns a copy of the present counters.
func (s *Searcher) Counts() Counts {
	s.mu.Lock()
	c := s.counts
	c.Runs = maps.Clone(c.Runs)
	c.Searches = maps.Clone(c.Searches)
	s.mu.Unlock()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	c.Accepted, c.RefusedConns = s.conns.accepted, s.conns.refused
	c.MaxOpen, c.Open = s.conns.maxOpen, len(s.conns.open)
	return c
}

// getCounts answers GET /counts; it leaves out Runs and Searches when the query says brief=1.
func (s *Searcher) getCounts(w http.ResponseWriter, r *http.Request) {
	c := s.Counts()
	if r.URL.Query().Get("brief") == "1" {
		c.Runs, c.Searches = nil, nil
	}
	responder.Write(w, http.StatusOK, c)
}

// countID increments the count of a request ID, unless the ID is new and the map is full.
func countID(ids map[string]int, id string) {
	if _, ok := ids[id]; ok || len(ids) < maxRequestIDs {
		ids[id]++
	}
}
