package locator

const (
	// sameZoneIdleShare and otherZonesIdleShare are the shares of the connections accepted by a searcher that the
	// daemons of its own zone, and those of all other zones, may keep idle. The rest is for connections in use and
	// for daemons that start while the searcher still counts the connections of their predecessors that died.
	sameZoneIdleShare   = 0.3
	otherZonesIdleShare = 0.35
	// minIdleConns is the number of idle connections that every daemon may keep.
	minIdleConns = 1
)

// maxIdleConns returns the maximum number of idle connections that a daemon keeps to a searcher that accepts conns
// connections from all daemons together, 0 for no bound. sameZone says whether the daemon is in the searcher's zone.
// daemons is the number of daemons that send to the searcher: those in its zone if sameZone is set, otherwise those in
// all other zones.
//
// Load pattern: all daemons lose power at once and restart, while searchers still count the old idle connections as
// open and reset new ones.
func maxIdleConns(conns int, sameZone bool, daemons int) int {
	if conns <= 0 {
		return 0
	}
	share := otherZonesIdleShare
	if sameZone {
		share = sameZoneIdleShare
	}
	return max(minIdleConns, int(share*float64(conns)/float64(max(1, daemons))))
}
