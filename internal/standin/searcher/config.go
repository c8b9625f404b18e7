package searcher

import (
	"fmt"
	"slices"
	"time"
)

// Config holds the settings of a Searcher.
type Config struct {
	// Service and Name are the names of the service and of the upstream.
	Service string
	Name    string
	// Shards lists the IDs of the shards held.
	Shards []int
	// Holds limits the versions of a shard that are held; nil means every version.
	Holds func(shard int, version uint64) bool
	// Documents is the approximate number of documents in a shard, see DocumentCount. 0 means DefaultDocuments.
	Documents uint64
	// Oldest and Newest are the oldest and the newest snapshot version held.
	Oldest, Newest uint64
	// Slots is the number of requests that run concurrently; further ones queue.
	Slots int
	// ColdSlots is the number of requests in flight above which a cold searcher is overloaded.
	ColdSlots int
	// Warm makes the searcher start warm.
	Warm bool
	// ColdFor and ColdSuccesses are the least time and the least number of answers of a cold start; the searcher
	// becomes warm when both are reached.
	ColdFor       time.Duration
	ColdSuccesses int
	// ShedFor is how long the searcher sheds all requests after an overload while cold.
	ShedFor time.Duration
	// Connections is the largest number of open connections; 0 means no limit.
	Connections int
	// ConnectDelay is the delay before the first read from a new connection.
	ConnectDelay time.Duration
	// MeanServiceTime is the mean service time; each service time is drawn uniformly from 0.5 to 1.5 times the mean.
	MeanServiceTime time.Duration
	// StragglerShare is the share of requests, from 0 to 1, whose service time is multiplied by StragglerFactor.
	StragglerShare  float64
	StragglerFactor float64
	// Seed seeds the random numbers for service times and shedding.
	Seed uint64
}

// Check returns an error that describes the first invalid setting, or nil.
func (c *Config) Check() error {
	switch {
	case c.Service == "":
		return fmt.Errorf("service: want a name")
	case c.Slots < 1:
		return fmt.Errorf("slots: want 1 or more, got %d", c.Slots)
	case c.ColdSlots < 1 || c.ColdSlots > c.Slots:
		return fmt.Errorf("cold: want 1 to the number of slots, got %d", c.ColdSlots)
	case c.Oldest < 1 || c.Newest < c.Oldest:
		return fmt.Errorf("versions: want 1 or more, oldest first, got %d to %d", c.Oldest, c.Newest)
	case c.StragglerShare < 0 || c.StragglerShare > 1:
		return fmt.Errorf("straggler: want 0 to 1, got %v", c.StragglerShare)
	case min(c.ColdFor, c.ShedFor, c.ConnectDelay, c.MeanServiceTime) < 0:
		return fmt.Errorf("cold-for, shed-for, connect-delay and mean: want 0 or more")
	default:
		return nil
	}
}

// holds reports whether the searcher holds a shard in a version.
func (c *Config) holds(shard int, version uint64) bool {
	if !slices.Contains(c.Shards, shard) {
		return false
	}
	return c.Holds == nil || c.Holds(shard, version)
}
