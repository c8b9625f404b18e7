package reader

import (
	"errors"
	"fmt"
)

// FaultError says where a settings or schema file is at fault.
type FaultError struct {
	File    string
	Section string
	// Key is empty when the whole section is at fault.
	Key    string
	Reason string
}

// Error returns the file, section and key, and what is wrong.
func (e *FaultError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: section [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: section [%s]: key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// Faults returns every FaultError in err, in file order.
func Faults(err error) []*FaultError {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var all []*FaultError
		for _, e := range joined.Unwrap() {
			all = append(all, Faults(e)...)
		}
		return all
	}
	var f *FaultError
	if errors.As(err, &f) {
		return []*FaultError{f}
	}
	return nil
}

// faults collects the faults of one file.
type faults struct {
	file string
	errs []error
}

func (f *faults) addf(section, key, format string, args ...any) {
	f.errs = append(f.errs, &FaultError{
		File: f.file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

// has reports whether a fault of the section was recorded.
func (f *faults) has(section string) bool {
	for _, err := range f.errs {
		var fe *FaultError
		if errors.As(err, &fe) && fe.Section == section {
			return true
		}
	}
	return false
}

func (f *faults) join() error {
	return errors.Join(f.errs...)
}
