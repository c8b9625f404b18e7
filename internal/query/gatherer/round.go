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
	// maxAttemptsPerShard bounds the sub-requests of a round, as an average over its shards.
	maxAttemptsPerShard = 8
	// minHedgeInterval is the shortest time between two checks for slow sub-requests.
	minHedgeInterval = time.Millisecond
)

// round is one attempt to answer a query from one snapshot. It is run by one goroutine; results arrive
// through its mailbox.
type round struct {
	g        *Gatherer
	ctx      context.Context
	layout   *layout
	query    *answerer.Query
	plan     *planner.Plan
	merger   *merger.Merger
	mailbox  *mailbox
	deliver  func(exchanger.Result)
	start    time.Time
	deadline time.Time
	// firstID is the ID of the first task; the task of attempts[i] has the ID firstID+i.
	firstID  uint64
	attempts []attempt
	batches  []batch
	shards   []shardState
	// pending is the number of shards that are not done.
	pending int
	// queued holds the sub-requests to send with the next sendQueued.
	queued    []subRequest
	latencies hedger.Histogram
	// hedgeDelay is the time after which a sub-request is hedged; 0 means never.
	hedgeDelay time.Duration
	// canRetry allows failed sub-requests to be sent to other replicas.
	canRetry bool
	// triedVersions holds the snapshot versions that this query was planned on.
	triedVersions []uint64
	// replan is the plan for another snapshot that replaces this round, or nil.
	replan *planner.Plan
}

// shardState is the progress of one shard.
type shardState struct {
	// done is true when the shard is merged or abandoned.
	done bool
	// versionUnavailable is true when a replica no longer held the snapshot.
	versionUnavailable bool
	reason             answerer.Reason
	// next is the index of the next replica to ask.
	next int16
	// inFlight is the number of sub-requests in flight.
	inFlight int16
	// redirects is the number of redirects since the last replica was queued.
	redirects int16
	// lastAttempt is the index of the latest attempt, or -1.
	lastAttempt int32
	// sentAt is when the latest attempt was sent, since the round's start.
	sentAt time.Duration
}

// missingReason returns the reason to report for a shard that was not merged.
func (s *shardState) missingReason() answerer.Reason {
	if s.done && s.reason != "" {
		return s.reason
	}
	return answerer.ReasonDeadline
}

// attempt is one sub-request of a round.
type attempt struct {
	shard    int32
	upstream int32
	batch    int32
	// previous is the index of the shard's attempt before this one, or -1.
	previous int32
	peer     *tracker.Peer
	inFlight bool
	// sentAt is when the attempt was sent, since the round's start.
	sentAt time.Duration
}

// batch is a set of sub-requests that are cancelled together.
type batch struct {
	cancel context.CancelFunc
	// needed is the number of sub-requests in flight whose shard is not done.
	needed   int
	inFlight int
}

func newRound(ctx context.Context, g *Gatherer, l *layout, q *answerer.Query, p *planner.Plan) *round {
	n := len(p.Shards)
	r := g.rounds.Get().(*round)
	*r = round{
		g: g, ctx: ctx, layout: l, query: q, plan: p,
		merger:   merger.New(p.Version, n, q.Limit),
		mailbox:  g.mailboxes.Get().(*mailbox),
		start:    time.Now(),
		attempts: r.attempts[:0],
		batches:  r.batches[:0],
		shards:   slices.Grow(r.shards[:0], n)[:n],
		queued:   r.queued[:0],
		pending:  n,
		canRetry: g.cfg.Retry && l.Service.Contract.Hedge,
	}
	clear(r.shards)
	r.deliver = r.mailbox.put
	r.deadline, _ = ctx.Deadline()
	r.firstID = g.lastID.Add(uint64(r.maxAttempts())) - uint64(r.maxAttempts())
	if g.cfg.Hedge && l.Service.Contract.Hedge {
		r.hedgeDelay = l.service.hedger.Delay(r.start, r.deadline.Sub(r.start))
	}
	return r
}

// release returns a round and its plan to their pools. The round may be nil.
func (g *Gatherer) release(r *round) {
	if r == nil {
		return
	}
	g.plans.Put(r.plan)
	clear(r.attempts)
	clear(r.batches)
	clear(r.queued)
	*r = round{
		attempts: r.attempts[:0],
		batches:  r.batches[:0],
		shards:   r.shards[:0],
		queued:   r.queued[:0],
	}
	g.rounds.Put(r)
}

func (r *round) maxAttempts() int {
	return maxAttemptsPerShard * len(r.plan.Shards)
}

// run sends the sub-requests and returns when every shard is done, when the deadline passes, or when a
// replan is set.
func (r *round) run() {
	defer r.finish()
	r.sendFirst()
	r.refreshStale()
	var tick <-chan time.Time
	if r.hedgeDelay > 0 {
		timer := time.NewTicker(max(r.hedgeDelay/2, minHedgeInterval))
		defer timer.Stop()
		tick = timer.C
	}
	for r.pending > 0 && r.replan == nil {
		select {
		case <-r.mailbox.ready:
			r.handleResults(r.mailbox.take())
		case <-tick:
			r.hedgeSlow()
		case <-r.ctx.Done():
			return
		}
	}
}

// finish cancels the attempts in flight and records them as slow.
func (r *round) finish() {
	r.mailbox.reset()
	r.g.mailboxes.Put(r.mailbox)
	now := time.Now()
	for i := range r.batches {
		r.batches[i].cancel()
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight {
			r.abandon(a, now)
		}
	}
	r.layout.service.hedger.Observe(&r.latencies)
}

// abandon records a cancelled attempt with its time so far as its latency.
func (r *round) abandon(a *attempt, now time.Time) {
	a.inFlight = false
	took := now.Sub(r.start) - a.sentAt
	u := r.layout.upstreams[a.upstream]
	u.End()
	u.ObserveLatency(took, now)
	r.latencies.Add(took)
}

// finishShard marks a shard as done; reason is empty when it was merged. It cancels the batches that
// now hold only sub-requests of shards that are done.
func (r *round) finishShard(i int32, reason answerer.Reason) {
	s := &r.shards[i]
	s.done = true
	s.reason = reason
	r.pending--
	for at := s.lastAttempt; at >= 0; at = r.attempts[at].previous {
		a := &r.attempts[at]
		if !a.inFlight {
			continue
		}
		b := &r.batches[a.batch]
		b.needed--
		if b.needed == 0 {
			b.cancel()
		}
	}
}
