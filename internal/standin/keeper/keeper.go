// Package keeper stands in for the platform's metadata store in tests. [MemoryStore]
// keeps objects by kind in memory; [Keeper] serves one as a process, with a
// lagging list of instances, and misbehaves on request.
//
// docs/WIRE.md describes the calls. [Faults] lists the ways to misbehave.
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
	// Lag is how far the list of instances is behind at first.
	Lag time.Duration
}

// Keeper is the platform stand-in, an http.Handler.
type Keeper struct {
	log   hclog.Logger
	mux   *http.ServeMux
	shelf *MemoryStore

	mu        sync.Mutex
	instances register
	faults    Faults
	counts    Counts
	// changed is closed and replaced at each change of faults.
	changed chan struct{}
	closed  chan struct{}
}

// New returns an empty Keeper and a function that ends all waiting calls.
func New(cfg Config, log hclog.Logger) (*Keeper, func()) {
	k := &Keeper{
		log:     log,
		mux:     http.NewServeMux(),
		shelf:   NewMemoryStore(),
		faults:  Faults{Lag: wrapDuration(cfg.Lag)},
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	k.mux.Handle("/", k.misbehave(platform.NewObjectHandler(&access{k})))
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

// Counts holds the number of calls of each kind. A waiting watch is one call.
type Counts struct {
	List      int `json:"list"`
	Get       int `json:"get"`
	Put       int `json:"put"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
	// Written counts writes that took effect.
	Written int `json:"written"`
	// Conflicts counts writes refused because of their expected revision.
	Conflicts int `json:"conflicts"`
	// Lost counts writes that took effect and whose answer was dropped.
	Lost int `json:"lost"`
	// Down counts calls that met an outage.
	Down int `json:"down"`
}

// Counts returns the calls up to now.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *Keeper) getCounts(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, k.Counts())
}

// misbehave lets outage and slowness act before h.
func (k *Keeper) misbehave(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slow := k.Faults().Slow.Duration; slow > 0 && !k.sleep(r, slow) {
			return
		}
		if k.isDown(w, r) {
			return
		}
		h.ServeHTTP(w, r)
	})
}

// count adds one to a counter.
func (k *Keeper) count(n *int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*n++
}

// sleep waits for d and returns false when the caller went or the keeper ended
// before.
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

// wakeLocked wakes waiting calls.
func (k *Keeper) wakeLocked() {
	close(k.changed)
	k.changed = make(chan struct{})
}
