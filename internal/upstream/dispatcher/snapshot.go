package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"cornelwood.example/internal/upstream/limiter"
	"cornelwood.example/internal/upstream/prober"
)

// UpstreamState is the state of one upstream that this daemon owns or has owned.
type UpstreamState struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// Held is true while this daemon may admit work to the upstream.
	Held     bool `json:"held"`
	Cold     bool `json:"cold"`
	Limit    int  `json:"limit"`
	InFlight int  `json:"inflight"`
	Waiting  int  `json:"waiting"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Health is the state on the upstream's health page, empty when the page has not been
	// read.
	Health string `json:"health,omitempty"`
	// Oldest and Newest bound the snapshot versions that the upstream reports to hold; 0
	// when it has not reported any.
	Oldest uint64 `json:"oldest,omitempty"`
	Newest uint64 `json:"newest,omitempty"`
}

// pages holds what was last read from an upstream's pages.
type pages struct {
	health prober.Health
}

// Snapshot returns the state of each upstream, ordered by service and name.
func (d *Dispatcher) Snapshot() []UpstreamState {
	var states []UpstreamState
	for _, u := range *d.upstreams.Load() {
		if s, ok := u.state(); ok {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b UpstreamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})
	return states
}

// Targets returns the upstreams for the prober to read: those that this daemon may admit
// work to.
func (d *Dispatcher) Targets() []prober.Target {
	var targets []prober.Target
	for _, u := range *d.upstreams.Load() {
		u.mu.Lock()
		if u.ownership.held && u.client != nil {
			targets = append(targets, prober.Target{Service: u.id.service, Upstream: u.id.upstream, Get: u.client.Get})
		}
		u.mu.Unlock()
	}
	return targets
}

// Hint applies what an upstream's pages say. It only ever lowers the limit.
func (d *Dispatcher) Hint(service, upstream string, p prober.Pages) {
	u, ok := (*d.upstreams.Load())[upstreamID{service, upstream}]
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lim == nil {
		return
	}
	u.pages.health = p.Health
	cold := u.lim.IsCold()
	u.lim.Hint(time.Now(), limiter.Hint{
		Cold:     p.Health.State == prober.Cold || p.Health.State == prober.Draining,
		Draining: p.Health.State == prober.Draining,
		Busy:     p.Load.Slots > 0 && p.Load.InFlight >= p.Load.Slots && u.lim.InFlight() < p.Load.Slots,
	})
	u.countColdChange(cold)
}

// state returns the state of an upstream, and false when this daemon has never owned it.
func (u *upstream) state() (UpstreamState, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lim == nil {
		return UpstreamState{}, false
	}
	s := UpstreamState{
		Service:  u.id.service,
		Upstream: u.id.upstream,
		Held:     u.ownership.held,
		Cold:     u.lim.IsCold(),
		Limit:    u.lim.Limit(),
		InFlight: u.lim.InFlight(),
		Waiting:  u.lim.Waiting(),
		Health:   u.pages.health.State,
		Oldest:   u.pages.health.Oldest,
		Newest:   u.pages.health.Newest,
	}
	if u.client != nil {
		s.Connections = u.client.Open()
	}
	return s, true
}
