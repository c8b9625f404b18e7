package connector

import (
	"sync"
	"time"
)

const (
	// maxAdmitted bounds the number of large bodies of unknown length that are read of a searcher at once.
	maxAdmitted = 64
	// minBodyLimit is the least size up to which such a body is read, after others without end.
	minBodyLimit = 512 << 10
	// gateRetention is how long a gate that is not used is kept.
	gateRetention = time.Minute
)

// gate bounds the large bodies of unknown length that are read of one searcher at once: one, until one has been read whole, and twice as
// many after each that was. Each in a row that was not read whole halves the size up to which the next is read. Where none has an
// end, little more than the first is read.
//
// Load pattern: a searcher that sends bodies without end to all its callers at once.
type gate struct {
	mu sync.Mutex
	// admitted is the number of bodies that may be read at once, 0 for one.
	admitted, reading int
	// failures counts the bodies that were not read whole, inRow those since the last whole one.
	failures, inRow int
	usedAt          time.Time
}

// limit returns the size up to which the next body is read.
func (g *gate) limit() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minBodyLimit, int64(maxReplyBytes)>>min(g.inRow, 8))
}

// isExpired reports whether the gate has not been used for gateRetention.
func (g *gate) isExpired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reading == 0 && now.Sub(g.usedAt) > gateRetention
}

// tryEnter admits a body if there is room.
func (g *gate) tryEnter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedAt = time.Now()
	if g.reading >= max(1, g.admitted) {
		return false
	}
	g.reading++
	return true
}

func (g *gate) failureCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failures
}

// leave ends the reading of a body, and records whether it was read whole.
func (g *gate) leave(isWhole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading--
	g.usedAt = time.Now()
	if isWhole {
		g.admitted, g.inRow = min(2*max(1, g.admitted), maxAdmitted), 0
		return
	}
	g.admitted = 0
	g.failures++
	g.inRow++
}

// enter waits until a body is admitted; leave must be called after it. It returns false when another body fails meanwhile, or the wait
// takes too long. canWait reports whether the answer is still wanted.
func (g *gate) enter(canWait func() bool) bool {
	failures := g.failureCount()
	for latest := time.Now().Add(maxRoomWait); !g.tryEnter(); time.Sleep(roomInterval) {
		if !canWait() || g.failureCount() != failures || time.Now().After(latest) {
			return false
		}
	}
	return true
}
