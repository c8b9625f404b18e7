package reader

import (
	"errors"
	"fmt"
)

// FileError is an error in a settings or schema file.
type FileError struct {
	File string
	// Section is empty when the file cannot be read.
	Section string
	// Key is empty when the error concerns the whole section.
	Key    string
	Reason string
}

// Error returns the file, the section, the key if there is one, and the reason.
func (e *FileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: section [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: section [%s]: key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// FileErrors returns all FileErrors that err joins or wraps, in the order in which they were found.
func FileErrors(err error) []*FileError {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var all []*FileError
		for _, e := range joined.Unwrap() {
			all = append(all, FileErrors(e)...)
		}
		return all
	}
	var fe *FileError
	if errors.As(err, &fe) {
		return []*FileError{fe}
	}
	return nil
}

// errorList collects the errors in one file.
type errorList struct {
	path string
	errs []error
}

// addf adds an error in a section; key is empty when it concerns the whole section.
func (l *errorList) addf(section, key, format string, args ...any) {
	l.errs = append(l.errs, &FileError{
		File: l.path, Section: section, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

// has reports whether the list contains an error in the section.
func (l *errorList) has(section string) bool {
	for _, err := range l.errs {
		var fe *FileError
		if errors.As(err, &fe) && fe.Section == section {
			return true
		}
	}
	return false
}

// join returns all errors joined, or nil if there are none.
func (l *errorList) join() error {
	return errors.Join(l.errs...)
}
