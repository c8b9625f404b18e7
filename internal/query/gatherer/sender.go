package gatherer

import (
	"context"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// subRequest is a sub-request to be sent: a first one, a hedge, a retry, or one redirected to another
// owner.
type subRequest struct {
	shard    int32
	upstream int32
	owner    *declarer.Instance
	hedge    bool
}

// sendFirst sends one sub-request for each shard, in batches by owner. Shards without a replica to ask
// are finished with the plan's reason.
func (r *round) sendFirst() {
	n := 0
	for i := range r.shards {
		r.shards[i].lastAttempt = -1
		if reason := r.plan.Shards[i].Reason; reason != "" {
			r.finishShard(int32(i), reason)
			continue
		}
		n++
	}
	arena := make([]exchanger.Task, 0, n)
	now := time.Now()
	for _, b := range r.plan.Batches {
		from := len(arena)
		ctx := r.newBatch()
		owner := r.layout.Owners[b.Owner]
		for _, i := range b.Shards {
			up := r.plan.Shards[i].Replicas[0]
			r.shards[i].next = 1
			arena = append(arena, r.newAttempt(subRequest{shard: i, upstream: up, owner: owner}, now))
		}
		r.g.send(ctx, owner, arena[from:len(arena):len(arena)], r.deliver)
	}
	r.layout.service.hedger.Deposit(n)
	r.layout.service.metrics.attempts.Add(float64(n))
}

// sendQueued sends the queued sub-requests, in batches by owner.
func (r *round) sendQueued() {
	if len(r.queued) == 0 {
		return
	}
	slices.SortFunc(r.queued, func(a, b subRequest) int { return strings.Compare(a.owner.ID, b.owner.ID) })
	tasks := make([]exchanger.Task, 0, len(r.queued))
	now := time.Now()
	for from := 0; from < len(r.queued); {
		owner := r.queued[from].owner
		ctx := r.newBatch()
		to := from
		for to < len(r.queued) && r.queued[to].owner.ID == owner.ID {
			tasks = append(tasks, r.newAttempt(r.queued[to], now))
			to++
		}
		r.g.send(ctx, owner, tasks[from:to:to], r.deliver)
		from = to
	}
	r.queued = r.queued[:0]
}

func (r *round) newBatch() context.Context {
	ctx, cancel := context.WithCancel(r.ctx)
	r.batches = append(r.batches, batch{cancel: cancel})
	return ctx
}

// newAttempt records a sub-request in the latest batch and returns its task.
func (r *round) newAttempt(sub subRequest, now time.Time) exchanger.Task {
	s := &r.shards[sub.shard]
	id := r.firstID + uint64(len(r.attempts))
	r.attempts = append(r.attempts, attempt{
		shard:    sub.shard,
		upstream: sub.upstream,
		peer:     r.g.peerState(r.layout, sub.upstream, sub.owner),
		batch:    int32(len(r.batches) - 1),
		previous: s.lastAttempt,
		inFlight: true,
		sentAt:   now.Sub(r.start),
	})
	s.lastAttempt = int32(len(r.attempts) - 1)
	s.sentAt = now.Sub(r.start)
	s.inFlight++
	b := &r.batches[len(r.batches)-1]
	b.needed++
	b.inFlight++
	r.layout.upstreams[sub.upstream].Begin()
	return exchanger.Task{
		ID:        id,
		Request:   r.query.Request,
		Service:   r.query.Service,
		Upstream:  r.layout.Upstreams[sub.upstream].Name,
		Shard:     r.plan.Shards[sub.shard].ID,
		Version:   r.plan.Version,
		Terms:     r.query.Terms,
		Limit:     r.query.Limit,
		Remaining: r.deadline.Sub(now),
		Priority:  r.layout.Service.Contract.Priority,
		Hedge:     sub.hedge,
	}
}

// send sends tasks to the owner of their upstreams, which is this daemon or a peer.
func (g *Gatherer) send(ctx context.Context, owner *declarer.Instance, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	if owner.ID != g.views.View().Self.ID {
		g.remote.Exchange(ctx, owner.Peer, tasks, deliver)
		return
	}
	for i := range tasks {
		g.local.Do(ctx, tasks[i], deliver)
	}
}

// hedgeSlow asks another replica for each shard whose latest sub-request is slow, until the budget is
// empty.
func (r *round) hedgeSlow() {
	now := time.Since(r.start)
	n := len(r.shards)
	// A random start spreads a budget that is too small for all slow shards.
	first := r.g.randomIndex(n)
	for k := range n {
		i := int32((first + k) % n)
		s := &r.shards[i]
		if s.done || s.inFlight == 0 || now-s.sentAt < r.hedgeDelay {
			continue
		}
		if !r.queueNextReplica(i, true, false) && s.hasNextReplica(r, i) {
			break
		}
	}
	r.sendQueued()
}

// queueNextReplica queues a sub-request to the next replica of a shard. It returns false when there is
// no replica left, or when the attempts of the round or the retry budget are used up. With skipBudget
// it takes nothing from the retry budget.
func (r *round) queueNextReplica(i int32, hedge, skipBudget bool) bool {
	s := &r.shards[i]
	up, owner := r.nextReplica(i)
	if owner == nil || len(r.attempts)+len(r.queued) >= r.maxAttempts() {
		return false
	}
	if !skipBudget && !r.layout.service.hedger.Take() {
		return false
	}
	s.next++
	s.redirects = 0
	r.queued = append(r.queued, subRequest{shard: i, upstream: up, owner: owner, hedge: hedge})
	if hedge {
		r.layout.service.metrics.hedges.Inc()
	} else {
		r.layout.service.metrics.retries.Inc()
	}
	return true
}

func (s *shardState) hasNextReplica(r *round, i int32) bool {
	return int(s.next) < len(r.plan.Shards[i].Replicas)
}

// nextReplica returns the next replica of a shard that the current view still uses, and its owner. The
// owner is nil when there is none.
func (r *round) nextReplica(i int32) (int32, *declarer.Instance) {
	s := &r.shards[i]
	v := r.g.views.View()
	for s.hasNextReplica(r, i) {
		up := r.plan.Shards[i].Replicas[s.next]
		if owner := r.layout.currentOwner(v, up); owner != nil {
			return up, owner
		}
		s.next++
	}
	return -1, nil
}
