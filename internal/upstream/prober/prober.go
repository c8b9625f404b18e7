package prober

import (
	"context"
	"time"

	"cornelwood.example/internal/time/sleeper"
)

// Paths of the pages.
const (
	healthPath = "/health"
	loadPath   = "/load"
)

// States on the health page.
const (
	Warm     = "warm"
	Cold     = "cold"
	Draining = "draining"
)

// Health is the health page.
type Health struct {
	State  string `json:"state"`
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// Load is the load page.
type Load struct {
	InFlight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// Pages holds what one upstream said.
type Pages struct {
	Health Health
	Load   Load
}

// Target is one upstream to look at.
type Target struct {
	Service, Upstream string
	// Get reads a JSON page.
	Get func(ctx context.Context, path string, v any) error
}

// Source names the upstreams to look at, and takes in what they say.
type Source interface {
	Targets() []Target
	Hint(service, upstream string, p Pages)
}

// Config holds the settings of a Prober.
type Config struct {
	// Interval is the time between two looks at one upstream.
	Interval time.Duration
	// Gap is the least time between two looks at any upstream.
	Gap time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
}

// Default returns the settings for a daemon that owns up to some dozens of
// upstreams: at most 80 calls a second.
func Default() Config {
	return Config{Interval: time.Second, Gap: 25 * time.Millisecond, Timeout: 250 * time.Millisecond}
}

// Prober looks at the pages of upstreams, one upstream at a time.
type Prober struct {
	cfg    Config
	source Source
}

// New returns a Prober of the source's upstreams.
func New(cfg Config, source Source) *Prober {
	return &Prober{cfg: cfg, source: source}
}

// Serve looks at the pages in turn until ctx ends.
func (p *Prober) Serve(ctx context.Context) error {
	for {
		began := time.Now()
		for _, t := range p.source.Targets() {
			p.probe(ctx, t)
			if err := sleeper.Sleep(ctx, p.cfg.Gap); err != nil {
				return err
			}
		}
		rest := max(p.cfg.Interval-time.Since(began), p.cfg.Gap)
		if err := sleeper.Sleep(ctx, rest); err != nil {
			return err
		}
	}
}

// probe reads both pages of an upstream. A page that cannot be read says
// nothing.
func (p *Prober) probe(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	var pages Pages
	if t.Get(ctx, healthPath, &pages.Health) != nil {
		return
	}
	if t.Get(ctx, loadPath, &pages.Load) != nil {
		pages.Load = Load{}
	}
	p.source.Hint(t.Service, t.Upstream, pages)
}
