package exchanger

import (
	"fmt"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// maxRolloutSamples bounds the samples of one report: routes times searchers of a service.
	maxRolloutSamples = 4096
	// MaxLatencyBuckets bounds the latency buckets of a sample.
	MaxLatencyBuckets = 64
)

// RolloutQuery asks a daemon for its counts of the roll-outs that are running.
type RolloutQuery struct {
	// From is the ID of the asking daemon.
	From string `json:"from"`
	// IsCurrent is true when the asking daemon's state is current, so that it can decide.
	IsCurrent bool `json:"current,omitempty"`
}

// RolloutReports is the answer to a RolloutQuery.
type RolloutReports struct {
	Reports []RolloutReport `json:"reports,omitempty"`
}

// Check validates the reports. It returns the first error, or nil.
func (r *RolloutReports) Check() error {
	for i := range r.Reports {
		if err := r.Reports[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// RolloutReport holds what one daemon counted of a service since it learned of the order to roll out a version.
type RolloutReport struct {
	// Rollout and Target identify the order.
	Rollout string `json:"rollout"`
	Target  string `json:"target"`
	// Started is that of the order's status, 0 before the daemon knows one.
	Started int64 `json:"started,omitempty"`
	// Age is how long the daemon has known the order.
	Age time.Duration `json:"age"`
	// Moved is true when the daemon sends new requests to the version only.
	Moved bool `json:"moved,omitempty"`
	// Vetoed is true when the daemon has been told that the version is bad.
	Vetoed bool `json:"vetoed,omitempty"`
	// InFlight is the number of exchanges in flight with searchers of other versions.
	InFlight int             `json:"flight,omitempty"`
	Samples  []RolloutSample `json:"samples,omitempty"`
}

// RolloutSample counts exchanges of one route with one searcher of the version, or with all searchers of other versions.
type RolloutSample struct {
	Route string `json:"route"`
	// Searcher is empty for the searchers of other versions.
	Searcher string `json:"searcher,omitempty"`
	// Answers, Failures and Refusals count exchanges with a usable answer, without one although the request may have run,
	// and with a refusal to run it.
	Answers  int `json:"answers,omitempty"`
	Failures int `json:"failures,omitempty"`
	Refusals int `json:"refusals,omitempty"`
	// Latencies counts answers by latency, in buckets that package promoter defines.
	Latencies []int `json:"latencies,omitempty"`
}

func (r *RolloutReport) check() error {
	if r.Rollout == "" || r.Age < 0 || r.InFlight < 0 {
		return &declarer.FieldError{Field: "report", Reason: fmt.Sprintf("want a name, and an age and exchanges in flight of 0 or more, got %q, %s, %d", r.Rollout, r.Age, r.InFlight)}
	}
	if len(r.Samples) > maxRolloutSamples {
		return &declarer.FieldError{Field: "samples", Reason: fmt.Sprintf("want at most %d, got %d", maxRolloutSamples, len(r.Samples))}
	}
	for i := range r.Samples {
		s := &r.Samples[i]
		if min(s.Answers, s.Failures, s.Refusals) < 0 || len(s.Latencies) > MaxLatencyBuckets {
			return &declarer.FieldError{Field: fmt.Sprintf("samples[%d]", i), Reason: "want counts of 0 or more and a bounded number of latencies"}
		}
		for _, n := range s.Latencies {
			if n < 0 {
				return &declarer.FieldError{Field: fmt.Sprintf("samples[%d].latencies", i), Reason: "want counts of 0 or more"}
			}
		}
	}
	return nil
}

// RolloutNotice tells a daemon of a decision beside the store.
type RolloutNotice struct {
	From    string           `json:"from"`
	Rollout declarer.Rollout `json:"rollout"`
	// Revision is that of the written status; 0 means that the version is bad, which may not have been written yet.
	Revision uint64 `json:"revision,omitempty"`
}

// Check validates the notice. It returns the first error, or nil.
func (n *RolloutNotice) Check() error {
	return n.Rollout.Check()
}
