package storer

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
)

// ConflictError reports that a write was not applied because the object's version was
// not the expected one.
type ConflictError struct {
	Key declarer.Key
	// Expected is the version that the write expected; 0 stands for no object.
	Expected uint64
	// Current is the version of the object; 0 stands for no object.
	Current uint64
}

// Error returns the key and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, want %d", e.Key, e.Current, e.Expected)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Key declarer.Key
}

// Error returns the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist", e.Key)
}

// EraError reports that the condition of a write is a revision of an era that the store has
// left: it was restored from an older copy, and the revision means nothing now. The caller
// reads the object again.
type EraError struct {
	// Call is the name of the call, such as "put".
	Call string
	// Expected is the era of the condition, and Current that of the store.
	Expected, Current uint64
	// MaybeApplied is true when the answer to the write showed the new era, so that the write
	// may have been applied. When it is false, nothing was sent.
	MaybeApplied bool
}

// Error returns the call, both eras, and whether the write may have been applied.
func (e *EraError) Error() string {
	applied := "not sent"
	if e.MaybeApplied {
		applied = "may have been applied"
	}
	return fmt.Sprintf("store: %s %s: its condition is of era %d, the store is in era %d", e.Call, applied, e.Expected, e.Current)
}

// RejectedError reports that the store refused a call as invalid. A write was not
// applied.
type RejectedError struct {
	// Call is the name of the call, such as "put".
	Call string
	// Status is the status code of the store's answer.
	Status int
	Reason string
}

// Error returns the call, the status and the store's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %s", e.Call, e.Status, e.Reason)
}

// UnavailableError reports that a call got no valid answer.
type UnavailableError struct {
	// Call is the name of the call, such as "put".
	Call string
	// MaybeApplied is true for a write that may have been applied. When it is false,
	// nothing was applied.
	MaybeApplied bool
	// Err is the cause.
	Err error
}

// Error returns the call, whether it may have been applied, and the cause.
func (e *UnavailableError) Error() string {
	if e.MaybeApplied {
		return fmt.Sprintf("store: %s may have been applied: %v", e.Call, e.Err)
	}
	return fmt.Sprintf("store: %s: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// InvalidObject describes an object, or an instance of the list of instances, that cannot
// be read.
type InvalidObject struct {
	Key     declarer.Key
	Version uint64
	// Err is what is wrong with the object.
	Err error
}

// InvalidObjectsError lists the invalid objects of an answer. The valid ones are returned with
// it, and so is the revision.
type InvalidObjectsError struct {
	Objects []InvalidObject
}

// Error returns the number of invalid objects and the error of the first one.
func (e *InvalidObjectsError) Error() string {
	first := e.Objects[0]
	return fmt.Sprintf("%d invalid objects, first %s version %d: %v", len(e.Objects), first.Key, first.Version, first.Err)
}
