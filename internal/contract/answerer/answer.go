package answerer

import "cornelwood.example/internal/contract/declarer"

// Answer is the answer to a Query, with results merged from one snapshot.
type Answer struct {
	Request  string `json:"request"`
	Service  string `json:"service"`
	Snapshot uint64 `json:"snapshot"`
	// Coverage counts the shards whose results were merged, not those that were asked.
	Coverage Coverage `json:"coverage"`
	// Results are ordered by descending score, then by shard and id.
	Results []Hit `json:"results"`
	// Took is the time that the daemon took for the answer.
	Took declarer.Duration `json:"took"`
}

// Hit is one record that matches a query.
type Hit struct {
	ID    string  `json:"id"`
	Shard int     `json:"shard"`
	Score float64 `json:"score"`
	Text  string  `json:"text,omitempty"`
}

// Coverage describes the part of a service's records that an answer covers.
type Coverage struct {
	// Shards is the number of shards of the snapshot.
	Shards int `json:"shards"`
	// Merged is the number of shards whose results were merged.
	Merged int `json:"merged"`
	// Documents is the number of documents in the merged shards.
	Documents uint64 `json:"documents"`
	// Missing lists the shards that were not merged, ordered by shard.
	Missing []Missing `json:"missing,omitempty"`
}

// Complete reports whether every shard was merged.
func (c *Coverage) Complete() bool {
	return c.Merged == c.Shards
}

// Fraction returns the fraction of the shards that were merged, 0 to 1.
func (c *Coverage) Fraction() float64 {
	if c.Shards == 0 {
		return 0
	}
	return float64(c.Merged) / float64(c.Shards)
}

// Missing is a shard that was not merged.
type Missing struct {
	Shard  int    `json:"shard"`
	Reason Reason `json:"reason"`
}

// Reason is the reason why a shard was not merged.
type Reason string

// Reasons for a missing shard.
const (
	ReasonDeadline    Reason = "deadline"
	ReasonShed        Reason = "shed"
	ReasonOut         Reason = "out"
	ReasonUnreachable Reason = "unreachable"
	ReasonVersion     Reason = "version"
	ReasonInvalid     Reason = "invalid"
)
