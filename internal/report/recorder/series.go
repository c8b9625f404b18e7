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

// Series holds the counts that one daemon recorded.
type Series struct {
	// Instance is the daemon's instance name.
	Instance string `json:"instance"`
	// Recorded is the time since the daemon began to record.
	Recorded declarer.Duration `json:"recorded"`
	// Untracked counts queries of services that the recorder did not accept, see the
	// limits in recorder.go.
	Untracked uint64          `json:"untracked,omitempty"`
	Services  []ServiceSeries `json:"services"`
}

// ServiceSeries holds the counts of one service.
type ServiceSeries struct {
	Name string `json:"name"`
	// Contract holds the objectives of the contract last recorded; nil when the daemon
	// had none.
	Contract *Objectives `json:"contract,omitempty"`
	// Buckets holds the minutes with a query, newest first. From an age of 6 hours, a
	// bucket sums a group of 10 minutes.
	Buckets []Bucket `json:"buckets"`
}

// Objectives is the part of a contract that a service level is measured against.
type Objectives struct {
	// Latency is the longest time that a good answer takes.
	Latency declarer.Duration `json:"latency"`
	// Quantile is the share of queries that must be good, above 0 and below 1.
	Quantile float64 `json:"quantile"`
	// Coverage is the lowest share of shards that a good answer merges, above 0 and at
	// most 1.
	Coverage float64 `json:"coverage"`
}

// Bucket holds the counts of one minute or of a group of minutes. In JSON it is an
// array of numbers: age in minutes, total, slow, partial, refused.
type Bucket struct {
	// AgeMinutes is the age in whole minutes on the daemon's own clock; in a group, that
	// of its newest minute. 0 is the current minute, which is not over.
	AgeMinutes int
	Counts
}

// SeriesError reports an invalid value in a series.
type SeriesError struct {
	// Field is the path of the value in the series.
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *SeriesError) Error() string {
	return fmt.Sprintf("series: field %q: %s", e.Field, e.Reason)
}

// MarshalJSON returns the bucket as a JSON array.
func (b Bucket) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "[%d,%d,%d,%d,%d]", b.AgeMinutes, b.Total, b.Slow, b.Partial, b.Refused), nil
}

// UnmarshalJSON reads a bucket from its JSON array.
func (b *Bucket) UnmarshalJSON(data []byte) error {
	var v []uint32
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("bucket: %w", err)
	}
	if len(v) != bucketFields {
		return fmt.Errorf("bucket: want %d numbers, got %d", bucketFields, len(v))
	}
	b.AgeMinutes = int(min(v[0], math.MaxInt32))
	b.Counts = Counts{Total: v[1], Slow: v[2], Partial: v[3], Refused: v[4]}
	return nil
}

// UnmarshalJSON reads a series and validates it. An invalid value is reported as a
// *SeriesError.
func (s *Series) UnmarshalJSON(data []byte) error {
	// The type without methods keeps json.Unmarshal from calling this method again.
	type plain Series
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("series: %w", err)
	}
	*s = Series(p)
	return s.Check()
}

// Check returns the first invalid value as a *SeriesError, or nil.
func (s *Series) Check() error {
	if s.Recorded.Duration < 0 {
		return seriesErrorf("recorded", "want 0 or more, got %s", s.Recorded)
	}
	if n := len(s.Services); n > maxServices {
		return seriesErrorf("services", "want at most %d, got %d", maxServices, n)
	}
	previous := ""
	for i := range s.Services {
		svc := &s.Services[i]
		if svc.Name <= previous || len(svc.Name) > maxNameBytes {
			return seriesErrorf(fmt.Sprintf("services[%d].name", i), "want a name of 1 to %d bytes in ascending order, got %q after %q", maxNameBytes, svc.Name, previous)
		}
		previous = svc.Name
		if err := svc.check(s.Recorded.Duration); err != nil {
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
	previous := -1
	for i, b := range s.Buckets {
		field := fmt.Sprintf("%s.buckets[%d]", s.Name, i)
		if b.AgeMinutes <= previous || b.AgeMinutes >= RetentionMinutes {
			return seriesErrorf(field, "want an age above %d and below %d, got %d", previous, RetentionMinutes, b.AgeMinutes)
		}
		if time.Duration(b.AgeMinutes)*time.Minute > recorded {
			return seriesErrorf(field, "age of %d minutes is above the recorded time of %s", b.AgeMinutes, recorded)
		}
		previous = b.AgeMinutes
		// A slow answer may also be partial; a refused query is neither.
		if uint64(max(b.Slow, b.Partial))+uint64(b.Refused) > uint64(b.Total) {
			return seriesErrorf(field, "bad queries exceed the total of %d queries", b.Total)
		}
	}
	return nil
}

func (o *Objectives) check(service string) error {
	if o.Latency.Duration <= 0 {
		return seriesErrorf(service+".latency", "want above 0, got %s", o.Latency)
	}
	if !(o.Quantile > 0 && o.Quantile < 1) {
		return seriesErrorf(service+".quantile", "want above 0 and below 1, got %v", o.Quantile)
	}
	if !(o.Coverage > 0 && o.Coverage <= 1) {
		return seriesErrorf(service+".coverage", "want above 0 and at most 1, got %v", o.Coverage)
	}
	return nil
}

func seriesErrorf(field, format string, args ...any) error {
	return &SeriesError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
