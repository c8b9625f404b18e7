package declarer

import "net/netip"

// State is the state of an instance.
type State int

// States of an instance. Of two records with the same incarnation and term the
// one with the higher state is in force.
const (
	// Live instances own upstreams.
	Live State = iota
	// Leaving instances finish what runs and own nothing.
	Leaving
	// Missing instances are silent towards their group, but not known to have ended.
	Missing
	// Gone instances have ended.
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

// Instance describes one daemon's instance and process.
type Instance struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Peer is the address for the system's other processes.
	Peer netip.AddrPort `json:"peer"`
	// Caller is the address for callers.
	Caller netip.AddrPort `json:"caller"`
	// Operator is the address for operators.
	Operator netip.AddrPort `json:"operator"`
	// Incarnation grows with every start of a process under the same ID.
	Incarnation uint64 `json:"incarnation"`
	// Term grows each time the incarnation joins its group again.
	Term  uint64 `json:"term"`
	State State  `json:"state"`
}

// Check returns every fault of the instance as joined FieldErrors, or nil.
func (i *Instance) Check() error {
	var f faults
	checkName(&f, "id", i.ID)
	checkName(&f, "zone", i.Zone)
	checkName(&f, "region", i.Region)
	if !i.Peer.IsValid() || i.Peer.Port() == 0 {
		f.addf("peer", "want an IP number and port, got %q", i.Peer)
	}
	if i.State < Live || i.State > Gone {
		f.addf("state", "want %d to %d, got %d", Live, Gone, i.State)
	}
	return f.join()
}

// Supersedes reports whether the record is in force over old, a record of the
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
