package declarer

import "net/netip"

// Member is an entry daemon as it registered itself.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Peer is where other daemons reach it.
	Peer netip.AddrPort `json:"peer"`
}

// Check returns every fault of the member as joined FieldErrors, or nil.
func (m *Member) Check() error {
	var f faults
	checkName(&f, "id", m.ID)
	if m.Zone == "" {
		f.addf("zone", "want a name")
	}
	if !m.Peer.IsValid() || m.Peer.Port() == 0 {
		f.addf("peer", "want an IP number and port, got %q", m.Peer)
	}
	return f.join()
}
