package locator

import (
	"cmp"
	"maps"
	"slices"
	"time"

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

// opening is the return of an availability zone after an operator had taken it out.
type opening struct {
	// revision is the store's revision up to which the searchers must be known, at is when the return became known.
	revision uint64
	at       time.Time
}

// unconfirmedColdTime is how long a searcher may count as cold because it is not known whether it is: longer than any outage of
// the store.
const unconfirmedColdTime = time.Hour

// warmAt returns the end of a searcher's warm-up. In a zone that was brought back it counts as cold until the searchers are known
// as of that moment: they may have turned cold while they got no requests, and said so before.
//
// Load pattern: the load of a whole zone returns at one moment to searchers that have restarted meanwhile.
func (l *Locator) warmAt(e *entry) time.Time {
	if o, ok := l.openings[e.Zone]; ok {
		return o.at.Add(unconfirmedColdTime)
	}
	return e.warmAt
}

// open records that zones were brought back as of a revision.
func (l *Locator) open(zones []string, revision uint64) {
	for _, zone := range zones {
		l.openings[zone] = opening{revision: revision, at: time.Now()}
	}
	l.awaitsSearchers.Store(len(l.openings) > 0)
}

// confirmSearchers records that the searchers are known up to a revision.
func (l *Locator) confirmSearchers(revision uint64) {
	maps.DeleteFunc(l.openings, func(_ string, o opening) bool { return o.revision <= revision })
	l.awaitsSearchers.Store(len(l.openings) > 0)
}

// coldShare returns this daemon's share of the rate, in requests per second, that all daemons together may send to a
// cold searcher; members are those that send to its service. It is 0 for the daemons that rank last when the members are
// ordered by a hash with the searcher's ID, and for those that are no members. A daemon that does not know the members yet is none:
// each of a fleet that restarts would else take the whole rate.
//
// Load pattern: a searcher, or a zone of them, that restarts cold under full load from more daemons than it can take
// requests per second.
func coldShare(rate float64, searcher, self string, members map[string]declarer.Member) float64 {
	senders := coldSendersBase + int(coldSendersPerRate*rate)
	if _, ok := members[self]; !ok {
		return 0
	}
	if len(members) <= senders {
		return rate / float64(len(members))
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
