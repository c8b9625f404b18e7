package relayer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/signaler"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/time/sentry"
)

// heldRelayTime is how long after the start of an era each answer to a peer has the objects that are kept from an earlier one: a peer
// that read the store itself may lack them. A peer polls every 0.35 s, and one that was out of reach for as long as the store
// takes to be written again (2.2 s) gets them, too. Longer would cost a large desired state in each answer.
const heldRelayTime = 5 * time.Second

// Sink receives the state of one kind of object. Its methods are called one at a time.
type Sink[T any] interface {
	// Replace receives the first full list, as of a revision of the store.
	Replace(items []follower.Item[T], revision uint64)
	// Apply receives the changes since the previous call, up to a revision.
	Apply(changes []follower.Change[T], revision uint64)
	// Confirm is called when the state is known up to a revision, after its changes have been
	// passed on.
	Confirm(revision uint64)
	// Lost is called when the store stops answering.
	Lost(err error)
	// Regained is called when the store answers again, with the length of the outage.
	Regained(after time.Duration)
}

// Cache holds the objects of one kind, whether this daemon read them from the store or
// a peer relayed them. It is safe for concurrent use.
//
// Its revisions are positions (declarer.Position), so that state of a later era of the store
// replaces any of an earlier one, and never the other way round.
type Cache[T any] struct {
	kind string
	// neverStale is true when the cached state counts as fresh at any age.
	neverStale bool
	sink       Sink[T]
	// changed is the Relayer's signal for changes and for the loss of the store.
	changed *signaler.Signal

	mu    sync.Mutex
	items map[string]follower.Item[T]
	// history is what was removed, for peers that ask for changes.
	history history
	// revision is the store's revision up to which changes are known.
	revision uint64
	// listed is true after the first full list.
	listed bool
	// confirmedAt is when the store last confirmed that it held nothing newer.
	confirmedAt time.Time
	// maxAge is the greatest age of the state on clock that a peer may have to count as fresh; 0 means that the state is
	// not dated. onDated receives each later date.
	maxAge  time.Duration
	onDated func(at time.Duration)
	clock   sentry.Clock
	// dated is clock's time at which the call to the store was sent that last confirmed the state, 0 if it is not known.
	dated time.Duration
	// trustedFrom is the time from which confirmations count, after a pause of the process.
	trustedFrom time.Time
	// whole is the packed full list; nil after a change.
	whole []byte
	// lostAt is when the store stopped answering, zero while it answers.
	lostAt time.Time
	// onEra is called with the era of the cached state when that has changed.
	onEra func(era uint64)
	// isOlder reports whether a value must not replace one of an earlier era; nil means that any may.
	isOlder func(value, than T) bool
	// eraAt is when the cached state reached its present era.
	eraAt time.Time
	// ignoresConfirm is true when the last answer of the store did not show the cached state, so that its Confirm does
	// not count.
	ignoresConfirm bool
}

// NewCache returns an empty Cache that passes changes on to sink, and adds it to r.
// kind identifies the Cache in the messages between peers.
func NewCache[T any](kind string, sink Sink[T], r *Relayer) *Cache[T] {
	c := &Cache[T]{
		kind:    kind,
		sink:    sink,
		changed: &r.cacheChanged,
		clock:   r.cfg.Clock,
		items:   make(map[string]follower.Item[T]),
		history: newHistory(),
		onEra:   r.observeEra,
	}
	r.caches = append(r.caches, c)
	return c
}

// NeverStale makes the cached state count as fresh at any age, for objects whose outdated
// values are detected and corrected when they are used. It returns c.
func (c *Cache[T]) NeverStale() *Cache[T] {
	c.neverStale = true
	return c
}

// LimitAge dates the state by Config.Clock's time at which the call that confirmed it was sent to the store, also over relays. State
// that is older than maxAge, or of unknown age, does not count as fresh. onDated receives each later date, after the changes up to
// it have been passed on to the sink. Call it before Serve.
func (c *Cache[T]) LimitAge(maxAge time.Duration, onDated func(at time.Duration)) {
	c.maxAge, c.onDated = maxAge, onDated
}

// KeepNewer keeps an object when the store has been restored from a copy that lacks it, or that has a value of which isOlder is true,
// until the store has one that is not older. Meanwhile peers get the kept object, and the state's date is not renewed: the store does
// not confirm it. Call it before Serve.
func (c *Cache[T]) KeepNewer(isOlder func(value, than T) bool) {
	c.isOlder = isOlder
}

// Confirm records when the call to the store was sent that confirmed the state.
func (c *Cache[T]) Confirm(asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ignoresConfirm {
		c.date(asked)
	}
}

