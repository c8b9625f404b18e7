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
	// Err says why the object cannot be read; Value is then empty.
	Err error
}

// Change is one change of an object.
type Change[T any] struct {
	Item[T]
	Removed bool
}

// Feed reads all objects of one kind from a store, and the changes after a
// revision.
type Feed[T any] interface {
	// List returns every object, and the revision to watch from.
	List(ctx context.Context) ([]Item[T], uint64, error)
	// Watch returns the changes after a revision as soon as there is one, none
	// when the wait is over, and the revision to watch from next. It fails with a
	// *HistoryError when the store has forgotten what came after the revision.
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]Change[T], uint64, error)
}

// Sink takes what a Follower reads. Its methods are called one at a time.
type Sink[T any] interface {
	// Revision returns the revision up to which changes are known, and false when
	// a list is needed first.
	Revision() (uint64, bool)
	// Replace takes the whole list.
	Replace(items []Item[T], revision uint64)
	// Apply takes changes in the order in which they happened.
	Apply(changes []Change[T], revision uint64)
	// Lost tells that the store does not answer; the next list or changes tell that
	// it does again.
	Lost(err error)
}

// CompactedError says that the store has forgotten the changes after a revision.
type CompactedError struct {
	Revision uint64
}

// Error returns the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store has forgotten the changes after revision %d", e.Revision)
}
