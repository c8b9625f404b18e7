// Package exchanger holds what daemons exchange about sub-requests: a Task for
// one upstream and its Result.
package exchanger

import (
	"encoding/json"
	"fmt"
	"time"

	"cornelwood.example/internal/contract/answerer"
)

// Task is one sub-request to one upstream. The owner of the upstream runs it.
type Task struct {
	// ID tells the tasks of one sender apart; its Result carries the same ID.
	ID uint64 `json:"i"`
	// Request is the caller's request id; the upstream repeats it.
	Request  string `json:"r"`
	Service  string `json:"s"`
	Upstream string `json:"u"`
	Shard    int    `json:"h"`
	// Version is the snapshot version the answer must be of.
	Version uint64 `json:"v"`
	Terms   string `json:"t,omitempty"`
	Limit   int    `json:"l,omitempty"`
	// Remaining is the time left until the deadline, measured when sent.
	Remaining time.Duration `json:"d"`
	// Priority orders load shedding: 0 is shed first.
	Priority int `json:"p,omitempty"`
	// Hedge marks a duplicate sent before the first attempt has failed.
	Hedge bool `json:"g,omitempty"`
	// Action is the body of a run; it marks a task that runs at most once, and
	// Request is then the ticket.
	Action json.RawMessage `json:"a,omitempty"`
}

// AtMostOnce reports whether the task runs at most once.
func (t *Task) AtMostOnce() bool {
	return len(t.Action) > 0
}

// Check returns the first fault of a decoded task, or nil.
func (t *Task) Check() error {
	switch {
	case t.Service == "" || t.Upstream == "":
		return fmt.Errorf("task %d names no service or upstream", t.ID)
	case t.Remaining <= 0:
		return fmt.Errorf("task %d has no time left: %s", t.ID, t.Remaining)
	case t.Limit < 0:
		return fmt.Errorf("task %d has limit %d", t.ID, t.Limit)
	default:
		return nil
	}
}

// Status is the outcome of a Task.
type Status int

// Statuses of a Result. Only those that NotRun names promise that the upstream
// did not run the task.
const (
	// OK results carry hits (or the Reply of a run).
	OK Status = iota
	// Shed tasks were refused early by the owner or by the upstream.
	Shed
	// NotOwner tasks reached a daemon that does not own the upstream; Owner may
	// name the one that does.
	NotOwner
	// UpstreamOut tasks were for an upstream or zone that operators have taken out.
	UpstreamOut
	// VersionUnavailable tasks were for a version that the upstream does not hold.
	VersionUnavailable
	// Unreachable tasks could not be sent.
	Unreachable
	// Failed tasks were sent and got no valid answer.
	Failed
	// DeadlineExceeded tasks ran out of time.
	DeadlineExceeded
)

// Result is the outcome of a Task.
type Result struct {
	ID     uint64 `json:"i"`
	Status Status `json:"s"`
	// Sent is true when bytes of the task may have reached the upstream.
	Sent bool `json:"n,omitempty"`
	// Owner is the instance that the answering daemon takes for the owner.
	Owner string `json:"o,omitempty"`
	// Reason is one line for logs and for callers of runs.
	Reason string `json:"r,omitempty"`
	// Version is the version that the hits are of.
	Version   uint64         `json:"v,omitempty"`
	Documents uint64         `json:"d,omitempty"`
	Hits      []answerer.Hit `json:"h,omitempty"`
	// Oldest and Newest are the versions that the upstream said it holds; 0 when
	// it did not say.
	Oldest uint64          `json:"e,omitempty"`
	Newest uint64          `json:"w,omitempty"`
	Reply  json.RawMessage `json:"y,omitempty"`
	// Load is the owner's queue for the upstream, over its limit, in percent.
	Load int `json:"q,omitempty"`
}

// Check returns the first fault of a decoded result, or nil.
func (r *Result) Check() error {
	if r.Status < OK || r.Status > DeadlineExceeded {
		return fmt.Errorf("result %d has status %d", r.ID, r.Status)
	}
	return nil
}
