// Package exchanger defines the messages that daemons exchange about sub-requests and
// searchers: a Task for one upstream, its Result, and the Observation of a searcher.
package exchanger

import (
	"encoding/json"
	"fmt"
	"time"

	"cornelwood.example/internal/contract/answerer"
)

// Task is one sub-request to one upstream. The owner of the upstream sends it there.
type Task struct {
	// ID is unique among the tasks of one sender; the Result has the same ID.
	ID uint64 `json:"i"`
	// Request is the caller's request id, which the upstream echoes.
	Request  string `json:"r"`
	Service  string `json:"s"`
	Upstream string `json:"u"`
	Shard    int    `json:"h"`
	// Version is the snapshot version that the answer must come from.
	Version uint64 `json:"v"`
	Terms   string `json:"t,omitempty"`
	Limit   int    `json:"l,omitempty"`
	// Remaining is the time left until the deadline, measured when sent.
	Remaining time.Duration `json:"d"`
	// Priority orders load shedding: 0 is shed first.
	Priority int `json:"p,omitempty"`
	// Hedge is true for a hedge: a duplicate sent before the first attempt has failed.
	Hedge bool `json:"g,omitempty"`
	// Action is the body of a run. A task with an action runs at most once, and its
	// Request is the ticket.
	Action json.RawMessage `json:"a,omitempty"`
}

// AtMostOnce reports whether the task runs at most once.
func (t *Task) AtMostOnce() bool {
	return len(t.Action) > 0
}

// Check validates a decoded task. It returns the first error, or nil.
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

// Statuses of a Result. A task was certainly not run only if Sent is false and the
// status is Shed, NotOwner, UpstreamOut or Unreachable.
const (
	// OK is the status of a result with hits, or with the Reply of a run.
	OK Status = iota
	// Shed means that the owner or the upstream refused the task early to shed load.
	Shed
	// NotOwner means that the task reached a daemon that does not own the upstream;
	// Result.Owner may name the owner.
	NotOwner
	// UpstreamOut means that operators have taken the upstream or its zone out of service,
	// or that the upstream is draining.
	UpstreamOut
	// VersionUnavailable means that the upstream does not hold the version.
	VersionUnavailable
	// Unreachable means that the task could not be sent.
	Unreachable
	// Failed means that the task was sent and got no valid answer.
	Failed
	// DeadlineExceeded means that the deadline passed or the sender cancelled the task.
	DeadlineExceeded
)

// Result is the outcome of a Task.
type Result struct {
	ID     uint64 `json:"i"`
	Status Status `json:"s"`
	// Sent is true when bytes of the task may have reached the upstream.
	Sent bool `json:"n,omitempty"`
	// Owner is the instance that owns the upstream by the view of the answering daemon.
	Owner string `json:"o,omitempty"`
	// Reason is one line of text for logs and for callers of runs.
	Reason string `json:"r,omitempty"`
	// Version is the snapshot version that the hits come from.
	Version uint64 `json:"v,omitempty"`
	// Documents is the number of documents that the upstream reported for the shard.
	Documents uint64         `json:"d,omitempty"`
	Hits      []answerer.Hit `json:"h,omitempty"`
	// Oldest and Newest are the range of versions that the upstream reported to hold;
	// 0 when it reported none.
	Oldest uint64          `json:"e,omitempty"`
	Newest uint64          `json:"w,omitempty"`
	Reply  json.RawMessage `json:"y,omitempty"`
	// Load is the owner's queue for the upstream in percent of its limit.
	Load int `json:"q,omitempty"`
}

// Check validates a decoded result. It returns the first error, or nil.
func (r *Result) Check() error {
	if r.Status < OK || r.Status > DeadlineExceeded {
		return fmt.Errorf("result %d has status %d", r.ID, r.Status)
	}
	return nil
}
