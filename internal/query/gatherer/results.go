package gatherer

import (
	"errors"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/merger"
)

// maxRedirects bounds how often one sub-request is redirected to another owner.
const maxRedirects = 2

// handleResults processes results, then sends the sub-requests that they caused.
func (r *round) handleResults(results []exchanger.Result) {
	now := time.Now()
	for i := range results {
		r.handleResult(&results[i], now)
	}
	if r.replan == nil {
		r.sendQueued()
	}
}

// handleResult processes one result. Results without a sub-request in flight in this round are
// dropped.
func (r *round) handleResult(res *exchanger.Result, now time.Time) {
	at := res.ID - r.firstID
	if at >= uint64(len(r.attempts)) || !r.attempts[at].inFlight {
		r.layout.service.metrics.strays.Inc()
		return
	}
	a := &r.attempts[at]
	s := &r.shards[a.shard]
	r.closeAttempt(a)
	r.recordOutcome(a, res, now)
	if s.done {
		return
	}
	switch res.Status {
	case exchanger.OK:
		r.merge(a, res, now)
	case exchanger.NotOwner:
		r.redirect(a, res)
	default:
		s.versionUnavailable = s.versionUnavailable || res.Status == exchanger.VersionUnavailable
		r.handleFailure(a.shard, reasonOf(res.Status), res.Status)
	}
}

func (r *round) closeAttempt(a *attempt) {
	a.inFlight = false
	s := &r.shards[a.shard]
	s.inFlight--
	b := &r.batches[a.batch]
	b.inFlight--
	if !s.done {
		b.needed--
	}
	// Cancel what remains of the batch when none of it is needed.
	if b.needed == 0 {
		b.cancel()
	}
}

// recordOutcome updates the state of the upstream and of its owner with a result.
func (r *round) recordOutcome(a *attempt, res *exchanger.Result, now time.Time) {
	u := r.layout.upstreams[a.upstream]
	u.End()
	u.SetVersions(res.Oldest, res.Newest, now)
	switch res.Status {
	case exchanger.OK:
		a.peer.Succeed()
		u.SetLoad(res.Load, now)
	case exchanger.Shed:
		a.peer.Succeed()
		u.SetLoad(max(res.Load, shedLoad), now)
	case exchanger.Unreachable:
		a.peer.Fail(now)
		u.Fail(true, now)
	case exchanger.Failed:
		u.Fail(false, now)
	}
}

// shedLoad is the lowest load, in percent, recorded for an upstream that shed a sub-request.
const shedLoad = 200

// merge merges the hits of a shard. An invalid result is handled as a failure.
func (r *round) merge(a *attempt, res *exchanger.Result, now time.Time) {
	took := now.Sub(r.start) - a.sentAt
	err := r.merger.Add(int(a.shard), r.plan.Shards[a.shard].ID, res)
	if err == nil {
		r.layout.upstreams[a.upstream].Succeed(took, now)
		r.latencies.Add(took)
		r.finishShard(a.shard, "")
		return
	}
	r.layout.service.metrics.strays.Inc()
	r.layout.upstreams[a.upstream].Fail(false, now)
	reason := answerer.ReasonInvalid
	var reject *merger.RejectError
	if errors.As(err, &reject) {
		reason = reject.Reason
	}
	r.handleFailure(a.shard, reason, exchanger.Failed)
}

// redirect sends a sub-request to the owner that the answering daemon names, or else to the owner in
// the current view.
func (r *round) redirect(a *attempt, res *exchanger.Result) {
	s := &r.shards[a.shard]
	owner := r.redirectOwner(a, res)
	if owner == nil || s.redirects >= maxRedirects || len(r.attempts)+len(r.queued) >= r.maxAttempts() {
		r.handleFailure(a.shard, answerer.ReasonUnreachable, exchanger.NotOwner)
		return
	}
	s.redirects++
	r.queued = append(r.queued, subRequest{shard: a.shard, upstream: a.upstream, owner: owner})
}

// redirectOwner returns the owner to redirect a sub-request to, or nil when no owner but the planned
// one is known.
func (r *round) redirectOwner(a *attempt, res *exchanger.Result) *declarer.Instance {
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

// handleFailure asks another replica for a shard. It abandons the shard when no replica or budget is
// left and nothing is in flight. Asking another replica because the version is unavailable takes
// nothing from the budget, and does not need a contract that allows hedges.
func (r *round) handleFailure(i int32, reason answerer.Reason, status exchanger.Status) {
	s := &r.shards[i]
	isFreeRetry := status == exchanger.VersionUnavailable && r.g.cfg.Retry
	if (isFreeRetry || r.canRetry) && r.queueNextReplica(i, false, isFreeRetry) {
		return
	}
	if s.inFlight > 0 || r.isQueued(i) {
		return
	}
	r.finishShard(i, reason)
	if s.versionUnavailable && r.g.cfg.Retry {
		r.replanIfBetter()
	}
}

// isQueued reports whether a sub-request of a shard is queued.
func (r *round) isQueued(i int32) bool {
	for k := range r.queued {
		if r.queued[k].shard == i {
			return true
		}
	}
	return false
}

// replanIfBetter plans the query on another snapshot when that covers a larger share of its shards
// than this round still can, and at least as much time remains as this round has taken.
func (r *round) replanIfBetter() {
	if r.replan != nil || len(r.triedVersions) >= maxRounds || r.ctx.Err() != nil {
		return
	}
	remaining := time.Until(r.deadline)
	if elapsed := time.Since(r.start); remaining < elapsed {
		return
	}
	p := r.g.plan(r.layout, r.triedVersions)
	maxCovered := r.merger.Count() + r.pending
	if p.Version == 0 || p.Covered*len(r.shards) <= maxCovered*len(p.Shards) {
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
