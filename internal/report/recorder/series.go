package recorder

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// bucketFields is the number of values in a bucket's JSON form.
const bucketFields = 5

// Series is what one daemon recorded.
type Series struct {
	// Instance is the daemon's instance.
	Instance string `json:"instance"`
	// Recorded is the time since the daemon began to record.
	Recorded declarer.Duration `json:"recorded"`
	// Untracked counts queries of services that there was no room for.
	Untracked uint64          `json:"untracked,omitempty"`
	Services  []ServiceSeries `json:"services"`
}

// ServiceSeries is the series of one service.
type ServiceSeries struct {
	Name string `json:"name"`
	// Contract holds the objectives last in force; nil when the daemon knew none.
	Contract *Objectives `json:"contract,omitempty"`
	// Buckets holds the minutes with a query, newest first; minutes older than 6
	// hours stand in groups of ten.
	Buckets []Bucket `json:"buckets"`
}

// Objectives is the part of a contract that a service level is held against.
type Objectives struct {
	Latency declarer.Duration `json:"latency"`
	// Quantile is the share of queries that must be good, above 0 and below 1.
	Quantile float64 `json:"quantile"`
	// Coverage is the share of shards that a good answer merges.
	Coverage float64 `json:"coverage"`
}

// Bucket holds the counts of one minute, or of a group. In JSON it is an array:
// ago, total, slow, partial, refused.
type Bucket struct {
	// Ago is the age in whole minutes on the daemon's own clock, that of the newest
	// minute of a group; minute 0 is under way.
	Ago int
	Counts
}

// SeriesError says which value of a series is wrong.
type SeriesError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *SeriesError) Error() string {
	return fmt.Sprintf("series: field %q: %s", e.Field, e.Reason)
}

// MarshalJSON returns the array form.
func (b Bucket) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%d,%d,%d,%d]", b.Ago, b.Total, b.Slow, b.Partial, b.Refused), nil
}

// UnmarshalJSON reads the array form.
func (b *Bucket) UnmarshalJSON(data []byte) error {
	var v []uint32
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("bucket: %w", err)
	}
	if len(v) != bucketFields {
		return fmt.Errorf("bucket: want %d numbers, got %d", bucketFields, len(v))
	}
	b.Ago = int(min(v[0], math.MaxInt32))
	b.Counts = Counts{Total: v[1], Slow: v[2], Partial: v[3], Refused: v[4]}
	return nil
}

// UnmarshalJSON reads a series and checks it.
func (s *Series) UnmarshalJSON(data []byte) error {
	type plain Series
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("series: %w", err)
	}
	*s = Series(p)
	return s.Check()
}

// Check returns the first fault as a *SeriesError, or nil.
func (s *Series) Check() error {
	if s.Recorded.Duration < 0 {
		return faultf("recorded", "want 0 or more, got %s", s.Recorded)
	}
	if n := len(s.Services); n > maxServices {
		return faultf("services", "want at most %d, got %d", maxServices, n)
	}
	last := ""
	for i := range s.Services {
		one := &s.Services[i]
		if one.Name <= last || len(one.Name) > maxNameBytes {
			return faultf(fmt.Sprintf("services[%d].name", i), "want 1 to %d bytes, ordered by name, got %q after %q", maxNameBytes, one.Name, last)
		}
		last = one.Name
		if err := one.check(s.Recorded.Duration); err != nil {
			return err
		}
	}
	return nil
}

func (s *ServiceSeries) check(recorded time.Duration) error {
	if s.Contract != nil {
		if err := s.Contract.check(s.Name); err != nil {
			return err
		}
	}
	last := -1
	for i, b := range s.Buckets {
		field := fmt.Sprintf("%s.buckets[%d]", s.Name, i)
		if b.Ago <= last || b.Ago >= Minutes {
			return faultf(field, "want an age above %d and below %d, got %d", last, Minutes, b.Ago)
		}
		if time.Duration(b.Ago)*time.Minute > recorded {
			return faultf(field, "age of %d minutes is beyond the time recorded, %s", b.Ago, recorded)
		}
		last = b.Ago
		// A slow answer may be partial too; a refused query is neither.
		if uint64(max(b.Slow, b.Partial))+uint64(b.Refused) > uint64(b.Total) {
			return faultf(field, "want at most %d bad queries, the total", b.Total)
		}
	}
	return nil
}

func (o *Objectives) check(service string) error {
	if o.Latency.Duration <= 0 {
		return faultf(service+".latency", "want above 0, got %s", o.Latency)
	}
	if !(o.Quantile > 0 && o.Quantile < 1) {
		return faultf(service+".quantile", "want above 0 and below 1, got %v", o.Quantile)
	}
	if !(o.Coverage > 0 && o.Coverage <= 1) {
		return faultf(service+".coverage", "want above 0 and at most 1, got %v", o.Coverage)
	}
	return nil
}

func faultf(field, format string, args ...any) error {
	return &SeriesError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
