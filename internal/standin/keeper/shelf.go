package keeper

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"cornelwood.example/platform"
)

// MemoryStore stands in for the platform's metadata store as entry daemons use it: it
// keeps objects by kind in memory, and misbehaves on request.
type MemoryStore struct {
	handler http.Handler

	mu       sync.Mutex
	objects  map[string]map[string]platform.Object
	history  map[string][]platform.ObjectChange
	floor    uint64
	revision uint64
	down     bool
	calls    int
	changed  chan struct{}
}

// NewMemoryStore returns an empty Shelf.
func NewMemoryStore() *MemoryStore {
	s := &MemoryStore{
		objects: make(map[string]map[string]platform.Object),
		history: make(map[string][]platform.ObjectChange),
		changed: make(chan struct{}),
	}
	s.handler = platform.NewObjectHandler(s)
	return s
}

// ServeHTTP answers one call.
func (s *MemoryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "try later", http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// SetDown lets every call fail, or none.
func (s *MemoryStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Compact forgets all history, and ends the watches that wait.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.revision
	clear(s.history)
	s.wake()
}

// Calls returns the number of calls so far.
func (s *MemoryStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake ends what waits for a change; s.mu is held.
func (s *MemoryStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (s *MemoryStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// List returns the objects of a kind by name.
func (s *MemoryStore) List(kind string) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return byName(s.objects[kind]), s.revision
}

// At returns the objects of a kind as they were at a revision of the history.
func (s *MemoryStore) At(kind string, revision uint64) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.revision {
		return byName(s.objects[kind]), s.revision
	}
	view := make(map[string]platform.Object)
	for _, ch := range s.history[kind] {
		switch {
		case ch.Revision > revision:
		case ch.Removed:
			delete(view, ch.Name)
		default:
			view[ch.Name] = ch.Object
		}
	}
	return byName(view), revision
}

func byName(objects map[string]platform.Object) []platform.Object {
	var out []platform.Object
	for _, ob := range objects {
		out = append(out, ob)
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Get returns one object.
func (s *MemoryStore) Get(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ob, ok := s.objects[kind][name]
	return ob, ok
}

// journal is the history of a kind at one moment.
type journal struct {
	changes  []platform.ObjectChange
	revision uint64
	// floor is the revision up to which the history is gone.
	floor uint64
	// changed is closed with the next change.
	changed <-chan struct{}
}

// read returns the history of a kind, with the revision that it goes up to.
func (s *MemoryStore) read(kind string) journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return journal{changes: slices.Clone(s.history[kind]), revision: s.revision, floor: s.floor, changed: s.changed}
}

// Watch waits for changes of a kind after a revision.
func (s *MemoryStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.ObjectChange, uint64, bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		j := s.read(kind)
		out := slices.DeleteFunc(j.changes, func(ch platform.ObjectChange) bool { return ch.Revision <= from })
		if from < j.floor || len(out) > 0 {
			return out, j.revision, from >= j.floor
		}
		select {
		case <-j.changed:
		case <-end.C:
			return nil, j.revision, true
		case <-ctx.Done():
			return nil, from, true
		}
	}
}

// Create writes an object that is not there.
func (s *MemoryStore) Create(kind, name string, spec json.RawMessage) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was, exists := s.objects[kind][name]; exists {
		return was, false
	}
	return s.set(kind, name, spec), true
}

// Replace writes an object that is there; a write that changes nothing makes no
// revision.
func (s *MemoryStore) Replace(kind, name string, spec json.RawMessage, revision uint64) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, exists := s.objects[kind][name]
	switch {
	case !exists || revision != 0 && revision != was.Revision:
		return was, false
	case bytes.Equal(was.Spec, spec):
		return was, true
	default:
		return s.set(kind, name, spec), true
	}
}

// Set writes an object in place of an earlier one.
func (s *MemoryStore) Set(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

func (s *MemoryStore) set(kind, name string, spec json.RawMessage) platform.Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]platform.Object)
	}
	s.revision++
	ob := platform.Object{Name: name, Revision: s.revision, Spec: spec}
	s.objects[kind][name] = ob
	s.history[kind] = append(s.history[kind], platform.ObjectChange{Object: ob})
	s.wake()
	return ob
}

// Delete removes an object.
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
	s.wake()
	return true
}
