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

// Health is the content of the health page: the upstream's state, and the oldest and newest
// snapshot version that it holds.
type Health struct {
	State  string `json:"state"`
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// Load is the content of the load page.
type Load struct {
	InFlight int `json:"inflight"`
	Slots    int `json:"slots"`
}

// Pages holds the content of one upstream's pages. Load is zero when its page could not be
// read.
type Pages struct {
	Health Health
	Load   Load
}

// Target is one upstream to probe.
type Target struct {
	Service, Upstream string
	// Get reads a JSON page of the upstream into v.
	Get func(ctx context.Context, path string, v any) error
}

// Source provides the upstreams to probe, and receives their pages.
type Source interface {
	Targets() []Target
	// Hint is called after the pages of an upstream were read.
	Hint(service, upstream string, p Pages)
}

// Config holds the settings of a Prober.
type Config struct {
	// Interval is the minimum time between two probes of one upstream.
	Interval time.Duration
	// Gap is the minimum pause after each probe.
	Gap time.Duration
	// Timeout bounds the reading of both pages of an upstream.
	Timeout time.Duration
}

// Default returns the settings for a daemon that owns up to some dozens of
// upstreams: at most 80 calls a second.
func Default() Config {
	return Config{Interval: time.Second, Gap: 25 * time.Millisecond, Timeout: 250 * time.Millisecond}
}

// Prober reads the pages of upstreams, one upstream at a time.
type Prober struct {
	cfg    Config
	source Source
}

// New returns a Prober for the source's upstreams.
func New(cfg Config, source Source) *Prober {
	return &Prober{cfg: cfg, source: source}
}

// Serve probes the upstreams in turn until ctx ends, and returns the error of ctx.
func (p *Prober) Serve(ctx context.Context) error {
	for {
		start := time.Now()
		for _, t := range p.source.Targets() {
			p.probe(ctx, t)
			if err := sleeper.Sleep(ctx, p.cfg.Gap); err != nil {
				return err
			}
		}
		pause := max(p.cfg.Interval-time.Since(start), p.cfg.Gap)
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// probe reads both pages of an upstream and passes them to the source. Without a health page
// it passes nothing.
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
