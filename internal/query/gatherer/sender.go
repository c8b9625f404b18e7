package gatherer

import (
	"context"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

// request is a sub-request to be sent: a first one, a hedge, a retry, or one that is
// sent on to another owner.
type request struct {
	shard    int32
	upstream int32
	owner    *declarer.Instance
	hedge    bool
}

// sendFirst sends one sub-request for each shard, in batches by owner.
func (r *round) sendFirst() {
	n := 0
	for i := range r.shards {
		r.shards[i].last = -1
		if reason := r.plan.Shards[i].Reason; reason != "" {
			r.decide(int32(i), reason)
			continue
		}
		n++
	}
	arena := make([]exchanger.Task, 0, n)
	now := time.Now()
	for _, b := range r.plan.Batches {
		from := len(arena)
		ctx := r.openBatch()
		owner := r.layout.Owners[b.Owner]
		for _, i := range b.Shards {
			up := r.plan.Shards[i].Replicas[0]
			r.shards[i].next = 1
			arena = append(arena, r.open(request{shard: i, upstream: up, owner: owner}, now))
		}
		r.g.send(ctx, owner, arena[from:len(arena):len(arena)], r.put)
	}
	r.layout.service.hedger.Deposit(n)
	r.layout.service.metrics.attempts.Add(float64(n))
}

// flush sends the extras, in batches by owner.
func (r *round) flush() {
	if len(r.extras) == 0 {
		return
	}
	slices.SortFunc(r.extras, func(a, b request) int { return strings.Compare(a.owner.ID, b.owner.ID) })
	tasks := make([]exchanger.Task, 0, len(r.extras))
	now := time.Now()
	for from := 0; from < len(r.extras); {
		owner := r.extras[from].owner
		ctx := r.openBatch()
		to := from
		for to < len(r.extras) && r.extras[to].owner.ID == owner.ID {
			tasks = append(tasks, r.open(r.extras[to], now))
			to++
		}
		r.g.send(ctx, owner, tasks[from:to:to], r.put)
		from = to
	}
	r.extras = r.extras[:0]
}

func (r *round) openBatch() context.Context {
	ctx, cancel := context.WithCancel(r.ctx)
	r.batches = append(r.batches, batch{cancel: cancel})
	return ctx
}

// open records a sub-request of the last batch and returns its task.
func (r *round) open(x request, now time.Time) exchanger.Task {
	s := &r.shards[x.shard]
	id := r.base + uint64(len(r.attempts))
	r.attempts = append(r.attempts, attempt{
		shard:    x.shard,
		upstream: x.upstream,
		peer:     r.g.peer(r.layout, x.upstream, x.owner),
		batch:    int32(len(r.batches) - 1),
		previous: s.last,
		open:     true,
		sentAt:   now.Sub(r.start),
	})
	s.last = int32(len(r.attempts) - 1)
	s.sentAt = now.Sub(r.start)
	s.open++
	b := &r.batches[len(r.batches)-1]
	b.wanted++
	b.open++
	r.layout.upstreams[x.upstream].Begin()
	return exchanger.Task{
		ID:        id,
		Request:   r.query.Request,
		Service:   r.query.Service,
		Upstream:  r.layout.Upstreams[x.upstream].Name,
		Shard:     r.plan.Shards[x.shard].ID,
		Version:   r.plan.Version,
		Terms:     r.query.Terms,
		Limit:     r.query.Limit,
		Remaining: r.deadline.Sub(now),
		Priority:  r.layout.Service.Contract.Priority,
		Hedge:     x.hedge,
	}
}

// send gives tasks to the owner of their upstreams: this daemon or a peer.
func (g *Gatherer) send(ctx context.Context, owner *declarer.Instance, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	if owner.ID != g.views.View().Self.ID {
		g.links.Exchange(ctx, owner.Peer, tasks, deliver)
		return
	}
	for i := range tasks {
		g.local.Do(ctx, tasks[i], deliver)
	}
}

// hedgeAll asks another replica for each shard whose latest sub-request is slow,
// as far as the budget goes.
func (r *round) hedgeAll() {
	now := time.Since(r.start)
	n := len(r.shards)
	// A random start shares a budget that does not reach for all.
	first := r.g.startOf(n)
	for k := range n {
		i := int32((first + k) % n)
		s := &r.shards[i]
		if s.decided || s.open == 0 || now-s.sentAt < r.delay {
			continue
		}
		if !r.ask(i, true, false) && s.hasNext(r, i) {
			break
		}
	}
	r.flush()
}

// ask queues a sub-request to the next replica of a shard, and returns false when
// there is none or the budget is empty.
func (r *round) ask(i int32, hedge, free bool) bool {
	s := &r.shards[i]
	up, owner := r.nextReplica(i)
	if owner == nil || len(r.attempts)+len(r.extras) >= r.maxAttempts() {
		return false
	}
	if !free && !r.layout.service.hedger.Take() {
		return false
	}
	s.next++
	s.hops = 0
	r.extras = append(r.extras, request{shard: i, upstream: up, owner: owner, hedge: hedge})
	if hedge {
		r.layout.service.metrics.hedges.Inc()
	} else {
		r.layout.service.metrics.retries.Inc()
	}
	return true
}

func (s *shardState) hasNext(r *round, i int32) bool {
	return int(s.next) < len(r.plan.Shards[i].Replicas)
}

// nextReplica returns the next replica of a shard that the current view still
// uses, and its owner; the owner is nil when there is none.
func (r *round) nextReplica(i int32) (int32, *declarer.Instance) {
	s := &r.shards[i]
	v := r.g.views.View()
	for s.hasNext(r, i) {
		up := r.plan.Shards[i].Replicas[s.next]
		if owner := r.layout.ownerNow(v, up); owner != nil {
			return up, owner
		}
		s.next++
	}
	return -1, nil
}
