package declarer

import (
	"errors"
	"fmt"
)

// FieldError describes an invalid field of a declared value.
type FieldError struct {
	// Field is the path of the field, such as "maps[0].shards[2].replicas[1].addr".
	Field string
	// Reason says what is wrong with the field and which values are valid.
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

// validationErrors collects the FieldErrors of one value.
type validationErrors struct {
	errs []error
}

// addf adds a FieldError of field.
func (f *validationErrors) addf(field, format string, args ...any) {
	f.errs = append(f.errs, &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// join returns all collected errors as one error, or nil.
func (f *validationErrors) join() error {
	return errors.Join(f.errs...)
}
