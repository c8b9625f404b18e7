package exchanger

import (
	"fmt"
	"math"
	"time"
)

// Observation holds what one daemon measured of a searcher over a short time.
type Observation struct {
	Searcher string `json:"searcher"`
	// Answers is the number of answers, and Slowness their mean latency as a multiple
	// of the moving average of the route.
	Answers  int     `json:"answers,omitempty"`
	Slowness float64 `json:"slowness,omitempty"`
	// Failures is the number of exchanges without a usable answer, and DialFailures the
	// number of those for which no connection could be opened.
	Failures     int `json:"failures,omitempty"`
	DialFailures int `json:"dials,omitempty"`
	// Busy is the time for which requests to the searcher were in flight, summed over the requests.
	Busy time.Duration `json:"busy,omitempty"`
}

// Check validates the observation. It returns the first error, or nil.
func (o *Observation) Check() error {
	if o.Searcher == "" || o.Answers < 0 || o.Failures < 0 || o.DialFailures < 0 || o.DialFailures > o.Failures || o.Busy < 0 {
		return fmt.Errorf("observation of %q: want a searcher, counts and times of 0 or more, and no more dial failures than failures", o.Searcher)
	}
	if math.IsNaN(o.Slowness) || math.IsInf(o.Slowness, 0) || o.Slowness < 0 {
		return fmt.Errorf("observation of %q: want a finite slowness of 0 or more, got %g", o.Searcher, o.Slowness)
	}
	return nil
}

// Add merges another observation of the same searcher into o.
func (o *Observation) Add(other *Observation) {
	if n := o.Answers + other.Answers; n > 0 {
		o.Slowness = (o.Slowness*float64(o.Answers) + other.Slowness*float64(other.Answers)) / float64(n)
		o.Answers = n
	}
	o.Failures += other.Failures
	o.DialFailures += other.DialFailures
	o.Busy += other.Busy
}
