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

// Shelf stands in for the platform's metadata store as entry daemons use it: it
// keeps objects by kind in memory, and misbehaves on request.
type Shelf struct {
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

// NewShelf returns an empty Shelf.
func NewShelf() *Shelf {
	s := &Shelf{
		objects: make(map[string]map[string]platform.Object),
		history: make(map[string][]platform.ObjectChange),
		changed: make(chan struct{}),
	}
	s.handler = platform.NewObjects(s)
	return s
}

// ServeHTTP answers one call.
func (s *Shelf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
func (s *Shelf) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Compact forgets all history, and ends the watches that wait.
func (s *Shelf) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.revision
	clear(s.history)
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Shelf) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake ends what waits for a change; s.mu is held.
func (s *Shelf) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects of a kind by name.
func (s *Shelf) List(kind string) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for _, ob := range s.objects[kind] {
		out = append(out, ob)
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out, s.revision
}

// Watch waits for changes of a kind after a revision.
func (s *Shelf) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.ObjectChange, uint64, bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		known, revision, changed := from >= s.floor, s.revision, s.changed
		var out []platform.ObjectChange
		for _, ch := range s.history[kind] {
			if ch.Revision > from {
				out = append(out, ch)
			}
		}
		s.mu.Unlock()
		if !known || len(out) > 0 {
			return out, revision, known
		}
		select {
		case <-changed:
		case <-end.C:
			return nil, revision, true
		case <-ctx.Done():
			return nil, revision, true
		}
	}
}

// Put writes an object; a write that changes nothing makes no revision.
func (s *Shelf) Put(kind, name string, spec json.RawMessage, create bool) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, exists := s.objects[kind][name]
	if exists == create {
		return was, false
	}
	if exists && bytes.Equal(was.Spec, spec) {
		return was, true
	}
	return s.set(kind, name, spec), true
}

// Set writes an object in place of an earlier one.
func (s *Shelf) Set(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

func (s *Shelf) set(kind, name string, spec json.RawMessage) platform.Object {
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
func (s *Shelf) Delete(kind, name string) bool {
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
