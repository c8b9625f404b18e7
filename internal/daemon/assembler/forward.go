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

// forwardCall is the name of the call that sends a run to the instance that issued its ticket.
const forwardCall = "Forward"

// forwardReply is the reply to a forwarded run: one of its fields is set.
type forwardReply struct {
	Result  *answerer.RunResult    `json:"result,omitempty"`
	Refusal *answerer.RefusalError `json:"refusal,omitempty"`
}

// runForwarder sends runs to the instances that issued their tickets.
type runForwarder struct {
	linker *linker.Linker
}

// Forward sends a run to the instance that issued its ticket. Without a reply the outcome is unknown: the ticket may
// already have been run through another instance.
func (f runForwarder) Forward(ctx context.Context, to *declarer.Instance, r answerer.Run) (answerer.RunResult, error) {
	var reply forwardReply
	if err := f.linker.Call(ctx, to.Peer, forwardCall, r, &reply); err != nil {
		return answerer.RunResult{
			Ticket: r.Ticket, Service: r.Service, Outcome: answerer.Unknown,
			Reason: fmt.Sprintf("instance %q, which issued the ticket, does not answer: %v", to.ID, err),
		}, nil
	}
	if reply.Refusal != nil {
		return answerer.RunResult{}, reply.Refusal
	}
	if reply.Result == nil {
		return answerer.RunResult{}, fmt.Errorf("instance %q answered a run with neither result nor refusal", to.ID)
	}
	return *reply.Result, nil
}

// forwardHandler returns the handler of runs that other instances forward to this one.
func forwardHandler(t *ticketer.Ticketer) func(context.Context, netip.AddrPort, []byte) (any, error) {
	return func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var r answerer.Run
		if err := linker.Decode(body, &r); err != nil {
			return nil, err
		}
		if err := r.Check(); err != nil {
			return toForwardReply(err)
		}
		res, err := t.RunLocal(ctx, r)
		if err != nil {
			return toForwardReply(err)
		}
		return forwardReply{Result: &res}, nil
	}
}

// toForwardReply returns a refusal as a reply, and any other error as it is.
func toForwardReply(err error) (any, error) {
	var refusal *answerer.RefusalError
	if errors.As(err, &refusal) {
		return forwardReply{Refusal: refusal}, nil
	}
	return nil, err
}
