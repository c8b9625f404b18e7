package gatherer

import (
	"errors"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/merger"
)

// maxHops bounds how often one sub-request is sent on to another owner.
const maxHops = 2

// settleAll takes results in, then sends what they call for.
func (r *round) settleAll(results []exchanger.Result) {
	now := time.Now()
	for i := range results {
		r.settle(&results[i], now)
	}
	if r.replan == nil {
		r.flush()
	}
}

// settle takes one result in. Results of no open sub-request of this round are
// dropped.
func (r *round) settle(res *exchanger.Result, now time.Time) {
	at := res.ID - r.base
	if at >= uint64(len(r.attempts)) || !r.attempts[at].open {
		r.layout.service.metrics.strays.Inc()
		return
	}
	a := &r.attempts[at]
	s := &r.shards[a.shard]
	r.closeAttempt(a)
	r.learn(a, res, now)
	if s.decided {
		return
	}
	switch res.Status {
	case exchanger.OK:
		r.merge(a, res, now)
	case exchanger.NotOwner:
		r.redirect(a, res)
	default:
		s.gone = s.gone || res.Status == exchanger.VersionUnavailable
		r.fail(a.shard, reasonOf(res.Status), res.Status)
	}
}

func (r *round) closeAttempt(a *attempt) {
	a.open = false
	s := &r.shards[a.shard]
	s.open--
	b := &r.batches[a.batch]
	b.open--
	if !s.decided {
		b.wanted--
	}
	// What is left of the batch is of no use.
	if b.wanted == 0 {
		b.cancel()
	}
}

// learn keeps what a result tells about the upstream and its owner.
func (r *round) learn(a *attempt, res *exchanger.Result, now time.Time) {
	u := r.layout.upstreams[a.upstream]
	u.End()
	u.Hold(res.Oldest, res.Newest, now)
	switch res.Status {
	case exchanger.OK:
		a.peer.Succeed()
		u.Report(res.Load, now)
	case exchanger.Shed:
		a.peer.Succeed()
		u.Report(max(res.Load, shedLoad), now)
	case exchanger.Unreachable:
		a.peer.Fail(now)
		u.Fail(true, now)
	case exchanger.Failed:
		u.Fail(false, now)
	}
}

// shedLoad is the load, in percent, that a shed sub-request stands for.
const shedLoad = 200

// merge merges the hits of a shard. An invalid result counts as a failure.
func (r *round) merge(a *attempt, res *exchanger.Result, now time.Time) {
	took := now.Sub(r.start) - a.sentAt
	err := r.merger.Add(int(a.shard), r.plan.Shards[a.shard].ID, res)
	if err == nil {
		r.layout.upstreams[a.upstream].Succeed(took, now)
		r.tally.Add(took)
		r.decide(a.shard, "")
		return
	}
	r.layout.service.metrics.strays.Inc()
	r.layout.upstreams[a.upstream].Fail(false, now)
	reason := answerer.ReasonInvalid
	var reject *merger.RejectError
	if errors.As(err, &reject) {
		reason = reject.Reason
	}
	r.fail(a.shard, reason, exchanger.Failed)
}

// redirect sends a sub-request on to the owner that the answering daemon names,
// or else to the one of the current view.
func (r *round) redirect(a *attempt, res *exchanger.Result) {
	s := &r.shards[a.shard]
	owner := r.redirectTo(a, res)
	if owner == nil || s.hops >= maxHops || len(r.attempts)+len(r.extras) >= r.maxAttempts() {
		r.fail(a.shard, answerer.ReasonUnreachable, exchanger.NotOwner)
		return
	}
	s.hops++
	r.extras = append(r.extras, request{shard: a.shard, upstream: a.upstream, owner: owner})
}

func (r *round) redirectTo(a *attempt, res *exchanger.Result) *declarer.Instance {
	u := &r.layout.Upstreams[a.upstream]
	v := r.g.views.View()
	asked := r.layout.Owners[u.Owner].ID
	if in, ok := v.Instance(res.Owner); ok && in.ID != asked {
		return in
	}
	if in, ok := v.Owner(r.query.Service, u.Name); ok && in.ID != asked {
		return in
	}
	return nil
}

// fail asks another replica for a shard, or gives the shard up when there is
// none, no budget, and nothing open. To follow a version that has moved needs no
// budget and no leave of the contract.
func (r *round) fail(i int32, reason answerer.Reason, status exchanger.Status) {
	s := &r.shards[i]
	isMoved := status == exchanger.VersionUnavailable && r.g.cfg.Retry
	if (isMoved || r.canRetry) && r.ask(i, false, isMoved) {
		return
	}
	if s.open > 0 || r.isQueued(i) {
		return
	}
	r.decide(i, reason)
	if s.gone && r.g.cfg.Retry {
		r.considerReplan()
	}
}

// isQueued reports whether an extra of a shard waits to be sent.
func (r *round) isQueued(i int32) bool {
	for k := range r.extras {
		if r.extras[k].shard == i {
			return true
		}
	}
	return false
}

// considerReplan plans the query on another snapshot when that covers more than
// this one still can, and when there is time for it.
func (r *round) considerReplan() {
	if r.replan != nil || len(r.tried) >= maxRounds || r.ctx.Err() != nil {
		return
	}
	left := time.Until(r.deadline)
	if spent := time.Since(r.start); left < spent {
		return
	}
	p := r.g.plan(r.layout, r.tried)
	reachable := r.merger.Count() + r.pending
	if p.Version == 0 || p.Covered*len(r.shards) <= reachable*len(p.Shards) {
		r.g.plans.Put(p)
		return
	}
	r.replan = p
}

func reasonOf(s exchanger.Status) answerer.Reason {
	switch s {
	case exchanger.Shed:
		return answerer.ReasonShed
	case exchanger.UpstreamOut:
		return answerer.ReasonOut
	case exchanger.VersionUnavailable:
		return answerer.ReasonVersion
	case exchanger.Unreachable:
		return answerer.ReasonUnreachable
	case exchanger.DeadlineExceeded:
		return answerer.ReasonDeadline
	default:
		return answerer.ReasonInvalid
	}
}
