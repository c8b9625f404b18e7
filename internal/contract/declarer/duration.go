package declarer

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON, CBOR and INI encode as text such as "120ms".
type Duration struct {
	time.Duration
}

// MarshalText returns the duration in a form that time.ParseDuration accepts.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration such as "120ms". It fails on text that
// time.ParseDuration does not accept.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as \"120ms\"", text)
	}
	d.Duration = v
	return nil
}
