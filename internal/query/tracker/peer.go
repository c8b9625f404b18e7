package tracker

import (
	"sync/atomic"
	"time"
)

// unreachableToBackOff is the number of unreachable sub-requests in a row that
// makes a peer back off.
const unreachableToBackOff = 3

// Peer is the state of the path to one instance.
type Peer struct {
	start       time.Time
	unreachable atomic.Int64
	backoff     backoff
}

// Succeed records a result that came from the peer.
func (p *Peer) Succeed() {
	if p.unreachable.Load() != 0 {
		p.unreachable.Store(0)
	}
	p.backoff.reset()
}

// Fail records a sub-request that could not be sent.
func (p *Peer) Fail(now time.Time) {
	if p.unreachable.Add(1) >= unreachableToBackOff {
		p.backoff.fail(int64(now.Sub(p.start)))
	}
}

// IsBackingOff reports whether the peer backs off at now.
func (p *Peer) IsBackingOff(now time.Time) bool {
	return p.backoff.isDown(int64(now.Sub(p.start)))
}
