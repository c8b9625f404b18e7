// Package merger merges the results of shards into the best hits of one snapshot, and counts the
// merged shards and documents.
package merger

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
)

// RejectError is the error for a result that was not merged.
type RejectError struct {
	Shard  int
	Reason answerer.Reason
	Detail string
}

// Error returns the shard, the reason and the detail.
func (e *RejectError) Error() string {
	return fmt.Sprintf("result of shard %d not merged (%s): %s", e.Shard, e.Reason, e.Detail)
}

// Merger holds the best hits of the shards merged so far. It is used by one goroutine.
type Merger struct {
	version   uint64
	merged    []bool
	count     int
	documents uint64
	top       topN[answerer.Hit]
}

// New returns a Merger of the best limit hits of a number of shards, all of one snapshot version.
func New(version uint64, shards, limit int) *Merger {
	return &Merger{
		version: version,
		merged:  make([]bool, shards),
		top:     newTopN(limit, compareHits),
	}
}

// Add merges the result of the shard at index i, whose ID is shard. It returns a *RejectError, and
// merges nothing, when the shard is already merged or the result is not a valid one of the snapshot.
func (m *Merger) Add(i, shard int, r *exchanger.Result) error {
	if m.merged[i] {
		return &RejectError{Shard: shard, Reason: answerer.ReasonInvalid, Detail: "the shard is already merged"}
	}
	if r.Status != exchanger.OK {
		return &RejectError{Shard: shard, Reason: answerer.ReasonInvalid, Detail: "the result is not a success"}
	}
	if r.Version != m.version {
		detail := fmt.Sprintf("want version %d, got %d", m.version, r.Version)
		return &RejectError{Shard: shard, Reason: answerer.ReasonVersion, Detail: detail}
	}
	hits, err := checkAndSort(shard, r.Hits)
	if err != nil {
		return err
	}
	m.merged[i] = true
	m.count++
	m.documents += r.Documents
	m.addHits(shard, hits)
	return nil
}

// IsMerged reports whether the shard at index i is merged.
func (m *Merger) IsMerged(i int) bool {
	return m.merged[i]
}

// Count returns the number of shards merged.
func (m *Merger) Count() int {
	return m.count
}

// Documents returns the number of documents in the shards merged.
func (m *Merger) Documents() uint64 {
	return m.documents
}

// Hits returns the best hits, ordered by descending score, then by shard and ID. The Merger must not
// be used afterwards.
func (m *Merger) Hits() []answerer.Hit {
	slices.SortFunc(m.top.items, compareHitValues)
	return m.top.items
}

// addHits merges the hits of one shard, best first, and sets their Shard.
func (m *Merger) addHits(shard int, hits []answerer.Hit) {
	for i := range hits {
		hits[i].Shard = shard
		if !m.top.add(&hits[i]) {
			return
		}
	}
}

// checkAndSort returns the hits best first. It sorts a copy when the upstream did not sort them, and
// returns a *RejectError when a hit has no score or ID, or an ID occurs twice.
func checkAndSort(shard int, hits []answerer.Hit) ([]answerer.Hit, error) {
	isOrdered := true
	last := math.Inf(1)
	for i := range hits {
		score := hits[i].Score
		if math.IsNaN(score) || hits[i].ID == "" {
			return nil, &RejectError{Shard: shard, Reason: answerer.ReasonInvalid, Detail: "a hit has no score or no id"}
		}
		isOrdered = isOrdered && (score < last || i > 0 && score == last && hits[i-1].ID < hits[i].ID)
		last = score
	}
	if isOrdered {
		return hits, nil
	}
	hits = slices.Clone(hits)
	slices.SortFunc(hits, func(a, b answerer.Hit) int { return compareInShard(&a, &b) })
	for i := 1; i < len(hits); i++ {
		if hits[i].ID == hits[i-1].ID {
			detail := fmt.Sprintf("hit %q occurs twice", hits[i].ID)
			return nil, &RejectError{Shard: shard, Reason: answerer.ReasonInvalid, Detail: detail}
		}
	}
	return hits, nil
}

func compareHitValues(a, b answerer.Hit) int {
	return compareHits(&a, &b)
}

// compareHits orders hits by descending score, then by shard and ID.
func compareHits(a, b *answerer.Hit) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	case a.Shard != b.Shard:
		return a.Shard - b.Shard
	default:
		return strings.Compare(a.ID, b.ID)
	}
}

// compareInShard orders hits of one shard, whose Shard is not yet set.
func compareInShard(a, b *answerer.Hit) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	default:
		return strings.Compare(a.ID, b.ID)
	}
}
