package locator

const (
	// idleOwnShare and idleOtherShare are the parts of the connections that a searcher
	// accepts which the daemons of its own zone, and those of all other zones, may keep
	// idle. The rest is for connections in use, and for daemons that start while the
	// searcher still counts the connections of their dead predecessors.
	idleOwnShare   = 0.3
	idleOtherShare = 0.35
	// minIdle is what every daemon may keep.
	minIdle = 1
)

// idleBound returns the number of idle connections that a daemon keeps at most to
// a searcher that accepts conns connections from all daemons together, 0 for no
// bound. own tells a searcher of the daemon's own zone, daemons is the number of
// daemons on the same side of that line.
//
// Load pattern: all daemons lose power at once and start again, while searchers
// take the idle connections of before for open ones and reset new ones.
func idleBound(conns int, own bool, daemons int) int {
	if conns <= 0 {
		return 0
	}
	share := idleOtherShare
	if own {
		share = idleOwnShare
	}
	return max(minIdle, int(share*float64(conns)/float64(max(1, daemons))))
}
