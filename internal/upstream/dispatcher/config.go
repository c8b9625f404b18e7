package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/upstream/dialer"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	// TakeoverMargin is how long a sub-request may still run after the share has ended.
	TakeoverMargin time.Duration
	// SweepInterval is the interval at which ownership, shares and queues are updated when
	// no task does it.
	SweepInterval time.Duration
	// SlowStart and EarlyRefusal are switched off only for measurements.
	SlowStart, EarlyRefusal bool
}

// Default returns the default settings.
func Default() Config {
	return Config{
		TakeoverMargin: 500 * time.Millisecond,
		SweepInterval:  20 * time.Millisecond,
		SlowStart:      true,
		EarlyRefusal:   true,
	}
}

// Views provides the current view.
type Views interface {
	View() *viewer.View
}

// Permitter provides the share of an upstream that this daemon may use.
type Permitter interface {
	Share(upstreamKey string) exchanger.Share
}

// Client sends tasks to one upstream.
type Client interface {
	Do(ctx context.Context, t *exchanger.Task, admit dialer.Admit) dialer.Outcome
	Get(ctx context.Context, path string, v any) error
	Open() int
}

// Dial returns a Client for an upstream, and a function that closes its connections once
// their requests have ended.
type Dial func(addr netip.AddrPort, c declarer.Capacity, events dialer.Events) (Client, func())

// DialHTTP is the Dial function for upstreams that speak HTTP.
func DialHTTP(addr netip.AddrPort, c declarer.Capacity, events dialer.Events) (Client, func()) {
	return dialer.New(dialer.FromCapacity(c), addr.String(), events)
}
