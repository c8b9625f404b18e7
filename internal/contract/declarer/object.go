package declarer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// MaxChanges bounds the change ids that an object holds.
const MaxChanges = 8

// Kind is the kind of an object in the platform's object API.
type Kind string

// Kinds of objects.
const (
	KindService Kind = "service"
	KindZone    Kind = "zone"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Object is one versioned object of the configuration. Of two objects with the
// same key, the one with the higher version is current. A deleted object remains
// as a tombstone without a value.
type Object struct {
	Key
	// Version grows with every accepted change of any object of the platform.
	Version uint64 `json:"version"`
	// Deleted marks a tombstone.
	Deleted bool `json:"deleted,omitempty"`
	// Changes holds the ids of the last changes, newest last. A client whose answer
	// was lost looks its change id up here to learn whether the change took effect.
	Changes []string `json:"changes,omitempty"`
	Service *Service `json:"service,omitempty"`
	Zone    *Zone    `json:"zone,omitempty"`
}

// Check validates the object and its value. It returns the invalid fields as FieldErrors, or
// nil. The value is validated only when the name of the object is valid.
func (o *Object) Check() error {
	var f validationErrors
	checkName(&f, "name", o.Name)
	if err := f.join(); err != nil {
		return err
	}
	if o.Deleted {
		return nil
	}
	switch {
	case o.Kind == KindService && o.Service != nil:
		return checkSameName(o.Name, o.Service.Name, o.Service.Check())
	case o.Kind == KindZone && o.Zone != nil:
		return checkSameName(o.Name, o.Zone.Name, o.Zone.Check())
	default:
		return &FieldError{Field: "kind", Reason: fmt.Sprintf("object %s has no value of its kind", o.Key)}
	}
}

// WithChange returns a copy with the change id appended to Changes, of which it retains
// only the newest MaxChanges ids.
func (o Object) WithChange(id string) Object {
	o.Changes = append(slices.Clone(o.Changes), id)
	if n := len(o.Changes); n > MaxChanges {
		o.Changes = o.Changes[n-MaxChanges:]
	}
	return o
}

// HasChange reports whether Changes holds the change id.
func (o *Object) HasChange(id string) bool {
	return slices.Contains(o.Changes, id)
}

// DecodeObject decodes an object from JSON and validates it. It fails on invalid JSON, and with
// the FieldErrors of Object.Check.
func DecodeObject(data []byte) (Object, error) {
	var o Object
	if err := json.Unmarshal(data, &o); err != nil {
		return Object{}, fmt.Errorf("decode object: %w", err)
	}
	if err := o.Check(); err != nil {
		return Object{}, err
	}
	return o, nil
}

func checkSameName(key, value string, err error) error {
	if err != nil {
		return err
	}
	if key != value {
		return &FieldError{Field: "name", Reason: fmt.Sprintf("object %q has a value named %q", key, value)}
	}
	return nil
}
