package tracker

import (
	"sync/atomic"
	"time"
)

// unreachableToBackoff is the number of consecutive unreachable sub-requests after which a peer backs
// off.
const unreachableToBackoff = 3

// Peer is the state of the connection to one instance.
type Peer struct {
	start       time.Time
	unreachable atomic.Int64
	backoff     backoff
}

// Succeed records a result that arrived from the peer and ends any backoff.
func (p *Peer) Succeed() {
	if p.unreachable.Load() != 0 {
		p.unreachable.Store(0)
	}
	p.backoff.reset()
}

// Fail records a sub-request that could not be sent.
func (p *Peer) Fail(now time.Time) {
	if p.unreachable.Add(1) >= unreachableToBackoff {
		p.backoff.fail(int64(now.Sub(p.start)))
	}
}

// IsBackingOff reports whether the peer is backing off at now.
func (p *Peer) IsBackingOff(now time.Time) bool {
	return p.backoff.isActive(int64(now.Sub(p.start)))
}
