package relayer

import (
	"slices"
	"time"
)

// removalRetention is how long a history keeps what peers need that ask for changes.
// A peer that was away for longer gets the full list.
const removalRetention = 30 * time.Second

// history records which objects were removed, so that peers can be sent changes instead of the full list.
//
// Its invariant: for each revision from which hasAllSince is true, it holds a tombstone for every object that existed at that
// revision or later and has been removed since, whether this daemon had the object or not.
type history struct {
	tombstones map[string]tombstone
	// gaps holds the ranges of revisions in which objects may have come and gone unseen, because a list skipped them.
	gaps []gap
	// compacted is the revision up to which removals are not known any more.
	compacted uint64
	// listed is the revision of the last list. A list that took several calls may lack objects that it should have as of its
	// revision, as they were removed between the calls.
	listed uint64
}

// tombstone records that an object was removed.
type tombstone struct {
	// objectRevision is the highest revision that the removed object can have had: one with a higher revision was created
	// after the removal.
	objectRevision uint64
	// removalRevision is the revision of the list or watch that showed the removal.
	removalRevision uint64
	at              time.Time
}

// gap is the range of revisions between two states that were read one after the other, without the changes between them.
type gap struct {
	after, until uint64
	at           time.Time
}

func newHistory() history {
	return history{tombstones: make(map[string]tombstone)}
}

// reset forgets everything: the state is that of a revision, and nothing before it is known.
func (h *history) reset(revision uint64) {
	clear(h.tombstones)
	h.gaps, h.compacted, h.listed = nil, revision, revision
}

// remove records the removal of an object, which a list or watch as of a revision showed.
func (h *history) remove(name string, objectRevision, revision uint64) {
	ts := h.tombstones[name]
	if ts.objectRevision >= objectRevision && ts.removalRevision >= revision {
		return
	}
	// A list that took several calls may show a removal that is later than its revision, and a watch shows it again.
	h.tombstones[name] = tombstone{
		objectRevision: max(ts.objectRevision, objectRevision), removalRevision: max(ts.removalRevision, revision), at: time.Now(),
	}
}

// skip records that the state went from one revision to a later one without the changes between them.
func (h *history) skip(after, until uint64) {
	if until <= after {
		return
	}
	if after == h.listed && after > 0 {
		// Peers of just that revision may have what that list lacked.
		after--
	}
	h.gaps = append(h.gaps, gap{after: after, until: until, at: time.Now()})
	h.listed = until
}

// isRemoved reports whether an object of a name and revision has been removed.
func (h *history) isRemoved(name string, revision uint64) bool {
	ts, ok := h.tombstones[name]
	return ok && revision <= ts.objectRevision
}

// hasAllSince reports whether every removal since a revision is known.
func (h *history) hasAllSince(revision uint64) bool {
	return revision >= h.compacted && !slices.ContainsFunc(h.gaps, func(g gap) bool { return g.after < revision && revision < g.until })
}

// hasGapSince reports whether objects may have come and gone unseen since a revision.
func (h *history) hasGapSince(revision uint64) bool {
	return slices.ContainsFunc(h.gaps, func(g gap) bool { return revision < g.until })
}

// expire drops what is older than removalRetention.
func (h *history) expire(now time.Time) {
	for name, ts := range h.tombstones {
		if now.Sub(ts.at) > removalRetention {
			h.compacted = max(h.compacted, ts.removalRevision)
			delete(h.tombstones, name)
		}
	}
	h.gaps = slices.DeleteFunc(h.gaps, func(g gap) bool {
		isExpired := now.Sub(g.at) > removalRetention
		if isExpired {
			h.compacted = max(h.compacted, g.until)
		}
		return isExpired
	})
}
