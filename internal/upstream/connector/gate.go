package connector

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// maxAdmitted bounds the number of large bodies of unknown length that are read of a searcher at once.
	maxAdmitted = 64
	// minBodyLimit is the least size up to which such a body is read, after others without end.
	minBodyLimit = 512 << 10
	// fullBoundInterval is the number of bodies in a row of which one is read up to the bound of any answer.
	fullBoundInterval = 8
	// maxUnproven is the number of bodies in a row that count although they only found no more room.
	maxUnproven = 2
	// gateRetention is how long a gate that is not used is kept.
	gateRetention = time.Minute
)

// gate bounds the large bodies of unknown length that are read of one searcher at once: one, until one has been read whole, and twice as
// many after each that was. Each in a row that was too long halves the size up to which the next is read. Where none has an end, little
// more than the first is read.
//
// Load pattern: a searcher that sends bodies without end to all its callers at once.
type gate struct {
	mu sync.Mutex
	// admitted is the number of bodies that may be read at once, 0 for one.
	admitted, reading int
	// tooLong counts the bodies that were too long, inRow those since the last whole one.
	tooLong, inRow int
	usedAt         time.Time
}

// limit returns the size up to which the next body is read. It is that of any answer for one in fullBoundInterval, so that a searcher
// that has recovered and sends none but large bodies is found sound.
func (g *gate) limit() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minBodyLimit, int64(maxReplyBytes)>>(g.inRow%fullBoundInterval))
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

func (g *gate) tooLongCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tooLong
}

// leave ends the reading of a body of which n bytes were read, with an error, nil for a whole one. One that was given up or broke off
// shows nothing. One that found no more room counts if it had taken much of it, up to a quarter of the bound of any answer: that there is
// no room may be due to other answers.
func (g *gate) leave(n int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading--
	g.usedAt = time.Now()
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		g.admitted, g.inRow = min(2*max(1, g.admitted), maxAdmitted), 0
	case errors.Is(err, errBuffered) && n >= minBodyLimit && g.inRow < maxUnproven,
		errors.As(err, &tooLong), errors.Is(err, errWireTooLong):
		g.admitted = 0
		g.tooLong++
		g.inRow++
	}
}

// enter waits until a body is admitted; leave must be called after it. It returns false when another body proves too long meanwhile, or
// the wait takes too long. canWait reports whether the answer is still wanted.
func (g *gate) enter(canWait func() bool) bool {
	tooLong := g.tooLongCount()
	for latest := time.Now().Add(maxRoomWait); !g.tryEnter(); time.Sleep(roomInterval) {
		if !canWait() || g.tooLongCount() != tooLong || time.Now().After(latest) {
			return false
		}
	}
	return true
}
