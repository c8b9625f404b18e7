package searcher

import (
	"fmt"
	"slices"
	"time"
)

// Config holds the settings of a Searcher.
type Config struct {
	Service string
	Name    string
	// Shards are the shards held.
	Shards []int
	// Holds narrows Shards to some versions; nil means all.
	Holds func(shard int, version uint64) bool
	// Documents is the number of documents in a shard; see the function Documents.
	Documents uint64
	// Oldest and Newest bound the versions held.
	Oldest, Newest uint64
	// Slots is the number of requests run at once; further ones queue.
	Slots int
	// Cold is the number of requests at once that a cold searcher bears.
	Cold int
	// Warm makes the searcher start warm.
	Warm bool
	// ColdFor and ColdSuccesses are what it takes to become warm: both the time
	// and the number of answers since it turned cold.
	ColdFor       time.Duration
	ColdSuccesses int
	// ShedFor is how long the searcher sheds after it fell over while cold.
	ShedFor time.Duration
	// Connections is the number of connections accepted; 0 means any number.
	Connections int
	// ConnectDelay delays the first request of each connection.
	ConnectDelay time.Duration
	// MeanServiceTime is the mean service time; it varies evenly by half of that.
	MeanServiceTime time.Duration
	// StragglerShare is the share of requests that take Factor times as long.
	StragglerShare  float64
	StragglerFactor float64
	// Seed decides the service times.
	Seed uint64
}

// Check returns the first fault of the settings, or nil.
func (c *Config) Check() error {
	switch {
	case c.Service == "":
		return fmt.Errorf("service: want a name")
	case c.Slots < 1:
		return fmt.Errorf("slots: want 1 or more, got %d", c.Slots)
	case c.Cold < 1 || c.Cold > c.Slots:
		return fmt.Errorf("cold: want 1 to the number of slots, got %d", c.Cold)
	case c.Oldest < 1 || c.Newest < c.Oldest:
		return fmt.Errorf("versions: want 1 or more, oldest first, got %d to %d", c.Oldest, c.Newest)
	case c.StragglerShare < 0 || c.StragglerShare > 1:
		return fmt.Errorf("straggler: want 0 to 1, got %v", c.StragglerShare)
	case min(c.ColdFor, c.ShedFor, c.ConnectDelay, c.MeanServiceTime) < 0:
		return fmt.Errorf("durations: want 0 or more")
	default:
		return nil
	}
}

func (c *Config) holds(shard int, version uint64) bool {
	if !slices.Contains(c.Shards, shard) {
		return false
	}
	return c.Holds == nil || c.Holds(shard, version)
}
