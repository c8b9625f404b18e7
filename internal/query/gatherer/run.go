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
	// maxRunSends bounds how often a run is sent, redirections included.
	maxRunSends = 6
	// runMarginPart is the part of a run's time that is kept for its result to
	// return.
	runMarginPart = 10
)

// Run runs an action at one upstream of a service, at most once. It is sent again
// only when the result before proves that it was not run. The outcome is
// answerer.Unknown when neither a reply nor such a proof came in time.
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
	l, err := g.find(name, ticket)
	var refusal *answerer.RefusalError
	if errors.As(err, &refusal) {
		return notRun(refusal.Reason)
	}
	if l.Service.Class != declarer.Action {
		return notRun(fmt.Sprintf("service %q is of class %q", name, l.Service.Class))
	}
	ctx, cancel := context.WithTimeout(ctx, l.Service.Contract.Deadline.Duration)
	defer cancel()
	d := &dispatch{g: g, ctx: ctx, layout: l, ticket: ticket, action: action}
	return d.run()
}

// dispatch is one run on its way to an upstream.
type dispatch struct {
	g      *Gatherer
	ctx    context.Context
	layout *layout
	ticket string
	action json.RawMessage
	sends  int
}

// run tries the replicas one after the other, as long as each proves that it did
// not run the action.
func (d *dispatch) run() answerer.RunResult {
	readings := d.g.read(d.layout, nil)
	ups, shards := d.layout.Order(readings, planner.Options{Choose: d.g.cfg.ReplicaSelection, Seed: d.g.cfg.Seed()})
	reason := "no upstream is in use"
	for _, up := range ups {
		if d.ctx.Err() != nil || d.sends >= maxRunSends {
			break
		}
		owner := d.layout.ownerNow(d.g.views.View(), up)
		if owner == nil {
			continue
		}
		res, ok := d.ask(owner, up, shards[up])
		switch {
		case !ok:
			return unknown("no result came before the deadline")
		case res.Status == exchanger.OK:
			return answerer.RunResult{Outcome: answerer.Done, Reply: res.Reply}
		case !isProvenNotRun(&res):
			return unknown(describe(&res))
		}
		reason = describe(&res)
	}
	return notRun(reason)
}

// ask sends the run to the owner of an upstream, and on to other owners while the
// results name one. It returns false when no result came in time.
func (d *dispatch) ask(owner *declarer.Instance, up int32, shard int) (exchanger.Result, bool) {
	for {
		res, ok := d.send(owner, up, shard)
		if !ok || res.Status != exchanger.NotOwner || res.Sent {
			return res, ok
		}
		next, known := d.g.views.View().Instance(res.Owner)
		if !known || next.ID == owner.ID || d.sends >= maxRunSends {
			return res, true
		}
		owner = next
	}
}

// send sends the run once and waits for its result.
func (d *dispatch) send(owner *declarer.Instance, up int32, shard int) (exchanger.Result, bool) {
	d.sends++
	deadline, _ := d.ctx.Deadline()
	left := time.Until(deadline)
	t := exchanger.Task{
		ID:        d.g.ids.Add(1),
		Request:   d.ticket,
		Service:   d.layout.Service.Name,
		Upstream:  d.layout.Upstreams[up].Name,
		Shard:     shard,
		Remaining: left - left/runMarginPart,
		Priority:  d.layout.Service.Contract.Priority,
		Action:    d.action,
	}
	if t.Remaining <= 0 {
		return exchanger.Result{Status: exchanger.Shed, Reason: "the deadline passed before it was sent"}, true
	}
	box := newMailbox()
	u := d.layout.upstreams[up]
	u.Begin()
	defer u.End()
	sent := time.Now()
	d.g.send(d.ctx, owner, []exchanger.Task{t}, box.put)
	for {
		select {
		case <-box.ready:
		case <-d.ctx.Done():
			return exchanger.Result{}, false
		}
		for _, res := range box.take() {
			if res.ID == t.ID {
				d.learn(up, &res, time.Since(sent))
				return res, true
			}
		}
	}
}

func (d *dispatch) learn(up int32, res *exchanger.Result, took time.Duration) {
	u, now := d.layout.upstreams[up], time.Now()
	switch res.Status {
	case exchanger.OK:
		u.Succeed(took, now)
		u.Report(res.Load, now)
	case exchanger.Unreachable:
		u.Fail(true, now)
	case exchanger.Failed:
		u.Fail(false, now)
	case exchanger.Shed:
		u.Report(max(res.Load, shedLoad), now)
	}
}

// isProvenNotRun reports whether a result promises that the action did not run
// and will not.
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

// describe returns the reason of a result that is no success.
func describe(res *exchanger.Result) string {
	if res.Reason != "" {
		return res.Reason
	}
	return "the sub-request ended as " + string(reasonOf(res.Status))
}

func notRun(reason string) answerer.RunResult {
	return answerer.RunResult{Outcome: answerer.NotRun, Reason: reason}
}

func unknown(reason string) answerer.RunResult {
	return answerer.RunResult{Outcome: answerer.Unknown, Reason: reason}
}