// isOutdated reports whether state as of a revision is of an era that the store has left.
func (c *Cache[T]) isOutdated(revision uint64) bool {
	return c.listed && declarer.Era(revision) < declarer.Era(c.revision)
}

// date records that the state includes all that the store had confirmed at a time of the clock. State that is kept from an earlier era
// is not confirmed by the store.
func (c *Cache[T]) date(at time.Duration) {
	if c.maxAge > 0 && at > c.dated && !c.holdsAny() {
		c.dated = at
		c.onDated(at)
	}
}

// isYoung reports whether the age of the state is known and not above maxAge, or not limited.
func (c *Cache[T]) isYoung() bool {
	return c.maxAge == 0 || c.dated > 0 && c.clock()-c.dated <= c.maxAge
}

// acceptsAge reports whether a peer's state is young enough to count as fresh, and not of an era that the store has left.
func (c *Cache[T]) acceptsAge(u *update) bool {
	if revision, _ := c.Revision(); declarer.Era(u.Revision) < declarer.Era(revision) {
		return false
	}
	return c.maxAge == 0 || u.Asked > 0 && u.Asked <= c.maxAge
}

// Revision returns the store's revision up to which changes are known, and false before
// the first list.
func (c *Cache[T]) Revision() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.listed
}

// Replace applies a full list that was read from the store. Objects that are missing
// from it were removed.
func (c *Cache[T]) Replace(items []follower.Item[T], revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignoresConfirm = c.isOutdated(revision) || c.listed && c.changedSince(revision); c.isOutdated(revision) {
		return
	}
	c.setLost(nil)
	c.replace(items, revision, 0)
}

// replace applies a full list that the store confirmed age ago. An object that changed
// after the list's revision stays although the list lacks it.
func (c *Cache[T]) replace(items []follower.Item[T], revision uint64, age time.Duration) {
	if !c.listed {
		for _, it := range items {
			c.items[it.Name] = it
		}
		c.listed, c.whole, c.eraAt = true, nil, time.Now()
		// What was removed before is not known here: peers with older state get the full list.
		c.history.reset(revision)
		c.confirm(revision, age)
		c.onEra(declarer.Era(revision))
		c.sink.Replace(items, revision)
		c.sink.Confirm(c.revision)
		c.changed.Raise()
		return
	}
	if declarer.Era(revision) > declarer.Era(c.revision) {
		// What changed between the two eras is not known one by one: peers of an earlier era get the full list.
		c.whole, c.eraAt = nil, time.Now()
		c.history.reset(revision)
		c.onEra(declarer.Era(revision))
	}
	// The list does not show what was added and removed after the cached state.
	c.history.skip(c.revision, revision)
	inList := make(map[string]bool, len(items))
	var changes []follower.Change[T]
	for _, it := range items {
		inList[it.Name] = true
		changes = append(changes, follower.Change[T]{Item: it})
	}
	for name, it := range c.items {
		if !inList[name] && it.Revision <= revision {
			// A peer may have a later value than this daemon. The list shows that all values up to its revision are gone.
			changes = append(changes, follower.Change[T]{Item: follower.Item[T]{Name: name, Revision: revision}, Removed: true})
		}
	}
	c.apply(changes, revision, age)
}

// Apply applies changes that were read from the store.
func (c *Cache[T]) Apply(changes []follower.Change[T], revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignoresConfirm = c.isOutdated(revision) || c.listed && c.changedSince(revision); c.isOutdated(revision) {
		return
	}
	c.setLost(nil)
	c.apply(changes, revision, 0)
}

// apply applies the changes that are newer than the cached state. The store confirmed
// revision age ago.
func (c *Cache[T]) apply(changes []follower.Change[T], revision uint64, age time.Duration) {
	var applied []follower.Change[T]
	for _, ch := range changes {
		if c.applyChange(&ch, revision) {
			applied = append(applied, ch)
		}
	}
	c.confirm(revision, age)
	if len(applied) > 0 {
		c.sink.Apply(applied, revision)
		c.changed.Raise()
	}
	c.sink.Confirm(c.revision)
}

// applyChange applies one change if it is newer than the cached state, and reports
// whether it did. revision is that of the list or watch that showed the change.
func (c *Cache[T]) applyChange(ch *follower.Change[T], revision uint64) bool {
	current, exists := c.items[ch.Name]
	if exists && c.keeps(&current, ch, revision) {
		return false
	}
	if ch.Removed {
		if exists && ch.Revision < current.Revision {
			return false
		}
		// Also of an object that this daemon never had: peers that have it ask for changes from before.
		c.history.remove(ch.Name, ch.Revision, revision)
		if !exists {
			return false
		}
		c.whole = nil
		delete(c.items, ch.Name)
		return true
	}
	if exists && c.isKeptByPeer(&current, ch) {
		c.whole = nil
		c.items[ch.Name] = ch.Item
		return true
	}
	if exists && ch.Revision <= current.Revision || c.history.isRemoved(ch.Name, ch.Revision) {
		return false
	}
	if !exists && ch.Revision <= c.revision {
		// The state up to that revision is complete: the object has been removed since.
		return false
	}
	c.whole = nil
	delete(c.history.tombstones, ch.Name)
	c.items[ch.Name] = ch.Item
	return true
}

