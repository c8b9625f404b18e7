// Package relayer distributes the state of the store among the daemons, so that only a
// few of them read the store. The same calls carry observations of searchers.
//
// Every daemon has a Cache for each kind of object. A hash ranks the members of a
// zone; the member that is ranked first is the zone's leader. The leaders poll each
// other, and the first ranked of them reads the store. Every other member long-polls a
// member of its zone that is ranked before it: the call returns as soon as the source
// has a newer change, and reports the age of the source's state. A daemon whose
// sources do not answer, or have only stale state, reads the store itself until one of
// them has fresh state.
//
// Within a zone all observations of searchers are relayed, between zones only those of
// searchers that fail or are unusually slow.
package relayer
