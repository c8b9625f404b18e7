package keeper

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"cornelwood.example/platform"
)

// MemoryStore is a stand-in for the platform's metadata store, an http.Handler that holds objects by kind in memory. It
// fails every call or compacts its history on request.
type MemoryStore struct {
	handler http.Handler

	mu sync.Mutex
	// objects is keyed by kind and name, history by kind.
	objects map[string]map[string]platform.Object
	history map[string][]platform.ObjectChange
	// compacted is the revision up to which the history is dropped.
	compacted uint64
	revision  uint64
	// era rises with each Restore.
	era   uint64
	down  bool
	calls int
	// changed is closed and replaced at each change, cut at each call of CutWatches.
	changed, cut chan struct{}
}

// NewMemoryStore returns an empty MemoryStore.
func NewMemoryStore() *MemoryStore {
	s := &MemoryStore{
		objects: make(map[string]map[string]platform.Object),
		history: make(map[string][]platform.ObjectChange),
		changed: make(chan struct{}),
		cut:     make(chan struct{}),
	}
	s.handler = platform.NewObjectHandler(s)
	return s
}

// ServeHTTP answers one call, with status 503 while the store is down.
func (s *MemoryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, cut := s.down, s.cut
	s.mu.Unlock()
	if down {
		platform.WriteEra(w.Header(), s.Era())
		http.Error(w, "try later", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if r.URL.Query().Has("watch") {
		go func() {
			select {
			case <-cut:
				cancel(http.ErrAbortHandler)
			case <-ctx.Done():
			}
		}()
	}
	s.handler.ServeHTTP(w, r.WithContext(ctx))
	if context.Cause(ctx) == http.ErrAbortHandler { //nolint:errorlint // set by the goroutine above
		panic(http.ErrAbortHandler)
	}
}

// CutWatches closes the connections of the watches that wait, without an answer.
func (s *MemoryStore) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// SetDown makes every new call fail with status 503, or none.
func (s *MemoryStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeLocked()
}

// Compact drops all history. Watches from an earlier revision end and report that their history is gone.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	clear(s.history)
	s.wakeLocked()
}

// Copy is the content of a MemoryStore at one moment.
type Copy struct {
	objects             map[string]map[string]platform.Object
	history             map[string][]platform.ObjectChange
	compacted, revision uint64
}

// Copy returns a copy of the content.
func (s *MemoryStore) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{objects: cloneContent(s.objects), history: cloneHistory(s.history), compacted: s.compacted, revision: s.revision}
}

// Restore replaces the content by a copy and begins a new era: what was written since the copy is gone, its revisions are assigned
// again, and watches from one of them end and report that their history is gone.
func (s *MemoryStore) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.history = cloneContent(c.objects), cloneHistory(c.history)
	s.compacted, s.revision = c.compacted, c.revision
	s.era++
	s.wakeLocked()
}

