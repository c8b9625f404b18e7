package relayer

import (
	"errors"
	"sync"
	"time"

	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/peer/linker"
)

// removalTime is how long a removal is remembered for peers that ask for changes;
// peers that were away for longer get the whole list.
const removalTime = 30 * time.Second

// Sink takes the state of one kind of objects. Its methods are called one at a
// time.
type Sink[T any] interface {
	// Replace takes the first whole list, Apply the changes since.
	Replace(items []follower.Item[T], revision uint64)
	Apply(changes []follower.Change[T], revision uint64)
	// Lost tells that the store stopped answering, Regained that it answers again.
	Lost(err error)
	Regained(after time.Duration)
}

// Cache holds the objects of one kind as far as this daemon knows them, whether
// it read them itself or heard of them. It is safe for concurrent use.
type Cache[T any] struct {
	kind string
	// timeless kinds may be of any age.
	timeless bool
	sink     Sink[T]
	news     *signal

	mu       sync.Mutex
	items    map[string]follower.Item[T]
	removals map[string]removal
	// revision is the store's revision up to which changes are known.
	revision uint64
	listed   bool
	// floor is the highest revision of a removal that has been forgotten.
	floor uint64
	// verified is when the store last confirmed that nothing newer exists.
	verified time.Time
	lostAt   time.Time
}

// removal is the memory of a removed object.
type removal struct {
	// last is the revision of the object's last change.
	last uint64
	// seen is the revision of the list or watch that showed the removal.
	seen uint64
	at   time.Time
}

// NewCache returns an empty Cache that tells news to sink.
func NewCache[T any](kind string, sink Sink[T], r *Relayer) *Cache[T] {
	c := &Cache[T]{
		kind:     kind,
		sink:     sink,
		news:     &r.news,
		items:    make(map[string]follower.Item[T]),
		removals: make(map[string]removal),
	}
	r.kinds = append(r.kinds, c)
	return c
}

// NeverStale lets the cache count as fresh at any age: what it holds is corrected
// when it is used.
func (c *Cache[T]) NeverStale() *Cache[T] {
	c.timeless = true
	return c
}

// Revision returns the revision up to which changes are known, and false before
// the first list.
func (c *Cache[T]) Revision() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.listed
}

// Replace takes a whole list over: objects that it lacks were removed.
func (c *Cache[T]) Replace(items []follower.Item[T], revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLost(nil)
	c.replace(items, revision, 0)
}

// replace takes over a whole list that a source confirmed age ago.
func (c *Cache[T]) replace(items []follower.Item[T], revision uint64, age time.Duration) {
	if !c.listed {
		for _, it := range items {
			c.items[it.Name] = it
		}
		c.listed = true
		c.confirm(revision, age)
		c.sink.Replace(items, revision)
		c.news.raise()
		return
	}
	named := make(map[string]bool, len(items))
	var changes []follower.Change[T]
	for _, it := range items {
		named[it.Name] = true
		changes = append(changes, follower.Change[T]{Item: it})
	}
	for name, it := range c.items {
		if !named[name] && it.Revision <= revision {
			changes = append(changes, follower.Change[T]{Item: follower.Item[T]{Name: name, Revision: it.Revision}, Removed: true})
		}
	}
	c.apply(changes, revision, age)
}

// Apply takes changes over.
func (c *Cache[T]) Apply(changes []follower.Change[T], revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLost(nil)
	c.apply(changes, revision, 0)
}

// apply takes over the changes that are newer than what is known, from a source
// whose knowledge has an age.
func (c *Cache[T]) apply(changes []follower.Change[T], revision uint64, age time.Duration) {
	var fresh []follower.Change[T]
	for _, ch := range changes {
		if c.adopt(&ch, revision) {
			fresh = append(fresh, ch)
		}
	}
	c.confirm(revision, age)
	if len(fresh) > 0 {
		c.sink.Apply(fresh, revision)
		c.news.raise()
	}
}

// adopt takes one change over when it is newer than what is known.
func (c *Cache[T]) adopt(ch *follower.Change[T], revision uint64) bool {
	known, isKnown := c.items[ch.Name]
	gone, isGone := c.removals[ch.Name]
	if ch.Removed {
		if !isKnown || ch.Revision < known.Revision {
			return false
		}
		delete(c.items, ch.Name)
		c.removals[ch.Name] = removal{last: ch.Revision, seen: revision, at: time.Now()}
		return true
	}
	if isKnown && ch.Revision <= known.Revision || isGone && ch.Revision <= gone.last {
		return false
	}
	delete(c.removals, ch.Name)
	c.items[ch.Name] = ch.Item
	return true
}

