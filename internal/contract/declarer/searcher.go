package declarer

import (
	"net/netip"
	"time"
)

// Searcher is the record that an upstream process registers for itself.
type Searcher struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Zone    string         `json:"zone"`
	// Version is the version of the searcher's software; empty means unspecified.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the searcher runs at once; 0 means unspecified.
	Slots int `json:"slots,omitempty"`
	// Draining is true while the searcher finishes its running requests and accepts no new ones.
	Draining bool `json:"draining,omitempty"`
	// ColdFor is the rest of the warm-up time after a cold start.
	ColdFor time.Duration `json:"cold,omitempty"`
	// Born is when the process started, in milliseconds of Unix time; 0 means unspecified. A searcher that starts again under
	// its ID has another one.
	Born int64 `json:"born,omitempty"`
}

// Check validates the searcher. It returns every invalid field as joined FieldErrors, or nil.
func (s *Searcher) Check() error {
	var f validationErrors
	if s.ID == "" {
		f.addf("id", "want a name")
	}
	if s.Service == "" {
		f.addf("service", "want a name")
	}
	if !s.Addr.IsValid() || s.Addr.Port() == 0 {
		f.addf("address", "want an IP address and port, got %q", s.Addr)
	}
	if s.Slots < 0 || s.ColdFor < 0 {
		f.addf("slots", "want 0 or more slots and a cold time of 0 or more, got %d and %s", s.Slots, s.ColdFor)
	}
	if s.Born < 0 {
		f.addf("born", "want 0 or more, got %d", s.Born)
	}
	return f.join()
}