func cloneContent(objects map[string]map[string]platform.Object) map[string]map[string]platform.Object {
	out := make(map[string]map[string]platform.Object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

func cloneHistory(history map[string][]platform.ObjectChange) map[string][]platform.ObjectChange {
	out := make(map[string][]platform.ObjectChange, len(history))
	for kind, changes := range history {
		out[kind] = slices.Clone(changes)
	}
	return out
}

// Era returns the number of times that the store was restored from a copy.
func (s *MemoryStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of HTTP calls so far.
func (s *MemoryStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wakeLocked wakes the watches that wait for a change; s.mu is held.
func (s *MemoryStore) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (s *MemoryStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// List returns the objects of a kind, ordered by name, and the present revision.
func (s *MemoryStore) List(kind string) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortByName(s.objects[kind]), s.revision
}

// ListAt returns the objects of a kind, ordered by name, as of a revision, and that revision or the present one if it
// is lower. The history must go back to the first change of the kind.
func (s *MemoryStore) ListAt(kind string, revision uint64) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.revision {
		return sortByName(s.objects[kind]), s.revision
	}
	objects := make(map[string]platform.Object)
	for _, ch := range s.history[kind] {
		switch {
		case ch.Revision > revision:
		case ch.Removed:
			delete(objects, ch.Name)
		default:
			objects[ch.Name] = ch.Object
		}
	}
	return sortByName(objects), revision
}

// sortByName returns the objects ordered by name.
func sortByName(objects map[string]platform.Object) []platform.Object {
	var out []platform.Object
	for _, ob := range objects {
		out = append(out, ob)
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Get returns one object and whether it exists.
func (s *MemoryStore) Get(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ob, ok := s.objects[kind][name]
	return ob, ok
}

// kindHistory is the history of a kind at one revision.
type kindHistory struct {
	changes  []platform.ObjectChange
	revision uint64
	// compacted is the revision up to which the history is dropped.
	compacted uint64
	// changed is closed at the next change of the store.
	changed <-chan struct{}
}

// lacks reports whether the store does not have the history since a revision: it was compacted, or the store was restored
// from a copy older than the revision.
func (h *kindHistory) lacks(from uint64) bool {
	return from < h.compacted || from > h.revision
}

// readHistory returns the present history of a kind.
func (s *MemoryStore) readHistory(kind string) kindHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kindHistory{
		changes: slices.Clone(s.history[kind]), revision: s.revision, compacted: s.compacted, changed: s.changed,
	}
}

// Watch waits at most wait for changes of a kind after the revision from. It returns the changes, the revision that
// they go up to, and whether the history goes back to from.
func (s *MemoryStore) Watch(
	ctx context.Context, kind string, from uint64, wait time.Duration,
) ([]platform.ObjectChange, uint64, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		h := s.readHistory(kind)
		out := slices.DeleteFunc(h.changes, func(ch platform.ObjectChange) bool { return ch.Revision <= from })
		if h.lacks(from) || len(out) > 0 {
			return out, h.revision, !h.lacks(from)
		}
		select {
		case <-h.changed:
		case <-timer.C:
			return nil, h.revision, true
		case <-ctx.Done():
			return nil, from, true
		}
	}
}

// Create writes a new object and returns it and true, or the existing object of that name and false.
func (s *MemoryStore) Create(kind, name string, spec json.RawMessage) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, exists := s.objects[kind][name]; exists {
		return current, false
	}
	return s.setLocked(kind, name, spec), true
}

// Replace writes an existing object and returns it and true. It returns the current object and false when the object
// is missing or has another revision than the given one; revision 0 matches any. A write that changes nothing creates
// no revision.
func (s *MemoryStore) Replace(kind, name string, spec json.RawMessage, revision uint64) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case !exists || revision != 0 && revision != current.Revision:
		return current, false
	case bytes.Equal(current.Spec, spec):
		return current, true
	default:
		return s.setLocked(kind, name, spec), true
	}
}

// ReplaceStatus writes the status of an existing object, on the conditions of Replace.
func (s *MemoryStore) ReplaceStatus(kind, name string, status json.RawMessage, revision uint64) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case !exists || revision != 0 && revision != current.Revision:
		return current, false
	case bytes.Equal(current.Status, status):
		return current, true
	default:
		return s.writeLocked(kind, platform.Object{Name: name, Spec: current.Spec, Status: status}), true
	}
}

// Set writes an object, whether it exists or not.
func (s *MemoryStore) Set(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(kind, name, spec)
}

// setLocked writes an object at a new revision; s.mu is held.
func (s *MemoryStore) setLocked(kind, name string, spec json.RawMessage) platform.Object {
	return s.writeLocked(kind, platform.Object{Name: name, Spec: spec, Status: s.objects[kind][name].Status})
}

// writeLocked writes an object with its status at a new revision; s.mu is held.
func (s *MemoryStore) writeLocked(kind string, ob platform.Object) platform.Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]platform.Object)
	}
	s.revision++
	ob.Revision = s.revision
	s.objects[kind][ob.Name] = ob
	s.history[kind] = append(s.history[kind], platform.ObjectChange{Object: ob})
	s.wakeLocked()
	return ob
}

// Delete removes an object at a new revision and reports whether it existed.
func (s *MemoryStore) Delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ob, exists := s.objects[kind][name]
	if !exists {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	ob.Revision = s.revision
	s.history[kind] = append(s.history[kind], platform.ObjectChange{Object: ob, Removed: true})
	s.wakeLocked()
	return true
}
