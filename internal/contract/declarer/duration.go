package declarer

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "120ms" in
// JSON, CBOR and INI.
type Duration struct {
	time.Duration
}

// MarshalText returns the duration in the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration such as "120ms". It fails on text that
// time.ParseDuration does not read.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as \"120ms\"", text)
	}
	d.Duration = v
	return nil
}
