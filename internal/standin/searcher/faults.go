package searcher

import (
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/responder"
)

const maxFaultBytes = 64 << 10

// Faults says how a searcher misbehaves. The zero value is faultless.
//
// Cold, Silent and Advance act once, when they are set, and read back as zero.
type Faults struct {
	// Cold turns the searcher cold and resets its connections.
	Cold bool `json:"cold"`
	// Silent makes the present connections silent for good; new ones work.
	Silent bool `json:"silent"`
	// Advance is the number of versions to add, and of oldest ones to drop.
	Advance uint64 `json:"advance"`
	// Drain refuses new work; what runs ends.
	Drain bool `json:"drain"`
	// Shed is the share of work that is refused.
	Shed float64 `json:"shed"`
	// Cross is the number of next answers that are another request's or, when
	// there is none, another attempt's.
	Cross int `json:"cross"`
	// Late is the number of next answers that are held back by LateBy, whatever
	// their deadline.
	Late   int               `json:"late"`
	LateBy declarer.Duration `json:"lateby"`
	// Truncate is the number of next answers cut short: by turns as a whole HTTP
	// answer with half of the JSON, and with a closed connection.
	Truncate int `json:"truncate"`
	// Duplicate is the number of next answers that hold each hit twice.
	Duplicate int `json:"duplicate"`
	// WrongVersion is the number of next answers that are of the next version.
	WrongVersion int `json:"wrongversion"`
	// Stall is the number of next requests that hold a slot and are not answered
	// until their caller goes, whatever their deadline.
	Stall int `json:"stall"`
	// Mislead makes the health page say warm and the load page say idle.
	Mislead bool `json:"mislead"`
	// Lag is how far the health and load pages are behind.
	Lag declarer.Duration `json:"lag"`
}

// Check returns the first fault of a decoded value, or nil.
func (f *Faults) Check() error {
	switch {
	case f.Shed < 0 || f.Shed > 1:
		return fmt.Errorf("shed: want 0 to 1, got %v", f.Shed)
	case min(f.Cross, f.Late, f.Truncate, f.Duplicate, f.WrongVersion, f.Stall) < 0:
		return fmt.Errorf("counts of faults: want 0 or more")
	case min(f.LateBy.Duration, f.Lag.Duration) < 0:
		return fmt.Errorf("lateby and lag: want 0 or more")
	default:
		return nil
	}
}

// Faults returns the faults in force.
func (s *Searcher) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force and carries out those that act once.
func (s *Searcher) SetFaults(f Faults) {
	s.setFaults(f, nil)
}

// setFaults is SetFaults that spares one connection.
func (s *Searcher) setFaults(f Faults, spared *conn) {
	now := time.Now()
	once := f
	f.Cold, f.Silent, f.Advance = false, false, 0
	s.mu.Lock()
	s.faults = f
	s.state.setDrain(f.Drain, now)
	if once.Cold {
		s.state.turnCold(now)
	}
	if once.Advance > 0 {
		s.state.advance(once.Advance, now)
	}
	s.mu.Unlock()
	if once.Cold {
		s.conns.reset(spared)
	}
	if once.Silent {
		s.conns.silence(spared)
	}
}

func (s *Searcher) getFaults(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, s.Faults())
}

// postFaults changes the faults that the body names and leaves the others. Its
// own connection is neither reset nor silent.
func (s *Searcher) postFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if !responder.Read(w, r, maxFaultBytes, &f) {
		return
	}
	if err := f.Check(); err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	spared, _ := r.Context().Value(connKey{}).(*conn)
	s.setFaults(f, spared)
	responder.Write(w, http.StatusOK, f)
}

func (s *Searcher) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	s.SetFaults(Faults{})
	responder.Write(w, http.StatusOK, Faults{})
}

// use takes one from the count of a fault and reports whether there was one.
func (s *Searcher) use(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}
