package linker

import (
	"fmt"
	"net/netip"

	"cornelwood.example/internal/contract/exchanger"
)

// Upper bounds on the encoded size of a task or result beyond its texts.
const (
	taskBytes   = 112
	resultBytes = 112
	hitBytes    = 40
)

// frame is one message of an Exchange stream, in either direction.
type frame struct {
	// From is the sender's address; it stands in the first frame only.
	From netip.AddrPort `json:"f,omitzero"`
	// Beat asks for an Echo at once.
	Beat bool `json:"b,omitempty"`
	// Echo answers a Beat.
	Echo    bool               `json:"e,omitempty"`
	Tasks   []exchanger.Task   `json:"t,omitempty"`
	Cancels []uint64           `json:"c,omitempty"`
	Results []exchanger.Result `json:"r,omitempty"`
}

// Check returns the first fault of a frame, or nil. Tasks and results are
// checked one by one by their receivers.
func (f *frame) Check() error {
	if len(f.Tasks) > 0 && len(f.Results) > 0 {
		return fmt.Errorf("frame holds %d tasks and %d results, want one kind", len(f.Tasks), len(f.Results))
	}
	return nil
}

func (f *frame) empty() bool {
	return !f.Beat && !f.Echo && len(f.Tasks) == 0 && len(f.Cancels) == 0 && len(f.Results) == 0
}

// taskSize bounds the encoded size of a task.
func taskSize(t *exchanger.Task) int {
	return taskBytes + len(t.Request) + len(t.Service) + len(t.Upstream) + len(t.Terms) + len(t.Action)
}

// resultSize bounds the encoded size of a result.
func resultSize(r *exchanger.Result) int {
	n := resultBytes + len(r.Owner) + len(r.Reason) + len(r.Reply)
	for i := range r.Hits {
		n += hitBytes + len(r.Hits[i].ID) + len(r.Hits[i].Text)
	}
	return n
}
