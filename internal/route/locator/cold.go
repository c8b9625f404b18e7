package locator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// coldSendersBase and coldSendersPerRate bound the number of daemons that send to one cold searcher: the base,
	// plus coldSendersPerRate for each request per second of its rate. Each of them may send one request at once in
	// addition to its share of the rate, and a searcher can take this number of requests beyond its rate.
	coldSendersBase    = 5
	coldSendersPerRate = 0.5
)

// coldShare returns this daemon's share of the rate, in requests per second, that all daemons together may send to a
// cold searcher; members are those that send to its service. It is 0 for the daemons that rank last when the members are
// ordered by a hash with the searcher's ID, and for those that are no members.
//
// Load pattern: a searcher, or a zone of them, that restarts cold under full load from more daemons than it can take
// requests per second.
func coldShare(rate float64, searcher, self string, members map[string]declarer.Member) float64 {
	senders := coldSendersBase + int(coldSendersPerRate*rate)
	if _, ok := members[self]; !ok && len(members) > 0 {
		return 0
	}
	if len(members) <= senders {
		return rate / float64(max(1, len(members)))
	}
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	hash := func(id string) uint64 { return xxhash.Sum64String(searcher + "/" + id) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
	if !slices.Contains(ids[:senders], self) {
		return 0
	}
	return rate / float64(senders)
}
