package gatherer

import (
	"math/rand/v2"
	"time"
)

// Config holds the policy of a Gatherer.
type Config struct {
	// MaxConcurrentQueries is the largest number of queries that this daemon runs at once.
	MaxConcurrentQueries int
	// Hedge sends a second sub-request to another replica when the first one is slow.
	Hedge bool
	// Retry sends a failed sub-request to another replica, and runs a query again on another snapshot
	// when replicas no longer hold its own.
	Retry bool
	// ReplicaSelection orders replicas by zone, load and latency; without it they are asked in the
	// declared order.
	ReplicaSelection bool
	// Baseline is plain scatter-gather: it asks the first declared replica of each shard, without
	// hedges or retries.
	Baseline bool
	// HedgeQuantile is the quantile of latencies, 0 to 1, beyond which a sub-request is slow and is
	// hedged.
	HedgeQuantile float64
	// ExtraPercent is the number of hedges and retries allowed for every 100 first sub-requests.
	ExtraPercent int
	// ExtraBurst is the capacity of a service's retry budget, in hedges and retries.
	ExtraBurst int
	// ResponseMargin is the part of a query's time that is reserved for sending the answer to the
	// caller.
	ResponseMargin time.Duration
	// DiscoveryTimeout bounds one discovery of snapshot versions.
	DiscoveryTimeout time.Duration
	// Seed returns 64 random bits. It must be safe for concurrent use.
	Seed func() uint64
}

// DefaultConfig returns the default policy, with hedges, retries and replica selection on.
func DefaultConfig() Config {
	return Config{
		MaxConcurrentQueries: 512,
		Hedge:                true,
		Retry:                true,
		ReplicaSelection:     true,
		HedgeQuantile:        0.97,
		ExtraPercent:         5,
		ExtraBurst:           256,
		ResponseMargin:       2 * time.Millisecond,
		DiscoveryTimeout:     time.Second,
		Seed:                 rand.Uint64,
	}
}

// effective returns the config with Baseline applied and Seed set.
func (c Config) effective() Config {
	if c.Baseline {
		c.Hedge, c.Retry, c.ReplicaSelection = false, false, false
	}
	if c.Seed == nil {
		c.Seed = rand.Uint64
	}
	return c
}