// keeps reports whether an object stays as it is although the store has an older value, or none, since it was restored from a copy.
// revision is that of the list or watch that showed the change.
func (c *Cache[T]) keeps(current *follower.Item[T], ch *follower.Change[T], revision uint64) bool {
	if c.isOlder == nil || current.Err != nil || declarer.Era(current.Revision) >= declarer.Era(revision) {
		return false
	}
	return ch.Removed || ch.Err != nil || c.isOlder(ch.Value, current.Value)
}

// isKeptByPeer reports whether a change is an object that a peer keeps from an earlier era, newer than the one here.
func (c *Cache[T]) isKeptByPeer(current *follower.Item[T], ch *follower.Change[T]) bool {
	return c.isOlder != nil && !ch.Removed && ch.Err == nil && declarer.Era(ch.Revision) < declarer.Era(current.Revision) &&
		(current.Err != nil || c.isOlder(current.Value, ch.Value))
}

// isHeld reports whether an object is kept from an earlier era than that of the cached state.
func (c *Cache[T]) isHeld(it *follower.Item[T]) bool {
	return declarer.Era(it.Revision) < declarer.Era(c.revision)
}

// holdsAny reports whether any object is kept from an earlier era.
func (c *Cache[T]) holdsAny() bool {
	if c.isOlder == nil {
		return false
	}
	for _, it := range c.items {
		if c.isHeld(&it) {
			return true
		}
	}
	return false
}

// confirm records that the store held nothing newer than revision age ago, and drops
// the expired part of the history.
func (c *Cache[T]) confirm(revision uint64, age time.Duration) {
	now := time.Now()
	c.revision = max(c.revision, revision)
	if confirmedAt := now.Add(-age); confirmedAt.After(c.confirmedAt) && !now.Before(c.trustedFrom) {
		c.confirmedAt = confirmedAt
	}
	c.history.expire(now)
}

// Lost records that the store does not answer.
func (c *Cache[T]) Lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLost(err)
}

// setLost records whether the store answers, and tells the sink when that changes. A
// nil error means that the store answers.
func (c *Cache[T]) setLost(err error) {
	switch {
	case err != nil && c.lostAt.IsZero():
		c.lostAt = time.Now()
		c.sink.Lost(err)
		c.changed.Raise()
	case err == nil && !c.lostAt.IsZero():
		c.sink.Regained(time.Since(c.lostAt))
		c.lostAt = time.Time{}
	}
}

