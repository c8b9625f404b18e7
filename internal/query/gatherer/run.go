package gatherer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/planner"
)

const (
	// maxRunSends bounds how often a run is sent, redirects included.
	maxRunSends = 6
	// runMarginDivisor reserves a tenth of a run's remaining time for its result to return.
	runMarginDivisor = 10
)

// Run runs an action at one upstream of a service, at most once. It is sent again only when the
// previous result proves that the action was not run. The outcome is answerer.Unknown when neither a
// reply nor such a proof arrives in time.
func (g *Gatherer) Run(ctx context.Context, name, ticket string, action json.RawMessage) answerer.RunResult {
	res := g.run(ctx, name, ticket, action)
	res.Ticket, res.Service = ticket, name
	if _, ok := g.services.Load(name); ok {
		g.metrics.runs.WithLabelValues(name, string(res.Outcome)).Inc()
	}
	return res
}

func (g *Gatherer) run(ctx context.Context, name, ticket string, action json.RawMessage) answerer.RunResult {
	if len(action) == 0 {
		return notRun("the action is empty")
	}
	l, err := g.findLayout(name, ticket)
	var refusal *answerer.RefusalError
	if errors.As(err, &refusal) {
		return notRun(refusal.Reason)
	}
	if l.Service.Class != declarer.Action {
		return notRun(fmt.Sprintf("service %q is of class %q and runs no actions", name, l.Service.Class))
	}
	ctx, cancel := context.WithTimeout(ctx, l.Service.Contract.Deadline.Duration)
	defer cancel()
	r := &actionRun{g: g, ctx: ctx, layout: l, ticket: ticket, action: action}
	return r.run()
}

// actionRun is the state of one run.
type actionRun struct {
	g      *Gatherer
	ctx    context.Context
	layout *layout
	ticket string
	action json.RawMessage
	sends  int
}

// run tries the replicas one after the other, as long as each result proves that the action was not
// run.
func (r *actionRun) run() answerer.RunResult {
	readings := r.g.readUpstreams(r.layout, nil)
	ups, shards := r.layout.Order(readings, planner.Options{SelectReplicas: r.g.cfg.ReplicaSelection, Seed: r.g.cfg.Seed()})
	reason := "the service has no usable upstream"
	for _, up := range ups {
		if r.ctx.Err() != nil || r.sends >= maxRunSends {
			break
		}
		owner := r.layout.currentOwner(r.g.views.View(), up)
		if owner == nil {
			continue
		}
		res, ok := r.sendToOwner(owner, up, shards[up])
		switch {
		case !ok:
			return unknownOutcome("no result arrived before the deadline")
		case res.Status == exchanger.OK:
			return answerer.RunResult{Outcome: answerer.Done, Reply: res.Reply}
		case !isProvenNotRun(&res):
			return unknownOutcome(failureReason(&res))
		}
		reason = failureReason(&res)
	}
	return notRun(reason)
}

// sendToOwner sends the run to the owner of an upstream and follows redirects to other owners. It
// returns false when no result arrived in time.
func (r *actionRun) sendToOwner(owner *declarer.Instance, up int32, shard int) (exchanger.Result, bool) {
	for {
		res, ok := r.send(owner, up, shard)
		if !ok || res.Status != exchanger.NotOwner || res.Sent {
			return res, ok
		}
		next, known := r.g.views.View().Instance(res.Owner)
		if !known || next.ID == owner.ID || r.sends >= maxRunSends {
			return res, true
		}
		owner = next
	}
}

// send sends the run once and waits for its result. It returns false when none arrived in time.
func (r *actionRun) send(owner *declarer.Instance, up int32, shard int) (exchanger.Result, bool) {
	r.sends++
	deadline, _ := r.ctx.Deadline()
	remaining := time.Until(deadline)
	t := exchanger.Task{
		ID:        r.g.lastID.Add(1),
		Request:   r.ticket,
		Service:   r.layout.Service.Name,
		Upstream:  r.layout.Upstreams[up].Name,
		Shard:     shard,
		Remaining: remaining - remaining/runMarginDivisor,
		Priority:  r.layout.Service.Contract.Priority,
		Action:    r.action,
	}
	if t.Remaining <= 0 {
		return exchanger.Result{Status: exchanger.Shed, Reason: "the deadline passed before the run was sent"}, true
	}
	box := newMailbox()
	u := r.layout.upstreams[up]
	u.Begin()
	defer u.End()
	sent := time.Now()
	r.g.send(r.ctx, owner, []exchanger.Task{t}, box.put)
	for {
		select {
		case <-box.ready:
		case <-r.ctx.Done():
			return exchanger.Result{}, false
		}
		for _, res := range box.take() {
			if res.ID == t.ID {
				r.recordOutcome(up, &res, time.Since(sent))
				return res, true
			}
		}
	}
}

// recordOutcome updates the state of the upstream with a result.
func (r *actionRun) recordOutcome(up int32, res *exchanger.Result, took time.Duration) {
	u, now := r.layout.upstreams[up], time.Now()
	switch res.Status {
	case exchanger.OK:
		u.Succeed(took, now)
		u.SetLoad(res.Load, now)
	case exchanger.Unreachable:
		u.Fail(true, now)
	case exchanger.Failed:
		u.Fail(false, now)
	case exchanger.Shed:
		u.SetLoad(max(res.Load, shedLoad), now)
	}
}

// isProvenNotRun reports whether a result proves that the action was not run and will not be run.
func isProvenNotRun(res *exchanger.Result) bool {
	if res.Sent {
		return false
	}
	switch res.Status {
	case exchanger.Shed, exchanger.NotOwner, exchanger.UpstreamOut, exchanger.Unreachable:
		return true
	default:
		return false
	}
}

// failureReason returns the reason of a result that is not a success.
func failureReason(res *exchanger.Result) string {
	if res.Reason != "" {
		return res.Reason
	}
	return "the sub-request failed with reason " + string(reasonOf(res.Status))
}

func notRun(reason string) answerer.RunResult {
	return answerer.RunResult{Outcome: answerer.NotRun, Reason: reason}
}

func unknownOutcome(reason string) answerer.RunResult {
	return answerer.RunResult{Outcome: answerer.Unknown, Reason: reason}
}
