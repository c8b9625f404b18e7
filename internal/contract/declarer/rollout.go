package declarer

import "time"

// RolloutState is the state of a roll-out that the daemons have written.
type RolloutState string

// States of roll-outs. A roll-out whose state has not been written yet has none.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// MaxRolloutLimit bounds the time limit of an order.
const MaxRolloutLimit = 7 * 24 * time.Hour

// Rollout is an operator's order to move a service to a version of its searchers, with what the daemons have written of it.
type Rollout struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Limit is the time from the order until which it must be completed or rolled back.
	Limit time.Duration `json:"limit"`
	State RolloutState  `json:"state,omitempty"`
	// Moving is true from the decision that the version is good: all requests go to it.
	Moving bool `json:"moving,omitempty"`
	// Started is when the deciding daemon learned of the order, in milliseconds of Unix time; 0 means not known.
	Started int64 `json:"started,omitempty"`
	// Reason is why the state was written.
	Reason string `json:"reason,omitempty"`
}

// IsFinal reports whether the roll-out has been completed or rolled back.
func (r *Rollout) IsFinal() bool {
	return r.State == RolloutCompleted || r.State == RolloutRolledBack
}

// Check validates the roll-out. It returns every invalid field as joined FieldErrors, or nil.
func (r *Rollout) Check() error {
	var f validationErrors
	if r.Service == "" {
		f.addf("service", "want a name")
	}
	if r.Target == "" {
		f.addf("target_version", "want a version")
	}
	if r.Limit <= 0 || r.Limit > MaxRolloutLimit {
		f.addf("duration_s", "want above 0 and at most %g, got %g", MaxRolloutLimit.Seconds(), r.Limit.Seconds())
	}
	return f.join()
}
