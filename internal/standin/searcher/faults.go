package searcher

import (
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/responder"
)

// maxFaultBytes is the largest body of POST /faults, in bytes.
const maxFaultBytes = 64 << 10

// Faults are the faults that a searcher injects. The zero value injects none.
//
// Cold, Silent and Advance act once, when they are set, and read back as zero.
type Faults struct {
	// Cold turns the searcher cold and resets its connections.
	Cold bool `json:"cold"`
	// Silent makes the present connections permanently silent; new ones work.
	Silent bool `json:"silent"`
	// Advance is the number of newer versions to add and of the oldest ones to drop.
	Advance uint64 `json:"advance"`
	// Drain refuses new requests; those already admitted are answered.
	Drain bool `json:"drain"`
	// Shed is the share of requests, from 0 to 1, that is refused.
	Shed float64 `json:"shed"`
	// Cross is the number of next answers that are replaced by the answer to another request or, when there is none
	// yet, carry another attempt's ID.
	Cross int `json:"cross"`
	// Late is the number of next answers that are delayed by LateBy, regardless of the deadline.
	Late   int               `json:"late"`
	LateBy declarer.Duration `json:"lateby"`
	// Truncate is the number of next answers that are truncated: alternately as a complete HTTP answer with half of
	// the JSON, and by closing the connection after half of the body.
	Truncate int `json:"truncate"`
	// Duplicate is the number of next answers that contain each hit twice.
	Duplicate int `json:"duplicate"`
	// WrongVersion is the number of next answers that are of the version after the requested one.
	WrongVersion int `json:"wrongversion"`
	// Stall is the number of next requests that hold a slot without an answer until their caller disconnects,
	// regardless of the deadline.
	Stall int `json:"stall"`
	// Mislead makes the health page report warm and the load page 0 requests in flight.
	Mislead bool `json:"mislead"`
	// Lag is how old the content of the health and load pages is.
	Lag declarer.Duration `json:"lag"`
}

// Check returns an error that describes the first invalid field, or nil.
func (f *Faults) Check() error {
	switch {
	case f.Shed < 0 || f.Shed > 1:
		return fmt.Errorf("shed: want 0 to 1, got %v", f.Shed)
	case min(f.Cross, f.Late, f.Truncate, f.Duplicate, f.WrongVersion, f.Stall) < 0:
		return fmt.Errorf("cross, late, truncate, duplicate, wrongversion and stall: want 0 or more")
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

// SetFaults replaces the faults in force and applies those that act once.
func (s *Searcher) SetFaults(f Faults) {
	s.setFaults(f, nil)
}

// setFaults is SetFaults, but neither resets nor silences the connection except, which may be nil.
func (s *Searcher) setFaults(f Faults, except *conn) {
	now := time.Now()
	oneShot := f
	f.Cold, f.Silent, f.Advance = false, false, 0
	s.mu.Lock()
	s.faults = f
	s.state.setDrain(f.Drain, now)
	if oneShot.Cold {
		s.state.turnCold(now)
	}
	if oneShot.Advance > 0 {
		s.state.advance(oneShot.Advance, now)
	}
	s.mu.Unlock()
	if oneShot.Cold {
		s.conns.resetAll(except)
	}
	if oneShot.Silent {
		s.conns.silenceAll(except)
	}
}

func (s *Searcher) getFaults(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, s.Faults())
}

// postFaults changes the faults that the body names and leaves the others. The connection of the call itself is
// neither reset nor silenced.
func (s *Searcher) postFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if !responder.Read(w, r, maxFaultBytes, &f) {
		return
	}
	if err := f.Check(); err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	except, _ := r.Context().Value(connKey{}).(*conn)
	s.setFaults(f, except)
	responder.Write(w, http.StatusOK, f)
}

func (s *Searcher) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	s.SetFaults(Faults{})
	responder.Write(w, http.StatusOK, Faults{})
}

// consume decrements the remaining count of a fault and reports whether it was above 0.
func (s *Searcher) consume(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}
