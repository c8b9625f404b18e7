package linker

import (
	"fmt"
	"net/netip"

	"cornelwood.example/internal/contract/exchanger"
)

// Upper bounds on the encoded size of a task, result or hit without its texts.
const (
	taskOverheadBytes   = 112
	resultOverheadBytes = 112
	hitOverheadBytes    = 40
)

// frame is one message of an Exchange stream, in either direction.
type frame struct {
	// From is the address of the sender. Only the first frame has it.
	From netip.AddrPort `json:"f,omitzero"`
	// Heartbeat asks the peer for a HeartbeatReply at once.
	Heartbeat bool `json:"b,omitempty"`
	// HeartbeatReply answers a Heartbeat.
	HeartbeatReply bool               `json:"e,omitempty"`
	Tasks          []exchanger.Task   `json:"t,omitempty"`
	Cancels        []uint64           `json:"c,omitempty"`
	Results        []exchanger.Result `json:"r,omitempty"`
}

// Check validates a frame. Its tasks and results are validated one by one by the receivers.
func (f *frame) Check() error {
	if len(f.Tasks) > 0 && len(f.Results) > 0 {
		return fmt.Errorf("frame holds %d tasks and %d results, want one kind", len(f.Tasks), len(f.Results))
	}
	return nil
}

func (f *frame) isEmpty() bool {
	return !f.Heartbeat && !f.HeartbeatReply && len(f.Tasks) == 0 && len(f.Cancels) == 0 && len(f.Results) == 0
}

// taskSize returns an upper bound on the encoded size of a task, in bytes.
func taskSize(t *exchanger.Task) int {
	return taskOverheadBytes + len(t.Request) + len(t.Service) + len(t.Upstream) + len(t.Terms) + len(t.Action)
}

// resultSize returns an upper bound on the encoded size of a result, in bytes.
func resultSize(r *exchanger.Result) int {
	n := resultOverheadBytes + len(r.Owner) + len(r.Reason) + len(r.Reply)
	for i := range r.Hits {
		n += hitOverheadBytes + len(r.Hits[i].ID) + len(r.Hits[i].Text)
	}
	return n
}
