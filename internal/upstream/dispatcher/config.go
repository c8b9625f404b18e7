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
	// TakeoverMargin is how long after the end of the share a sub-request may
	// still run.
	TakeoverMargin time.Duration
	// Sweep is the interval at which ownership, shares and queues are looked at
	// without a task.
	Sweep time.Duration
	// SlowStart and EarlyRefusal are false only in measurements.
	SlowStart, EarlyRefusal bool
}

// Default returns the settings in force unless a measurement changes them.
func Default() Config {
	return Config{
		TakeoverMargin: 500 * time.Millisecond,
		Sweep:          20 * time.Millisecond,
		SlowStart:      true,
		EarlyRefusal:   true,
	}
}

// Views gives the current view.
type Views interface {
	View() *viewer.View
}

// Permitter gives the share of an upstream that this daemon may admit.
type Permitter interface {
	Share(upstreamKey string) exchanger.Share
}

// Client sends tasks to one upstream.
type Client interface {
	Do(ctx context.Context, t *exchanger.Task, admit dialer.Admit) dialer.Outcome
	Get(ctx context.Context, path string, v any) error
	Open() int
}

// Dial returns a Client for an upstream and a function that closes it once its
// requests have ended.
type Dial func(addr netip.AddrPort, c declarer.Capacity, events dialer.Events) (Client, func())

// DialHTTP is the Dial for upstreams that speak HTTP.
func DialHTTP(addr netip.AddrPort, c declarer.Capacity, events dialer.Events) (Client, func()) {
	return dialer.New(dialer.FromCapacity(c), addr.String(), events)
}
