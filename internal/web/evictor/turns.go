package evictor

import "runtime"

// turnShare is the share of the processors for what is read of large requests.
const turnShare = 0.25

// turns bounds how many connections of a process parse large requests at once. Each takes a turn for what one read returned, some
// KB, so that waiting is short and nobody holds a turn while it waits for its client.
//
// Load pattern: a crowd that sends as fast as the process reads, in the form that takes the most time: chunks of one byte, or
// headers of a few. Without the bound each of its connections is ready to run all the time, and an ordinary request waits behind all
// of them at each step.
type turns chan struct{}

func newTurns() turns {
	return make(turns, max(1, int(float64(runtime.GOMAXPROCS(0))*turnShare)))
}

// needsTurn reports whether a connection needs a turn for what it has read: an ordinary request, which is small, does not.
func needsTurn(p Phase, headBytes, bodyBytes int64) bool {
	return p == Head && headBytes > freeHeadBytes || p == Body && bodyBytes > freeBodyBytes
}

// takeTurn waits for a turn, unless the connection has one. It returns false when the connection has given way meanwhile.
func (c *Conn) takeTurn() bool {
	if c.hasTurn.Load() {
		return true
	}
	select {
	case c.g.e.turns <- struct{}{}:
		c.hasTurn.Store(true)
		return true
	case <-c.gone:
		return false
	}
}

// endTurn gives the turn back if the connection has one.
func (c *Conn) endTurn() {
	if c.hasTurn.CompareAndSwap(true, false) {
		<-c.g.e.turns
	}
}
