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

// fate is what becomes of one write or read.
type fate int

const (
	served fate = iota
	// appliedLost writes take effect and their answer is lost.
	appliedLost
	// droppedLost writes take no effect, and neither comes an answer.
	droppedLost
	// delayed writes get no answer and take effect at the next call of arrive.
	delayed
	down
	// old reads show the state before the last write.
	old
)

// platform is the object API in memory, with faults.
type platform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[declarer.Key]declarer.Object
	before   map[declarer.Key]declarer.Object
	// puts and gets hold the fates of the next calls; rest that of all later ones.
	puts, gets []fate
	rest       fate
	late       []func()
	written    int
}

func newPlatform() *platform {
	return &platform{objects: make(map[declarer.Key]declarer.Object), before: make(map[declarer.Key]declarer.Object)}
}

func (p *platform) Get(_ context.Context, key declarer.Key) (declarer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := p.objects
	switch p.next(&p.gets) {
	case down:
		return declarer.Object{}, &storer.UnavailableError{Call: "get", Err: errors.New("down")}
	case old:
		shown = p.before
	}
	o, ok := shown[key]
	if !ok {
		return declarer.Object{}, &storer.NotFoundError{Key: key}
	}
	return o, nil
}

func (p *platform) Put(_ context.Context, o declarer.Object, expect uint64) (uint64, error) {
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
		p.late = append(p.late, func() { _, _ = p.apply(o, expect) })
		return 0, lost
	case down:
		return 0, &storer.UnavailableError{Call: "put", Err: errors.New("down")}
	default:
		return p.apply(o, expect)
	}
}

// arrive lets the delayed writes arrive.
func (p *platform) arrive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fn := range p.late {
		fn()
	}
	p.late = nil
}

func (p *platform) apply(o declarer.Object, expect uint64) (uint64, error) {
	if cur := p.objects[o.Key].Version; cur != expect {
		return 0, &storer.ConflictError{Key: o.Key, Expected: expect, Current: cur}
	}
	if was, ok := p.objects[o.Key]; ok {
		p.before[o.Key] = was
	}
	p.revision++
	p.written++
	o.Version = p.revision
	p.objects[o.Key] = o
	return o.Version, nil
}

func (p *platform) next(fates *[]fate) fate {
	if len(*fates) == 0 {
		return p.rest
	}
	f := (*fates)[0]
	*fates = (*fates)[1:]
	return f
}

// fleet is a control goroutine that adopts at once.
type fleet struct {
	mu      sync.Mutex
	objects map[declarer.Key]declarer.Object
	views   *viewer.Viewer
}

func newFleet() *fleet {
	f := &fleet{objects: make(map[declarer.Key]declarer.Object)}
	f.views = viewer.New(viewer.Build(declarer.Instance{ID: "a-1"}, nil, nil))
	return f
}

func (f *fleet) Accept(_ context.Context, o declarer.Object) error {
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

func (f *fleet) Status(context.Context) (reconciler.Status, error) {
	return reconciler.Status{Version: f.views.View().Version}, nil
}
