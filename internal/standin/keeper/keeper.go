// Package keeper is a stand-in for the platform's metadata store in tests. [MemoryStore] holds objects by kind in
// memory and serves them over HTTP. [Keeper] serves a store and a delayed list of instances, and injects faults on
// request.
//
// docs/WIRE.md describes the HTTP calls. [Faults] lists the faults.
package keeper

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/standin/responder"
	"cornelwood.example/platform"
)

// Config holds the settings of a Keeper.
type Config struct {
	// Lag is the initial value of Faults.Lag.
	Lag time.Duration
}

// Keeper is the stand-in for the platform, an http.Handler.
type Keeper struct {
	log   hclog.Logger
	mux   *http.ServeMux
	store *MemoryStore

	mu        sync.Mutex
	instances instanceHistory
	faults    Faults
	counts    Counts
	// changed is closed and replaced at each change of faults.
	changed chan struct{}
	// closed is closed when the Keeper ends.
	closed chan struct{}
}

// New returns a Keeper without objects and a function that ends all waiting calls.
func New(cfg Config, log hclog.Logger) (*Keeper, func()) {
	k := &Keeper{
		log:     log,
		mux:     http.NewServeMux(),
		store:   NewMemoryStore(),
		faults:  Faults{Lag: wrapDuration(cfg.Lag)},
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	k.mux.Handle("/", k.withFaults(platform.NewObjectHandler(&faultyStore{k})))
	k.mux.HandleFunc("PUT /instances/{id}", k.putInstance)
	k.mux.HandleFunc("DELETE /instances/{id}", k.deleteInstance)
	k.mux.HandleFunc("GET /faults", k.getFaults)
	k.mux.HandleFunc("POST /faults", k.postFaults)
	k.mux.HandleFunc("DELETE /faults", k.deleteFaults)
	k.mux.HandleFunc("GET /counts", k.getCounts)
	return k, sync.OnceFunc(func() { close(k.closed) })
}

// ServeHTTP answers one call.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mux.ServeHTTP(w, r)
}

// Counts holds the number of calls by kind. Put counts all writes: creations, replacements and deletions. A waiting
// watch is one call, and a list of instances counts as Instances.
type Counts struct {
	List      int `json:"list"`
	Get       int `json:"get"`
	Put       int `json:"put"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
	// Written counts writes that took effect.
	Written int `json:"written"`
	// Conflicts counts writes that did not take effect: the object exists already, is missing or has another revision.
	Conflicts int `json:"conflicts"`
	// Lost counts writes that took effect but whose answer was dropped.
	Lost int `json:"lost"`
	// Down counts calls that arrived during an outage. A watch that is cut off when an outage begins is not counted.
	Down int `json:"down"`
}

// Counts returns the present counters.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *Keeper) getCounts(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, k.Counts())
}

// withFaults returns a handler that applies the faults Slow and Outage before h.
func (k *Keeper) withFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slow := k.Faults().Slow.Duration; slow > 0 && !k.sleep(r, slow) {
			return
		}
		if k.answerOutage(w, r) {
			return
		}
		h.ServeHTTP(w, r)
	})
}

// increment adds 1 to a field of k.counts.
func (k *Keeper) increment(n *int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*n++
}

// sleep waits for d. It returns false when the caller disconnects or the Keeper closes first.
func (k *Keeper) sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	case <-k.closed:
		return false
	}
}

// wakeLocked wakes the calls that wait for a change of faults; k.mu is held.
func (k *Keeper) wakeLocked() {
	close(k.changed)
	k.changed = make(chan struct{})
}
