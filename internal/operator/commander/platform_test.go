package commander

import (
	"context"
	"errors"
	"sync"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/reconciler"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/control/viewer"
)

// behavior is what the fake platform does with one write or read.
type behavior int

const (
	normal behavior = iota
	// appliedLost applies a write and loses the answer.
	appliedLost
	// droppedLost does not apply a write and returns no answer.
	droppedLost
	// delayed returns no answer to a write and applies it at the next call of applyDelayed.
	delayed
	// down fails the call without applying it.
	down
	// stale answers a read with the state before the last write.
	stale
)

// fakePlatform is an in-memory Platform that injects faults.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[declarer.Key]declarer.Object
	// previous holds each object as it was before its last write.
	previous map[declarer.Key]declarer.Object
	// puts and gets hold the behaviors of the next calls. All later calls have defaultBehavior.
	puts, gets      []behavior
	defaultBehavior behavior
	delayedPuts     []func()
	// appliedPuts is the number of writes that took effect.
	appliedPuts int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[declarer.Key]declarer.Object), previous: make(map[declarer.Key]declarer.Object)}
}

func (p *fakePlatform) Get(_ context.Context, key declarer.Key) (declarer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := p.objects
	switch p.next(&p.gets) {
	case down:
		return declarer.Object{}, &storer.UnavailableError{Call: "get", Err: errors.New("down")}
	case stale:
		shown = p.previous
	}
	o, ok := shown[key]
	if !ok {
		return declarer.Object{}, &storer.NotFoundError{Key: key}
	}
	return o, nil
}

func (p *fakePlatform) Put(_ context.Context, o declarer.Object, expect uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := &storer.UnavailableError{Call: "put", MaybeApplied: true, Err: errors.New("lost")}
	switch p.next(&p.puts) {
	case appliedLost:
		_, _ = p.apply(o, expect) // the answer is lost
		return 0, lost
	case droppedLost:
		return 0, lost
	case delayed:
		p.delayedPuts = append(p.delayedPuts, func() { _, _ = p.apply(o, expect) })
		return 0, lost
	case down:
		return 0, &storer.UnavailableError{Call: "put", Err: errors.New("down")}
	default:
		return p.apply(o, expect)
	}
}

// applyDelayed applies the delayed writes.
func (p *fakePlatform) applyDelayed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fn := range p.delayedPuts {
		fn()
	}
	p.delayedPuts = nil
}

func (p *fakePlatform) apply(o declarer.Object, expect uint64) (uint64, error) {
	if cur := p.objects[o.Key].Version; cur != expect {
		return 0, &storer.ConflictError{Key: o.Key, Expected: expect, Current: cur}
	}
	if old, ok := p.objects[o.Key]; ok {
		p.previous[o.Key] = old
	}
	p.revision++
	p.appliedPuts++
	o.Version = p.revision
	p.objects[o.Key] = o
	return o.Version, nil
}

func (p *fakePlatform) next(behaviors *[]behavior) behavior {
	if len(*behaviors) == 0 {
		return p.defaultBehavior
	}
	b := (*behaviors)[0]
	*behaviors = (*behaviors)[1:]
	return b
}

// fakeFleet is a Fleet that applies objects immediately.
type fakeFleet struct {
	mu      sync.Mutex
	objects map[declarer.Key]declarer.Object
	views   *viewer.Viewer
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{objects: make(map[declarer.Key]declarer.Object)}
	f.views = viewer.New(viewer.Build(declarer.Instance{ID: "a-1"}, nil, nil))
	return f
}

func (f *fakeFleet) Accept(_ context.Context, o declarer.Object) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[o.Key].Version < o.Version {
		f.objects[o.Key] = o
	}
	var all []declarer.Object
	for _, o := range f.objects {
		all = append(all, o)
	}
	f.views.Publish(viewer.Build(declarer.Instance{ID: "a-1"}, all, nil))
	return nil
}

func (f *fakeFleet) Status(context.Context) (reconciler.Status, error) {
	return reconciler.Status{Version: f.views.View().Version}, nil
}
