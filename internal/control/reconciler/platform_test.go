package reconciler

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/storer"
)

// platform is an object API in memory that injects faults.
type platform struct {
	mu        sync.Mutex
	revision  uint64
	history   []declarer.Object
	instances []declarer.Instance
	changed   chan struct{}
	calls     map[string]int
	// peak is the highest number of calls in one second.
	peak, second int
	secondAt     time.Time

	isDown bool
	// isCut reports whether an instance is cut off from the platform.
	isCut func(id string) bool
	// lag is the number of latest changes that lists lack.
	lag int
	// mangler, if set, repeats, reorders and drops events of watches, and adds old ones.
	mangler *rand.Rand
	// eventlessAnswers is the number of watch answers to come whose events are dropped.
	eventlessAnswers int
}

func newPlatform() *platform {
	return &platform{changed: make(chan struct{}), calls: make(map[string]int)}
}

// put appends a change and returns the object with its new version.
func (p *platform) put(o declarer.Object) declarer.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	o.Version = p.revision
	p.history = append(p.history, o)
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

// set calls fn with the lock held.
func (p *platform) set(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
}

// platformClient is one daemon's client of the platform.
type platformClient struct {
	*platform
	id string
}

// call counts a call, and fails it when the platform is down or cut off.
func (a *platformClient) call(name string) error {
	p := a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[name]++
	if now := time.Now(); now.Sub(p.secondAt) >= time.Second {
		p.second, p.secondAt = 0, now
	}
	p.second++
	p.peak = max(p.peak, p.second)
	if p.isDown || p.isCut != nil && p.isCut(a.id) {
		return &storer.UnavailableError{Call: name, Err: errors.New("down")}
	}
	return nil
}

func (a *platformClient) List(context.Context, declarer.Kind) ([]declarer.Object, uint64, error) {
	if err := a.call("list"); err != nil {
		return nil, 0, err
	}
	p := a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := p.history[:max(0, len(p.history)-p.lag)]
	latest := make(map[declarer.Key]declarer.Object)
	for _, o := range shown {
		latest[o.Key] = o
	}
	var objects []declarer.Object
	for _, o := range latest {
		objects = append(objects, o)
	}
	return objects, p.revision - uint64(len(p.history)-len(shown)), nil
}

func (a *platformClient) Watch(ctx context.Context, from uint64, wait time.Duration) ([]declarer.Object, uint64, error) {
	if err := a.call("watch"); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		objects, revision, changed := a.since(from)
		if revision > from {
			return objects, revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, from, nil
		}
	}
}

// since returns the objects changed after a revision, the current revision, and a channel
// that closes at the next change.
func (p *platform) since(from uint64) ([]declarer.Object, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var objects []declarer.Object
	for _, o := range p.history {
		if o.Version > from {
			objects = append(objects, o)
		}
	}
	if p.mangler != nil && len(objects) > 0 {
		objects = append(objects, p.history...)
		p.mangler.Shuffle(len(objects), func(i, j int) { objects[i], objects[j] = objects[j], objects[i] })
		objects = objects[:1+p.mangler.IntN(len(objects))]
	}
	if p.eventlessAnswers > 0 && len(objects) > 0 {
		p.eventlessAnswers--
		objects = nil
	}
	return objects, p.revision, p.changed
}

func (a *platformClient) Instances(context.Context) ([]declarer.Instance, error) {
	if err := a.call("instances"); err != nil {
		return nil, err
	}
	p := a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.instances), nil
}
