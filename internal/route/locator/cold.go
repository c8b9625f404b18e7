package locator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// coldSenders and coldSendersShare bound the daemons that send to one cold searcher:
	// each may send one request at any moment beside its rate, and a searcher bears 5
	// requests and half of its rate beyond that rate.
	coldSenders      = 5
	coldSendersShare = 0.5
)

// coldShare returns how many requests a second this daemon may send to a searcher
// while it is cold, of the rate for all daemons together. Daemons that come last in
// the order of the searcher send none.
//
// Load pattern: a searcher, or a zone of them, that comes back cold into full
// traffic from more daemons than it bears requests a second.
func coldShare(rate float64, searcher, self string, members map[string]declarer.Member) float64 {
	senders := coldSenders + int(coldSendersShare*rate)
	if len(members) <= senders {
		return rate / float64(max(1, len(members)))
	}
	names := make([]string, 0, len(members))
	for id := range members {
		names = append(names, id)
	}
	hash := func(id string) uint64 { return xxhash.Sum64String(searcher + "/" + id) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
	if !slices.Contains(names[:senders], self) {
		return 0
	}
	return rate / float64(senders)
}
