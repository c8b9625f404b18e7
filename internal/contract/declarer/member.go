package declarer

import (
	"math"
	"net/netip"
)

// Member is the record that an entry daemon registers for itself.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Peer is the address for other daemons.
	Peer netip.AddrPort `json:"peer"`
	// Share is the daemon's part of a processor core; 0 means unspecified.
	Share float64 `json:"share,omitempty"`
}

// Check validates the member. It returns every invalid field as joined FieldErrors, or nil.
func (m *Member) Check() error {
	var f validationErrors
	checkName(&f, "id", m.ID)
	if m.Zone == "" {
		f.addf("zone", "want a name")
	}
	if !m.Peer.IsValid() || m.Peer.Port() == 0 {
		f.addf("peer", "want an IP address and port, got %q", m.Peer)
	}
	if !(m.Share >= 0) || math.IsInf(m.Share, 0) {
		f.addf("share", "want a number of 0 or more, got %g", m.Share)
	}
	return f.join()
}
