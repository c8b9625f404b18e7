package gatherer

import (
	"context"
	"slices"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/query/planner"
	"cornelwood.example/internal/query/tracker"
)

const (
	// attemptsPerShard bounds the sub-requests of a round, on average for each
	// shard.
	attemptsPerShard = 8
	// minTick is the shortest time between two looks for slow sub-requests.
	minTick = time.Millisecond
)

// round is one attempt to answer a query from one snapshot. One goroutine runs
// it; results reach it through its mailbox.
type round struct {
	g        *Gatherer
	ctx      context.Context
	layout   *layout
	query    *answerer.Query
	plan     *planner.Plan
	merger   *merger.Merger
	box      *mailbox
	put      func(exchanger.Result)
	start    time.Time
	deadline time.Time
	// base is the ID of the first task; the task at index i of attempts has the ID
	// base+i.
	base     uint64
	attempts []attempt
	batches  []batch
	shards   []shardState
	// pending is the number of shards that are neither merged nor given up.
	pending int
	extras  []request
	tally   hedger.Histogram
	// delay is the time after which a sub-request is slow; 0 means never.
	delay time.Duration
	// canRetry lets failed sub-requests be asked of other replicas.
	canRetry bool
	// tried holds the versions that this query was planned on.
	tried []uint64
	// replan is the plan on another snapshot to go on with, or nil.
	replan *planner.Plan
}

// shardState is the progress of one shard.
type shardState struct {
	decided bool
	// gone is true when a replica did not hold the snapshot any more.
	gone   bool
	reason answerer.Reason
	// next is the index of the next replica to ask.
	next int16
	// open is the number of sub-requests that are not over.
	open int16
	hops int16
	// last is the latest attempt, or -1.
	last   int32
	sentAt time.Duration
}

// missingReason returns why the shard is missing.
func (s *shardState) missingReason() answerer.Reason {
	if s.decided && s.reason != "" {
		return s.reason
	}
	return answerer.ReasonDeadline
}

// attempt is one sub-request of a round.
type attempt struct {
	shard    int32
	upstream int32
	batch    int32
	// previous is the shard's attempt before this one, or -1.
	previous int32
	peer     *tracker.Peer
	open     bool
	sentAt   time.Duration
}

// batch is the sub-requests that are cancelled together.
type batch struct {
	cancel context.CancelFunc
	// wanted is the number of open sub-requests whose shard is not decided.
	wanted int
	open   int
}

func newRound(ctx context.Context, g *Gatherer, l *layout, q *answerer.Query, p *planner.Plan) *round {
	n := len(p.Shards)
	r := g.rounds.Get().(*round)
	*r = round{
		g: g, ctx: ctx, layout: l, query: q, plan: p,
		merger:   merger.New(p.Version, n, q.Limit),
		box:      g.boxes.Get().(*mailbox),
		start:    time.Now(),
		attempts: r.attempts[:0],
		batches:  r.batches[:0],
		shards:   slices.Grow(r.shards[:0], n)[:n],
		extras:   r.extras[:0],
		pending:  n,
		canRetry: g.cfg.Retry && l.Service.Contract.Hedge,
	}
	clear(r.shards)
	r.put = r.box.put
	r.deadline, _ = ctx.Deadline()
	r.base = g.ids.Add(uint64(r.maxAttempts())) - uint64(r.maxAttempts())
	if g.cfg.Hedge && l.Service.Contract.Hedge {
		r.delay = l.service.hedger.Delay(r.start, r.deadline.Sub(r.start))
	}
	return r
}

// release keeps the memory of a round, which may be nil, and of its plan for use
// again.
func (g *Gatherer) release(r *round) {
	if r == nil {
		return
	}
	g.plans.Put(r.plan)
	clear(r.attempts)
	clear(r.batches)
	clear(r.extras)
	*r = round{
		attempts: r.attempts[:0],
		batches:  r.batches[:0],
		shards:   r.shards[:0],
		extras:   r.extras[:0],
	}
	g.rounds.Put(r)
}

func (r *round) maxAttempts() int {
	return attemptsPerShard * len(r.plan.Shards)
}

// run sends the sub-requests and returns when every shard is decided, when the
// time is over, or when another snapshot is to be tried.
func (r *round) run() {
	defer r.end()
	r.sendFirst()
	r.refresh()
	var tick <-chan time.Time
	if r.delay > 0 {
		timer := time.NewTicker(max(r.delay/2, minTick))
		defer timer.Stop()
		tick = timer.C
	}
	for r.pending > 0 && r.replan == nil {
		select {
		case <-r.box.ready:
			r.settleAll(r.box.take())
		case <-tick:
			r.hedgeAll()
		case <-r.ctx.Done():
			return
		}
	}
}

// end cancels what is open and counts it as slow.
func (r *round) end() {
	r.box.empty()
	r.g.boxes.Put(r.box)
	now := time.Now()
	for i := range r.batches {
		r.batches[i].cancel()
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.open {
			r.giveUp(a, now)
		}
	}
	r.layout.service.hedger.Observe(&r.tally)
}

// giveUp counts an attempt that is cancelled.
func (r *round) giveUp(a *attempt, now time.Time) {
	a.open = false
	took := now.Sub(r.start) - a.sentAt
	u := r.layout.upstreams[a.upstream]
	u.End()
	u.ObserveLatency(took, now)
	r.tally.Add(took)
}

// decide settles a shard; reason is empty when it was merged. Batches that now
// only carry sub-requests of decided shards are cancelled.
func (r *round) decide(i int32, reason answerer.Reason) {
	s := &r.shards[i]
	s.decided = true
	s.reason = reason
	r.pending--
	for at := s.last; at >= 0; at = r.attempts[at].previous {
		a := &r.attempts[at]
		if !a.open {
			continue
		}
		b := &r.batches[a.batch]
		b.wanted--
		if b.wanted == 0 {
			b.cancel()
		}
	}
}
