package storer

import (
	"fmt"

	"cornelwood.example/internal/contract/declarer"
)

// ConflictError says that a write was not applied because the object's version
// was not the expected one.
type ConflictError struct {
	Key declarer.Key
	// Expected is the version that the write asked for; 0 means no object.
	Expected uint64
	// Current is the version of the object; 0 means that there is none.
	Current uint64
}

// Error returns the key and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, want %d", e.Key, e.Current, e.Expected)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Key declarer.Key
}

// Error returns the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist", e.Key)
}

// RejectedError says that the store refused a call as faulty. A write was
// not applied.
type RejectedError struct {
	Call   string
	Status int
	Reason string
}

// Error returns the call, the status and the store's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %s", e.Call, e.Status, e.Reason)
}

// UnavailableError says that a call got no valid answer.
type UnavailableError struct {
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

// InvalidObject says what is wrong with one object, or one instance of the list
// of instances.
type InvalidObject struct {
	Key     declarer.Key
	Version uint64
	Err     error
}

// InvalidObjectsError lists the faulty objects of an answer. The others were returned
// with it, and so was the revision.
type InvalidObjectsError struct {
	Objects []InvalidObject
}

// Error returns the number of faulty objects and the first fault.
func (e *InvalidObjectsError) Error() string {
	f := e.Objects[0]
	return fmt.Sprintf("%d faulty objects, first %s version %d: %v", len(e.Objects), f.Key, f.Version, f.Err)
}
