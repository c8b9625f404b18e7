package follower

import (
	"context"
	"fmt"
	"time"
)

// Item is one object of a store.
type Item[T any] struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	Value    T
	// Err is why the object cannot be read, or nil. With an Err, Value is empty.
	Err error
}

// Change is the creation, change or removal of one object.
type Change[T any] struct {
	Item[T]
	// Removed is true for a removal; Value is then empty.
	Removed bool
}

// Feed reads the objects of one kind from a store, and the changes after a revision.
type Feed[T any] interface {
	// List returns all objects, and the revision to watch from.
	List(ctx context.Context) ([]Item[T], uint64, error)
	// Watch returns the changes after revision from as soon as there is one, or none
	// after wait, and the revision to watch from next. It fails with a *CompactedError
	// when the store no longer has the changes after from.
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]Change[T], uint64, error)
}

// Sink receives what a Follower reads. Its methods are called one at a time.
type Sink[T any] interface {
	// Revision returns the store's revision up to which changes are known, and false
	// when a list is needed first.
	Revision() (uint64, bool)
	// Replace receives the full list, as of a revision.
	Replace(items []Item[T], revision uint64)
	// Apply receives changes in the order in which they happened, up to a revision. A
	// watch that ends without a change calls it with none.
	Apply(changes []Change[T], revision uint64)
	// Confirm is called after Replace or Apply, with the time of Config.Clock at which the call that showed the state was
	// sent: the state includes all that the store had confirmed by then.
	Confirm(asked time.Duration)
	// Lost is called when the store stops answering. The next Replace or Apply shows
	// that it answers again.
	Lost(err error)
}

// CompactedError reports that the store no longer has the changes after a revision.
type CompactedError struct {
	Revision uint64
}

// Error returns the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after revision %d", e.Revision)
}
