package exchanger

import (
	"fmt"
	"math"
)

// Observation is what one daemon has seen of a searcher in a short time.
type Observation struct {
	Searcher string `json:"searcher"`
	// Answers is the number of answers, and Slowness their mean latency relative to
	// what the route usually takes.
	Answers  int     `json:"answers,omitempty"`
	Slowness float64 `json:"slowness,omitempty"`
	// Failures is the number of exchanges without an answer to use, Dials of those
	// the number for which no connection could be opened.
	Failures     int `json:"failures,omitempty"`
	DialFailures int `json:"dials,omitempty"`
}

// Check returns the fault of an observation, or nil.
func (o *Observation) Check() error {
	if o.Searcher == "" || o.Answers < 0 || o.Failures < 0 || o.DialFailures < 0 || o.DialFailures > o.Failures {
		return fmt.Errorf("observation of %q: want a searcher and no negative counts", o.Searcher)
	}
	if math.IsNaN(o.Slowness) || math.IsInf(o.Slowness, 0) || o.Slowness < 0 {
		return fmt.Errorf("observation of %q: want a finite slowness, got %g", o.Searcher, o.Slowness)
	}
	return nil
}

// Add adds what another observation of the same searcher holds.
func (o *Observation) Add(other *Observation) {
	if n := o.Answers + other.Answers; n > 0 {
		o.Slowness = (o.Slowness*float64(o.Answers) + other.Slowness*float64(other.Answers)) / float64(n)
		o.Answers = n
	}
	o.Failures += other.Failures
	o.DialFailures += other.DialFailures
}
