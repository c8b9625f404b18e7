package declarer

import (
	"errors"
	"fmt"
)

// FieldError says which field of a declared value is at fault.
type FieldError struct {
	// Field is the path of the field, such as "maps[0].shards[2].replicas[1].addr".
	Field string
	// Reason says what is wrong and what is wanted.
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// FieldErrors returns every FieldError that err joins or wraps.
func FieldErrors(err error) []*FieldError {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var all []*FieldError
		for _, e := range joined.Unwrap() {
			all = append(all, FieldErrors(e)...)
		}
		return all
	}
	var fe *FieldError
	if errors.As(err, &fe) {
		return []*FieldError{fe}
	}
	return nil
}

// faults collects field errors.
type faults struct {
	errs []error
}

// addf records a fault of field.
func (f *faults) addf(field, format string, args ...any) {
	f.errs = append(f.errs, &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// join returns all faults as one error, or nil.
func (f *faults) join() error {
	return errors.Join(f.errs...)
}
