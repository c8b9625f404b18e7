package tracker

import (
	"sync"
	"time"
)

// Tracker holds the state of every service's upstreams and of every peer.
type Tracker struct {
	start time.Time

	mu        sync.Mutex
	upstreams map[string]*Upstream
	peers     map[string]*Peer
}

// New returns an empty Tracker whose clock starts at now.
func New(now time.Time) *Tracker {
	return &Tracker{
		start:     now,
		upstreams: make(map[string]*Upstream),
		peers:     make(map[string]*Peer),
	}
}

// Upstream returns the state of the upstream with a key. It is created when there is none.
func (t *Tracker) Upstream(key string) *Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.upstreams[key]
	if !ok {
		u = &Upstream{start: t.start}
		t.upstreams[key] = u
	}
	return u
}

// Peer returns the state of the instance with an ID. It is created when there is none.
func (t *Tracker) Peer(id string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok {
		p = &Peer{start: t.start}
		t.peers[id] = p
	}
	return p
}

// Elapsed returns the time from the Tracker's start to now.
func (t *Tracker) Elapsed(now time.Time) time.Duration {
	return now.Sub(t.start)
}

// Retain drops the upstreams and peers for which the functions return false.
func (t *Tracker) Retain(keepUpstream, keepPeer func(key string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.upstreams {
		if !keepUpstream(key) {
			delete(t.upstreams, key)
		}
	}
	for id := range t.peers {
		if !keepPeer(id) {
			delete(t.peers, id)
		}
	}
}

// Len returns the number of upstreams and peers held.
func (t *Tracker) Len() (upstreams, peers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.upstreams), len(t.peers)
}
