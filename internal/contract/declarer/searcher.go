package declarer

import (
	"net/netip"
	"time"
)

// Searcher is one upstream process as it registered itself.
type Searcher struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Zone    string         `json:"zone"`
	// Slots is the number of requests that it runs at once; 0 means not stated.
	Slots int `json:"slots,omitempty"`
	// Draining searchers finish what they run and want nothing new.
	Draining bool `json:"draining,omitempty"`
	// ColdFor is how much longer it stays slow after its start.
	ColdFor time.Duration `json:"cold,omitempty"`
}

// Check returns every fault of the searcher as joined FieldErrors, or nil.
func (s *Searcher) Check() error {
	var f faults
	if s.ID == "" {
		f.addf("id", "want a name")
	}
	if s.Service == "" {
		f.addf("service", "want a name")
	}
	if !s.Addr.IsValid() || s.Addr.Port() == 0 {
		f.addf("address", "want an IP number and port, got %q", s.Addr)
	}
	if s.Slots < 0 || s.ColdFor < 0 {
		f.addf("slots", "want no negative numbers, got %d slots and cold for %s", s.Slots, s.ColdFor)
	}
	return f.join()
}
