package keeper

import (
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/responder"
)

// maxFaultBytes is the largest body of POST /faults and PUT /instances, in bytes.
const maxFaultBytes = 64 << 10

// Outage is the kind of an outage of the platform.
type Outage string

// Kinds of outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse answers each call with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves each call without an answer until the outage ends and then closes its connection.
	OutageHang Outage = "hang"
)

// Faults are the faults that a Keeper injects. The zero value injects none.
type Faults struct {
	// Outage makes every call on objects fail.
	Outage Outage `json:"outage"`
	// Slow delays each call on objects before it takes effect.
	Slow declarer.Duration `json:"slow"`
	// Lose is the number of next writes that take effect but whose connection is closed without an answer.
	Lose int `json:"lose"`
	// OldReads is the revision that reads and watches are served from; 0 means the present one. Writes always apply to
	// the present one.
	OldReads uint64 `json:"oldreads"`
	// Miss is the number of next watch events that are skipped.
	Miss int `json:"miss"`
	// Repeat is the number of next watch answers that begin with old events, which are not newer than the revision that
	// the watch starts after.
	Repeat int `json:"repeat"`
	// Lag is the delay after which changes of instances show in their list.
	Lag declarer.Duration `json:"lag"`
}

// Check returns an error that describes the first invalid field, or nil.
func (f *Faults) Check() error {
	switch {
	case f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang:
		return fmt.Errorf("outage: want %q, %q or %q, got %q", OutageNone, OutageRefuse, OutageHang, f.Outage)
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

// answerOutage answers the call when there is an outage, and reports whether it did.
func (k *Keeper) answerOutage(w http.ResponseWriter, r *http.Request) bool {
	k.mu.Lock()
	outage := k.faults.Outage
	if outage != OutageNone {
		k.counts.Down++
	}
	k.mu.Unlock()
	switch outage {
	case OutageRefuse:
		responder.Refuse(w, http.StatusServiceUnavailable, "outage")
		return true
	case OutageHang:
		k.hang(r)
		// Makes net/http close the connection without an answer.
		panic(http.ErrAbortHandler)
	default:
		return false
	}
}

// hang returns when the caller disconnects, the outage ends or the Keeper closes.
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

// wrapDuration returns d as a declarer.Duration.
func wrapDuration(d time.Duration) declarer.Duration {
	return declarer.Duration{Duration: d}
}
