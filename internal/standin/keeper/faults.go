package keeper

import (
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/responder"
)

const maxFaultBytes = 64 << 10

// Outage is a way in which the platform is down.
type Outage string

// Outages.
const (
	// Up is no outage.
	Up Outage = ""
	// OutageRefuse answers each call with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves each call without an answer until the outage ends, and then
	// closes its connection.
	OutageHang Outage = "hang"
)

// Faults says how the keeper misbehaves. The zero value is faultless.
type Faults struct {
	Outage Outage `json:"outage"`
	// Slow delays each call before it takes effect.
	Slow declarer.Duration `json:"slow"`
	// Lose is the number of next writes that take effect and whose connection is
	// closed without an answer.
	Lose int `json:"lose"`
	// OldReads is the revision that reads and watches are served from; 0 means
	// the present one. Writes always meet the present one.
	OldReads uint64 `json:"oldreads"`
	// Miss is the number of next watch events that are skipped.
	Miss int `json:"miss"`
	// Repeat is the number of next watch answers that begin with events from
	// before the revision asked for.
	Repeat int `json:"repeat"`
	// Lag is how far the list of instances is behind.
	Lag declarer.Duration `json:"lag"`
}

// Check returns the first fault of a decoded value, or nil.
func (f *Faults) Check() error {
	switch {
	case f.Outage != Up && f.Outage != OutageRefuse && f.Outage != OutageHang:
		return fmt.Errorf("outage: want %q, %q or %q, got %q", Up, OutageRefuse, OutageHang, f.Outage)
	case f.Slow.Duration < 0 || f.Lag.Duration < 0:
		return fmt.Errorf("slow and lag: want 0 or more, got %s and %s", f.Slow, f.Lag)
	case f.Lose < 0 || f.Miss < 0 || f.Repeat < 0:
		return fmt.Errorf("lose, miss and repeat: want 0 or more, got %d, %d and %d", f.Lose, f.Miss, f.Repeat)
	default:
		return nil
	}
}

// Faults returns the faults in force.
func (k *Keeper) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// SetFaults replaces the faults in force.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.wakeLocked()
	k.log.Info("faults set", "faults", fmt.Sprintf("%+v", f))
}

func (k *Keeper) getFaults(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, k.Faults())
}

// postFaults changes the faults that the body names and leaves the others.
func (k *Keeper) postFaults(w http.ResponseWriter, r *http.Request) {
	f := k.Faults()
	if !responder.Read(w, r, maxFaultBytes, &f) {
		return
	}
	if err := f.Check(); err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	k.SetFaults(f)
	responder.Write(w, http.StatusOK, f)
}

func (k *Keeper) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	k.SetFaults(Faults{})
	responder.Write(w, http.StatusOK, Faults{})
}

// isDown reports whether an outage has answered the call.
func (k *Keeper) isDown(w http.ResponseWriter, r *http.Request) bool {
	k.mu.Lock()
	outage := k.faults.Outage
	if outage != Up {
		k.counts.Down++
	}
	k.mu.Unlock()
	switch outage {
	case OutageRefuse:
		responder.Refuse(w, http.StatusServiceUnavailable, "outage")
		return true
	case OutageHang:
		k.hang(r)
		// The standard way to close a connection without an answer.
		panic(http.ErrAbortHandler)
	default:
		return false
	}
}

// hang returns when the caller has gone or the outage is over.
func (k *Keeper) hang(r *http.Request) {
	for {
		k.mu.Lock()
		outage, changed := k.faults.Outage, k.changed
		k.mu.Unlock()
		if outage != OutageHang {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-k.closed:
			return
		}
	}
}

func wrapDuration(d time.Duration) declarer.Duration {
	return declarer.Duration{Duration: d}
}
