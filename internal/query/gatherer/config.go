package gatherer

import (
	"math/rand/v2"
	"time"
)

// Config holds the policy of a Gatherer.
type Config struct {
	// MaxConcurrentQueries bounds the queries that run at once.
	MaxConcurrentQueries int
	// Hedge sends slow sub-requests again to another replica.
	Hedge bool
	// Retry asks another replica after a failure, and plans a query again on
	// another snapshot when its own is gone.
	Retry bool
	// ReplicaSelection orders replicas by zone, load and latency; without it they
	// are asked as declared.
	ReplicaSelection bool
	// Baseline is plain scatter-gather: the first replica, no hedge, no retry.
	Baseline bool
	// HedgeQuantile is the share of sub-requests, 0 to 1, that are not slow.
	HedgeQuantile float64
	// ExtraPercent is the number of extra sub-requests for 100 first ones.
	ExtraPercent int
	// ExtraBurst is the number of extra sub-requests of one service at once.
	ExtraBurst int
	// Margin is the time kept for sending the answer to the caller.
	Margin time.Duration
	// DiscoverTimeout bounds the learning of versions.
	DiscoverTimeout time.Duration
	// Seed returns random bits, to any goroutine.
	Seed func() uint64
}

// DefaultConfig returns the policy with every mechanism on.
func DefaultConfig() Config {
	return Config{
		MaxConcurrentQueries: 512,
		Hedge:                true,
		Retry:                true,
		ReplicaSelection:     true,
		HedgeQuantile:        0.97,
		ExtraPercent:         5,
		ExtraBurst:           256,
		Margin:               2 * time.Millisecond,
		DiscoverTimeout:      time.Second,
		Seed:                 rand.Uint64,
	}
}

// effective returns the config with Baseline's switches applied.
func (c Config) effective() Config {
	if c.Baseline {
		c.Hedge, c.Retry, c.ReplicaSelection = false, false, false
	}
	if c.Seed == nil {
		c.Seed = rand.Uint64
	}
	return c
}
