package picker

import (
	"net/netip"
	"time"
)

// wantedTime is how long a searcher that no request considers is still probed.
const wantedTime = 5 * time.Second

// Target is a searcher to be probed.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

// Due returns the searchers that could not be reached and whose next probe is due.
// Each probe must be ended with Probed.
func (p *Picker) Due() []Target {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Target
	for id, h := range p.known {
		isWanted := h.addr.IsValid() && now.Sub(h.wantedAt) < wantedTime
		if h.streak == 0 || h.probing || now.Before(h.downUntil) || !isWanted {
			continue
		}
		h.probing = true
		out = append(out, Target{ID: id, Addr: h.addr})
	}
	return out
}

// Probed ends a probe: a searcher that was reached gets requests again.
func (p *Picker) Probed(id string, reached bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.healthOf(id)
	h.probing = false
	if !reached {
		h.down(now)
		return
	}
	h.streak, h.downUntil = 0, time.Time{}
}
