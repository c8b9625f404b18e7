package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"cornelwood.example/internal/caller/ticketer"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/peer/linker"
)

// callForward names the call that sends a run to its issuer.
const callForward = "Forward"

// forwarded is the answer to a forwarded run: one of its fields is set.
type forwarded struct {
	Result  *answerer.RunResult    `json:"result,omitempty"`
	Refusal *answerer.RefusalError `json:"refusal,omitempty"`
}

// forwarder sends runs to their issuers.
type forwarder struct {
	link *linker.Linker
}

// Forward sends a run to the instance that issued its ticket. Without an answer
// the outcome is unknown: the ticket may have been run before, through another
// instance.
func (f forwarder) Forward(ctx context.Context, to *declarer.Instance, r answerer.Run) (answerer.RunResult, error) {
	var out forwarded
	if err := f.link.Call(ctx, to.Peer, callForward, r, &out); err != nil {
		return answerer.RunResult{
			Ticket: r.Ticket, Service: r.Service, Outcome: answerer.Unknown,
			Reason: fmt.Sprintf("instance %q, which issued the ticket, does not answer: %v", to.ID, err),
		}, nil
	}
	if out.Refusal != nil {
		return answerer.RunResult{}, out.Refusal
	}
	if out.Result == nil {
		return answerer.RunResult{}, fmt.Errorf("instance %q answered a run with neither result nor refusal", to.ID)
	}
	return *out.Result, nil
}

// forwardHandler serves runs that other instances forward to this one.
func forwardHandler(t *ticketer.Ticketer) func(context.Context, netip.AddrPort, []byte) (any, error) {
	return func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var r answerer.Run
		if err := linker.Decode(body, &r); err != nil {
			return nil, err
		}
		if err := r.Check(); err != nil {
			return refusedOr(err)
		}
		res, err := t.RunLocal(ctx, r)
		if err != nil {
			return refusedOr(err)
		}
		return forwarded{Result: &res}, nil
	}
}

func refusedOr(err error) (any, error) {
	var ref *answerer.RefusalError
	if errors.As(err, &ref) {
		return forwarded{Refusal: ref}, nil
	}
	return nil, err
}