// update is the message that brings a peer's Cache of one kind up to date.
type update struct {
	Kind string `json:"kind"`
	// Whole is true when the entries are a full list; otherwise they are changes.
	Whole bool `json:"whole,omitempty"`
	// Gapped is true when objects that the receiver never had may have been removed without a sign in the entries.
	Gapped   bool   `json:"gapped,omitempty"`
	Revision uint64 `json:"revision"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"age"`
	// Asked is how long ago, when this message was made, the call to the store was sent that confirmed the state, by the
	// sender's Config.Clock. 0 means that it is not known.
	Asked time.Duration `json:"asked,omitempty"`
	// Lost is true while the store does not answer the sender.
	Lost bool `json:"lost,omitempty"`
	// Entries is an encoded []entry, compressed by flate.
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

// hasNewerThan reports whether the cache has changes for a peer that knows a revision; 0
// stands for a peer that has no list yet.
func (c *Cache[T]) hasNewerThan(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed && (c.revision > revision && c.changedSince(revision) || revision == 0)
}

// isOutdatedFor reports whether a peer that knows a revision knows a later era of the store than this cache.
func (c *Cache[T]) isOutdatedFor(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return declarer.Era(revision) > declarer.Era(c.revision)
}

// changedSince reports whether an object was changed or removed after a revision.
func (c *Cache[T]) changedSince(revision uint64) bool {
	for _, it := range c.items {
		if it.Revision > revision {
			return true
		}
	}
	for _, ts := range c.history.tombstones {
		if ts.removalRevision > revision {
			return true
		}
	}
	return !c.history.hasAllSince(revision)
}

// isFresh reports whether the store answers and confirmed the state within maxAge. A cache
// that is never stale is fresh from its first list on.
func (c *Cache[T]) isFresh(maxAge time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.neverStale {
		return c.listed
	}
	return c.listed && c.lostAt.IsZero() && time.Since(c.confirmedAt) <= maxAge && c.isYoung()
}

// IsFresh reports whether the store answers and confirmed the state within maxAge.
func (c *Cache[T]) IsFresh(maxAge time.Duration) bool {
	return c.isFresh(maxAge)
}

// updateSince returns the update for a peer that knows a revision: the changes after it,
// or the full list when the peer has none or one of another era, or not all removals since then are known.
func (c *Cache[T]) updateSince(revision uint64) (update, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOtherEra := declarer.Era(revision) != declarer.Era(c.revision)
	u := update{Kind: c.kind, Revision: c.revision, Age: time.Since(c.confirmedAt), Lost: !c.lostAt.IsZero(), Whole: revision == 0 || isOtherEra || !c.history.hasAllSince(revision)}
	if c.dated > 0 {
		u.Asked = max(1, c.clock()-c.dated)
	}
	if u.Whole {
		var err error
		u.Entries, err = c.wholeEntries()
		return u, err
	}
	u.Gapped = c.history.hasGapSince(revision)
	var entries []entry[T]
	tellsHeld := time.Since(c.eraAt) < heldRelayTime
	for _, it := range c.items {
		if it.Revision > revision || tellsHeld && c.isHeld(&it) {
			entries = append(entries, encodeItem(it))
		}
	}
	for name, ts := range c.history.tombstones {
		if ts.removalRevision > revision {
			entries = append(entries, entry[T]{Name: name, Revision: ts.objectRevision, Removed: true})
		}
	}
	var err error
	u.Entries, err = packEntries(entries)
	return u, err
}

// wholeEntries returns the packed full list.
//
// Load pattern: all daemons of a zone start at once and ask for the full list, which a desired
// state of a thousand routes makes large.
func (c *Cache[T]) wholeEntries() ([]byte, error) {
	if c.whole != nil {
		return c.whole, nil
	}
	entries := make([]entry[T], 0, len(c.items))
	for _, it := range c.items {
		entries = append(entries, encodeItem(it))
	}
	var err error
	c.whole, err = packEntries(entries)
	return c.whole, err
}

// packEntries encodes and compresses entries; no entries are no bytes.
func packEntries[T any](entries []entry[T]) ([]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	raw, err := linker.Encode(entries)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpackEntries reverses packEntries.
func unpackEntries[T any](packed []byte) ([]entry[T], error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxEntriesBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxEntriesBytes {
		return nil, fmt.Errorf("entries of an update: want %d bytes at most", maxEntriesBytes)
	}
	var entries []entry[T]
	if err := linker.Decode(raw, &entries); err != nil {
		return nil, err
	}
	return entries, nil
}

// maxEntriesBytes bounds the size of unpacked entries.
const maxEntriesBytes = 32 << 20

func encodeItem[T any](it follower.Item[T]) entry[T] {
	e := entry[T]{Name: it.Name, Revision: it.Revision, Value: it.Value}
	if it.Err != nil {
		e.Fault = it.Err.Error()
	}
	return e
}

// applyUpdate applies a peer's update. It ends an outage of the store only if the store
// answers the peer and confirmed the update's revision later than the cached state: a peer
// that has lost the store shows nothing about this daemon's own connection to it. answered is a time of the clock at
// or before which the peer made the update.
func (c *Cache[T]) applyUpdate(u *update, answered time.Duration) error {
	entries, err := unpackEntries[T](u.Entries)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOutdated(u.Revision) {
		return nil
	}
	isDated := u.Asked > 0 && (!c.listed || !c.changedSince(u.Revision))
	if !u.Lost && u.Age < time.Since(c.confirmedAt) {
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
	} else {
		if u.Gapped {
			c.history.skip(c.revision, u.Revision)
		}
		c.apply(changes, u.Revision, u.Age)
	}
	if isDated {
		c.date(answered - u.Asked)
	}
	return nil
}

// staleAnswerTime is how long after a pause of the process answers may be read that had arrived during it or before.
const staleAnswerTime = 50 * time.Millisecond

// invalidate makes the cached state count as stale until it is confirmed again.
func (c *Cache[T]) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = time.Time{}
	c.trustedFrom = time.Now().Add(staleAnswerTime)
	c.changed.Raise()
}

// isCurrent reports whether the state is fresh, or as fresh as it can be while the store does not answer.
func (c *Cache[T]) isCurrent(maxAge time.Duration) bool {
	return c.isLost() || c.isFresh(maxAge)
}

// isLost reports whether the state is listed and the store does not answer.
func (c *Cache[T]) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed && !c.lostAt.IsZero()
}

func (c *Cache[T]) isNeverStale() bool {
	return c.neverStale
}

func (c *Cache[T]) name() string {
	return c.kind
}
