package declarer

import "net/netip"

// State is the state of an instance.
type State int

// States of an instance. Of two records with the same incarnation and term, the
// one with the higher state is current.
const (
	// Live is the state of an instance that may own upstreams.
	Live State = iota
	// Leaving is the state of an instance that finishes its running work and owns nothing.
	Leaving
	// Missing is the state of an instance that does not answer its group, while it is
	// not confirmed that it has ended.
	Missing
	// Gone is the state of an instance that has ended.
	Gone
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Missing:
		return "missing"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Instance is the record of one instance: its addresses, its current process and its state.
type Instance struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Peer is the address for other daemons.
	Peer netip.AddrPort `json:"peer"`
	// Caller is the address for callers.
	Caller netip.AddrPort `json:"caller"`
	// Operator is the address for operators.
	Operator netip.AddrPort `json:"operator"`
	// Incarnation increases with each start of a process under the same ID.
	Incarnation uint64 `json:"incarnation"`
	// Term increases each time the incarnation rejoins its group.
	Term  uint64 `json:"term"`
	State State  `json:"state"`
}

// Check validates the instance. It returns every invalid field as joined FieldErrors, or nil.
func (i *Instance) Check() error {
	var f validationErrors
	checkName(&f, "id", i.ID)
	checkName(&f, "zone", i.Zone)
	checkName(&f, "region", i.Region)
	if !i.Peer.IsValid() || i.Peer.Port() == 0 {
		f.addf("peer", "want an IP address and port, got %q", i.Peer)
	}
	if i.State < Live || i.State > Gone {
		f.addf("state", "want %d to %d, got %d", Live, Gone, i.State)
	}
	return f.join()
}

// Supersedes reports whether the record is newer than old, another record of the
// same instance.
func (i *Instance) Supersedes(old *Instance) bool {
	if i.Incarnation != old.Incarnation {
		return i.Incarnation > old.Incarnation
	}
	if i.Term != old.Term {
		return i.Term > old.Term
	}
	return i.State > old.State
}