// confirm notes that the store held nothing newer than revision, age ago.
func (c *Cache[T]) confirm(revision uint64, age time.Duration) {
	now := time.Now()
	c.revision = max(c.revision, revision)
	if at := now.Add(-age); at.After(c.verified) {
		c.verified = at
	}
	for name, r := range c.removals {
		if now.Sub(r.at) > removalTime {
			c.floor = max(c.floor, r.seen)
			delete(c.removals, name)
		}
	}
}

// Lost notes that the store does not answer.
func (c *Cache[T]) Lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLost(err)
}

// setLost notes whether the store answers; a nil error means that it does.
func (c *Cache[T]) setLost(err error) {
	switch {
	case err != nil && c.lostAt.IsZero():
		c.lostAt = time.Now()
		c.sink.Lost(err)
		c.news.raise()
	case err == nil && !c.lostAt.IsZero():
		c.sink.Regained(time.Since(c.lostAt))
		c.lostAt = time.Time{}
	}
}

// update is what one peer tells another of one kind.
type update struct {
	Kind string `json:"kind"`
	// Whole marks a whole list; otherwise the entries are changes.
	Whole    bool   `json:"whole,omitempty"`
	Revision uint64 `json:"revision"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"age"`
	// Lost is true while the store does not answer the peer.
	Lost    bool   `json:"lost,omitempty"`
	Entries []byte `json:"entries,omitempty"`
}

// entry is one object, or the removal of one.
type entry[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Value    T      `json:"value,omitempty"`
	Fault    string `json:"fault,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// newer reports whether the cache holds more than a peer that knows a revision.
func (c *Cache[T]) newer(from uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed && (c.revision > from && c.changedSince(from) || from == 0)
}

// changedSince reports whether an object changed after a revision.
func (c *Cache[T]) changedSince(from uint64) bool {
	for _, it := range c.items {
		if it.Revision > from {
			return true
		}
	}
	for _, r := range c.removals {
		if r.seen > from {
			return true
		}
	}
	return from < c.floor
}

// fresh reports whether the store confirmed the state within an age, and whether
// it answers.
func (c *Cache[T]) fresh(age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timeless {
		return c.listed
	}
	return c.listed && c.lostAt.IsZero() && time.Since(c.verified) <= age
}

// since returns what a peer that knows a revision lacks.
func (c *Cache[T]) since(from uint64) (update, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := update{Kind: c.kind, Revision: c.revision, Age: time.Since(c.verified), Lost: !c.lostAt.IsZero(), Whole: from == 0 || from < c.floor}
	var entries []entry[T]
	for _, it := range c.items {
		if u.Whole || it.Revision > from {
			entries = append(entries, encode(it))
		}
	}
	for name, r := range c.removals {
		if !u.Whole && r.seen > from {
			entries = append(entries, entry[T]{Name: name, Revision: r.last, Removed: true})
		}
	}
	if len(entries) == 0 {
		return u, nil
	}
	var err error
	u.Entries, err = linker.Encode(entries)
	return u, err
}

func encode[T any](it follower.Item[T]) entry[T] {
	e := entry[T]{Name: it.Name, Revision: it.Revision, Value: it.Value}
	if it.Err != nil {
		e.Fault = it.Err.Error()
	}
	return e
}

// take takes over what a peer tells. A peer that has lost the store proves nothing
// about this daemon's own way to it.
func (c *Cache[T]) take(u *update) error {
	var entries []entry[T]
	if len(u.Entries) > 0 {
		if err := linker.Decode(u.Entries, &entries); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !u.Lost && u.Age < time.Since(c.verified) {
		c.setLost(nil)
	}
	changes := make([]follower.Change[T], 0, len(entries))
	items := make([]follower.Item[T], 0, len(entries))
	for _, e := range entries {
		it := follower.Item[T]{Name: e.Name, Revision: e.Revision, Value: e.Value}
		if e.Fault != "" {
			it.Err = errors.New(e.Fault)
		}
		items = append(items, it)
		changes = append(changes, follower.Change[T]{Item: it, Removed: e.Removed})
	}
	if u.Whole {
		c.replace(items, u.Revision, u.Age)
		return nil
	}
	c.apply(changes, u.Revision, u.Age)
	return nil
}

func (c *Cache[T]) isTimeless() bool {
	return c.timeless
}

func (c *Cache[T]) name() string {
	return c.kind
}
