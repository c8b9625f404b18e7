package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cornelwood.example/platform"
)

// maxRepeatedEvents is the largest number of old events in a watch answer with the Repeat fault.
const maxRepeatedEvents = 4

// faultyStore applies a Keeper's faults to reads, writes and watches of its store.
type faultyStore struct {
	k *Keeper
}

var _ platform.ObjectStore = (*faultyStore)(nil)

// Era returns the era of the store.
func (s *faultyStore) Era() uint64 {
	return s.k.store.Era()
}

// List returns the objects of a kind and the revision that they are read at, with the faults OldReads and Lag applied.
func (s *faultyStore) List(kind string) ([]platform.Object, uint64) {
	if kind == platform.KindDaemons {
		s.k.increment(&s.k.counts.Instances)
		return s.k.listInstances(), s.k.store.Revision()
	}
	s.k.increment(&s.k.counts.List)
	return s.k.store.ListAt(kind, s.revision())
}

// Get returns one object, with the fault OldReads applied, and whether it exists.
func (s *faultyStore) Get(kind, name string) (platform.Object, bool) {
	s.k.increment(&s.k.counts.Get)
	objects, _ := s.k.store.ListAt(kind, s.revision())
	for _, ob := range objects {
		if ob.Name == name {
			return ob, true
		}
	}
	return platform.Object{}, false
}

// revision returns the revision that reads are served from: the present one, or that of OldReads when it is older.
func (s *faultyStore) revision() uint64 {
	revision := s.k.store.Revision()
	if old := s.k.Faults().OldReads; old > 0 {
		revision = min(old, revision)
	}
	return revision
}

// Watch returns as MemoryStore.Watch does, with the faults of visibleEvents applied. An outage that begins while it
// waits closes the caller's connection without an answer.
func (s *faultyStore) Watch(
	ctx context.Context, kind string, from uint64, wait time.Duration,
) ([]platform.ObjectChange, uint64, bool) {
	s.k.increment(&s.k.counts.Watch)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := false
	for {
		h := s.k.store.readHistory(kind)
		out, next, visible, faultsChanged := s.visibleEvents(&h, from)
		if h.lacks(from) || len(out) > 0 || timedOut {
			return out, visible, !h.lacks(from)
		}
		from = next
		select {
		case <-h.changed:
		case <-faultsChanged:
			if s.k.Faults().Outage != OutageNone {
				panic(http.ErrAbortHandler)
			}
		case <-timer.C:
			timedOut = true
		case <-s.k.closed:
			return nil, from, true
		case <-ctx.Done():
			return nil, from, true
		}
	}
}

// visibleEvents returns the events after the revision from, with the faults OldReads, Miss and Repeat applied. next is
// from, or the revision of the last event that Miss skipped; visible is the revision that the watch is served from;
// faultsChanged is closed at the next change of the faults.
func (s *faultyStore) visibleEvents(
	h *kindHistory, from uint64,
) (out []platform.ObjectChange, next, visible uint64, faultsChanged <-chan struct{}) {
	k := s.k
	k.mu.Lock()
	defer k.mu.Unlock()
	visible = h.revision
	if old := k.faults.OldReads; old > 0 {
		visible = min(old, visible)
	}
	old := 0
	for _, ch := range h.changes {
		switch {
		case ch.Revision <= min(from, visible):
			old++
		case ch.Revision > visible || ch.Revision <= from:
		case k.faults.Miss > 0:
			k.faults.Miss--
			from = ch.Revision
		default:
			out = append(out, ch)
		}
	}
	if k.faults.Repeat > 0 && old > 0 {
		k.faults.Repeat--
		out = append(h.changes[max(0, old-maxRepeatedEvents):old:old], out...)
	}
	return out, from, visible, k.changed
}

// Create writes a new object, see MemoryStore.Create. The fault Lose may drop the answer.
func (s *faultyStore) Create(kind, name string, spec json.RawMessage) (platform.Object, bool) {
	ob, ok := s.k.store.Create(kind, name, spec)
	return ob, s.countWrite(ok)
}

// Replace writes an existing object, see MemoryStore.Replace. The fault Lose may drop the answer.
func (s *faultyStore) Replace(kind, name string, spec json.RawMessage, revision uint64) (platform.Object, bool) {
	ob, ok := s.k.store.Replace(kind, name, spec, revision)
	return ob, s.countWrite(ok)
}

// ReplaceStatus writes the status of an existing object, see MemoryStore.ReplaceStatus. The fault Lose may drop the answer.
func (s *faultyStore) ReplaceStatus(kind, name string, status json.RawMessage, revision uint64) (platform.Object, bool) {
	ob, ok := s.k.store.ReplaceStatus(kind, name, status, revision)
	return ob, s.countWrite(ok)
}

// Delete removes an object and reports whether it existed. The fault Lose may drop the answer.
func (s *faultyStore) Delete(kind, name string) bool {
	return s.countWrite(s.k.store.Delete(kind, name))
}

// countWrite counts a write and returns ok, which says whether it took effect. With the fault Lose it closes the
// connection of a write that took effect, without an answer.
func (s *faultyStore) countWrite(ok bool) bool {
	k := s.k
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Put++
	if !ok {
		k.counts.Conflicts++
		return false
	}
	k.counts.Written++
	if k.faults.Lose > 0 {
		k.faults.Lose--
		k.counts.Lost++
		// Makes net/http close the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	return true
}
