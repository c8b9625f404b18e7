package forwarder

import (
	"context"
	"math"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/query/merger"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/route/locator"
)

// Delegator asks other daemons to gather a query.
type Delegator interface {
	Delegate(ctx context.Context, candidates []declarer.Member, q *delegator.Query) delegator.Result
	// Reachable reports whether at least one of the daemons is known to answer, or not known not to.
	Reachable(candidates []declarer.Member) bool
}

// stopTimeout bounds how long the daemons that gather may take to end once the answer is enough.
const stopTimeout = 300 * time.Millisecond

// delegation is a client's query whose shards are gathered in groups, each by a daemon of a zone with their searchers.
// This daemon sends to the searchers itself when it is one of those, when no other one can, and for shards that others
// could not reach.
type delegation struct {
	fwd                *Forwarder
	req                *Request
	body               []byte
	route              *declarer.Route
	view               *locator.View
	cutoffAt, deadline time.Time
	// budget is the retry budget of all shards together: asking a second daemon takes from all of them at once.
	budget *hedger.Budget
	// messages has the messages of all groups, and results those of the groups that have ended.
	messages chan *exchanger.Gathered
	results  chan groupResult
	// done is closed when the answer is enough.
	done chan struct{}

	records *merger.Records
	stamps  []string
	// open holds the shards that may still be answered, with the number of the group that gathers them. retriable holds
	// the shards that others could not reach, with their attempts.
	open      map[int]int
	retriable []exchanger.Missing
	// groups is the number of groups started, running that of those that have not ended.
	groups, running int
	mayHaveRun      bool
	// isOverloaded is true when a group was refused because the searchers have no room; roomAfter is the time after which
	// they will have.
	isOverloaded bool
	// held holds the groups that start once the first one has been accepted; admitted is signalled then, and isAdmitted set.
	held       []locator.GatherGroup
	admitted   chan struct{}
	isAdmitted bool
	roomAfter  time.Duration
	sends      int
	daemons    []string
}

// groupResult is how a group ended.
type groupResult struct {
	group int
	delegator.Result
}

func (f *Forwarder) newDelegation(req *Request, body []byte, rt *declarer.Route, v *locator.View, deadline time.Time) *delegation {
	return &delegation{
		fwd: f, req: req, body: body, route: rt, view: v, deadline: deadline, cutoffAt: f.clientCutoff(req, rt, deadline),
		budget:   f.stats.askerBudget(rt, time.Now()),
		messages: make(chan *exchanger.Gathered, len(rt.Shards)),
		results:  make(chan groupResult, len(rt.Shards)),
		done:     make(chan struct{}),
		records:  merger.NewRecords(rt.TopK),
		open:     make(map[int]int, len(rt.Shards)),
	}
}

// run returns the final answer.
func (d *delegation) run(ctx context.Context) Answer {
	if d.fwd.available(d.view, d.route.Shards) < d.route.RequiredShards() {
		return refuseNotRun(d.fwd.cfg.RetryAfter, reasonUnavailable)
	}
	// The groups end on their own after the answer, so that their connections can be used again.
	groupCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), d.deadline)
	groups := d.view.GatherGroups(d.route, d.fwd.self.Zone, d.fwd.delegator.Reachable)
	if len(groups) > 1 && d.fwd.isOverloaded(time.Now()) {
		d.hold(groups[1:])
		groups = groups[:1]
	}
	for i := range groups {
		d.start(groupCtx, &groups[i])
	}
	a := d.collect(ctx, groupCtx)
	a.SubRequests, a.Gatherers = d.sends, d.daemons
	close(d.done)
	if ctx.Err() != nil {
		cancel()
		return a
	}
	time.AfterFunc(stopTimeout, cancel)
	return a
}

// heldGroup is the number of the groups that are held, in delegation.open.
const heldGroup = -1

// hold starts groups only once the first one has been accepted.
//
// Load pattern: searchers without room for all queries, whose shards are divided among zones. A query that one zone refuses while
// another one runs its part fails, after it has taken room from others.
func (d *delegation) hold(groups []locator.GatherGroup) {
	d.held, d.admitted = groups, make(chan struct{}, 1)
	for i := range groups {
		for _, shard := range groups[i].Shards {
			d.open[shard] = heldGroup
		}
	}
}

// admit lets the groups that are held start. Any goroutine may call it.
func (d *delegation) admit() {
	select {
	case d.admitted <- struct{}{}:
	default:
	}
}

// startHeld starts the groups that are held.
func (d *delegation) startHeld(ctx context.Context) {
	held := d.held
	d.held = nil
	for i := range held {
		d.start(ctx, &held[i])
	}
}

// dropHeld gives up the groups that are held.
func (d *delegation) dropHeld() {
	for i := range d.held {
		for _, shard := range d.held[i].Shards {
			d.giveUp(exchanger.Missing{Shard: shard})
		}
	}
	d.held = nil
}

// start gathers a group here when this daemon is one of those that gather, or nobody else can, and elsewhere otherwise.
func (d *delegation) start(ctx context.Context, g *locator.GatherGroup) {
	self := d.fwd.self.ID
	for i := range g.Members {
		if g.Members[i].ID == self {
			d.gatherHere(ctx, g.Shards, d.route.Attempts, d.fwd.budgets(gatherer), false)
			return
		}
	}
	if len(g.Members) == 0 {
		d.gatherHere(ctx, g.Shards, d.route.Attempts, d.shardBudget, false)
		return
	}
	members, shards, group := g.Members, g.Shards, d.openGroup(g.Shards)
	latency := d.fwd.stats.gathers(d.route)
	started := time.Now()
	in := d.message(shards)
	in.Admitted = d.isAdmitted
	query := &delegator.Query{
		Gather:     in,
		Definition: d.route,
		OnAccepted: d.admit,
		CutoffAt:   d.cutoffAt,
		Deadline:   d.deadline,
		Average:    time.Duration(latency.average.Load()),
		OnMessage:  d.post,
		Done:       d.done,
		MayRepeat:  d.budget.Take,
	}
	go func() {
		res := d.fwd.delegator.Delegate(ctx, members, query)
		if res.Final {
			latency.record(time.Since(started))
		}
		d.results <- groupResult{group, res}
	}()
}

// openGroup records that a further group gathers shards, and returns its number.
func (d *delegation) openGroup(shards []int) int {
	d.groups++
	d.running++
	for _, i := range shards {
		d.open[i] = d.groups
	}
	return d.groups
}

// post passes a message to the query's goroutine while it waits for messages.
func (d *delegation) post(g *exchanger.Gathered) {
	select {
	case d.messages <- g:
	case <-d.done:
	}
}

// message returns the message for a group, without its times and attempts.
func (d *delegation) message(shards []int) exchanger.Gather {
	var priority *int
	if d.req.Account != nil {
		priority = d.req.Account.Priority
	}
	return exchanger.Gather{
		Account: d.req.accountName(), Priority: priority,
		Version: d.view.Version(), Route: d.route.Name, Shards: shards, Needed: d.neededOf(len(shards)),
		Request: d.req.ID, Method: d.req.Method, Host: d.req.Host, Target: d.req.Target, Header: d.req.Header,
		Body: d.body, HasBody: d.req.HasBody,
	}
}

// neededOf returns how many of n shards an answer needs when the missing ones are spread evenly.
func (d *delegation) neededOf(n int) int {
	return int(math.Ceil(float64(d.route.RequiredShards()) * float64(n) / float64(len(d.route.Shards))))
}

// shardBudget returns the budget of every shard.
func (d *delegation) shardBudget(string) *hedger.Budget {
	return d.budget
}

// gatherHere sends the query to shards itself. repeated is true when another daemon has sent to them, or tried to. A query
// that has not been sent to any searcher yet needs admission.
func (d *delegation) gatherHere(ctx context.Context, shards []int, attempts int, budgets budgetFunc, repeated bool) {
	rt := *d.route
	rt.Attempts = attempts
	group := d.openGroup(shards)
	needsAdmission := !repeated && !d.mayHaveRun && !d.isAdmitted
	go func() {
		loads := shardLoads{needed: d.neededOf(len(shards))}
		if needsAdmission {
			refused, ok := d.fwd.enterGather(ctx, d.req, &rt, d.fwd.views.View(), shardsOf(&rt, shards), &loads, time.Until(d.cutoffAt))
			if !ok {
				d.results <- groupResult{group, delegator.Result{Err: &delegator.RefusedError{Refusal: refused}}}
				return
			}
			d.admit()
		}
		j := d.fwd.newGatherJob(d.req, d.body, &rt, d.fwd.views.View(), budgets, shards, loads.needed, d.cutoffAt.Add(-handoverTime), d.deadline)
		if needsAdmission {
			j.skipped = loads.skipped()
		}
		if repeated {
			for i := range j.calls {
				j.calls[i].refusals = 1
			}
		}
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-d.done:
				j.Stop()
			case <-stop:
			}
		}()
		err := j.Run(ctx, func(g *exchanger.Gathered) error {
			for i := range g.Missing {
				// This daemon has tried what it can.
				g.Missing[i].Attempts = 0
			}
			d.post(g)
			return nil
		})
		d.results <- groupResult{group, delegator.Result{Final: err == nil, Err: err}}
	}()
}

// collect waits until the answer is enough, or cannot become it.
func (d *delegation) collect(ctx, groupCtx context.Context) Answer {
	timer := time.NewTimer(d.wait())
	defer timer.Stop()
	for {
		if a, ok := d.answer(groupCtx, time.Now()); ok {
			return a
		}
		select {
		case g := <-d.messages:
			d.merge(g)
		case <-d.admitted:
			d.isAdmitted = true
			d.startHeld(groupCtx)
		case r := <-d.results:
			d.drain()
			d.endGroup(groupCtx, &r)
		case <-timer.C:
			timer.Reset(d.wait())
		case <-d.fwd.ended:
			d.drain()
			if len(d.stamps) >= d.route.RequiredShards() {
				return mergedAnswer(d.records, d.stamps, len(d.route.Shards))
			}
			return d.fwd.endedAnswer(d.mayHaveRun || d.running > 0)
		case <-ctx.Done():
			return refuse(statusClientClosed, "client disconnected")
		}
	}
}

// drain merges the messages that wait: a group's messages are posted before its result.
func (d *delegation) drain() {
	for {
		select {
		case g := <-d.messages:
			d.merge(g)
		default:
			return
		}
	}
}

// wait returns the time until the cutoff, or until the deadline after it.
func (d *delegation) wait() time.Duration {
	now := time.Now()
	if left := d.cutoffAt.Sub(now); left > 0 {
		return left
	}
	return max(minTimerDelay, d.deadline.Sub(now))
}

// merge adds a message's parts. Those of shards that are not open are not from this query's groups.
func (d *delegation) merge(g *exchanger.Gathered) {
	d.mayHaveRun = d.mayHaveRun || g.MayHaveRun
	d.sends += g.Sends
	for _, p := range g.Parts {
		if d.open[p.Shard] == 0 {
			// The records of the other parts cannot be told apart from this one's.
			d.fwd.log.Warn("gathered parts ignored: a shard that was not asked for", "request", d.req.ID, "shard", p.Shard)
			return
		}
	}
	for _, p := range g.Parts {
		delete(d.open, p.Shard)
		d.stamps = append(d.stamps, p.Stamp)
	}
	d.records.Add(g.Records)
	for _, m := range g.Missing {
		d.giveUp(m)
	}
}

// giveUp takes a shard out of those that may be answered.
func (d *delegation) giveUp(m exchanger.Missing) {
	if d.open[m.Shard] == 0 {
		return
	}
	delete(d.open, m.Shard)
	if m.Attempts > 0 {
		d.retriable = append(d.retriable, m)
	}
}

// endGroup handles the end of a group. If no daemon gathered it, this one sends to its shards with the attempts that are
// left.
func (d *delegation) endGroup(ctx context.Context, r *groupResult) {
	d.running--
	if r.Daemon != "" {
		d.daemons = append(d.daemons, r.Daemon)
	}
	d.mayHaveRun = d.mayHaveRun || r.MayHaveRun
	var rest []int
	for i, group := range d.open {
		if group == r.group {
			rest = append(rest, i)
		}
	}
	refused, isOverloaded := d.fwd.asOverloaded(r.Err)
	if isOverloaded {
		d.isOverloaded, d.roomAfter = true, max(d.roomAfter, refused.RetryAfter)
		d.fwd.recordOverload(time.Now())
		d.dropHeld()
	}
	d.startHeld(ctx)
	if !r.Final && refused.Code != exchanger.Overloaded {
		d.fwd.recordUndelegated(d.req, &r.Result)
	}
	if len(rest) == 0 {
		return
	}
	// When another daemon may have sent the query, a refusal cannot say "not run": this daemon tries to answer it.
	if !r.Final && (!isOverloaded || r.MayHaveRun) && r.Attempts > 0 && (!r.MayHaveRun || d.budget.Take()) {
		d.gatherHere(ctx, rest, r.Attempts, d.shardBudget, false)
		return
	}
	for _, i := range rest {
		d.giveUp(exchanger.Missing{Shard: i})
	}
}

// answer returns the final answer, and false while there is none.
func (d *delegation) answer(ctx context.Context, now time.Time) (Answer, bool) {
	required, total := d.route.RequiredShards(), len(d.route.Shards)
	answered := len(d.stamps)
	if answered+len(d.open) < required && len(d.retriable) > 0 && now.Before(d.deadline) {
		d.retry(ctx)
	}
	switch {
	case answered >= required && (len(d.open) == 0 || !now.Before(d.cutoffAt)):
		return mergedAnswer(d.records, d.stamps, total), true
	case answered+len(d.open) < required && d.isOverloaded && !d.mayHaveRun && d.running == 0:
		d.fwd.stats.withdrawFirst(d.budget)
		return refuseNotRun(d.roomAfter, reasonNoRoom), true
	case answered+len(d.open) < required:
		return uncoveredAnswer(d.fwd.cfg.RetryAfter, d.mayHaveRun || d.running > 0), true
	case !now.Before(d.deadline):
		return refuse(http.StatusGatewayTimeout, "too few shards answered in time"), true
	default:
		return Answer{}, false
	}
}

// retry sends to the shards that other daemons could not reach, because the answer depends on them.
//
// Load pattern: the zone of the daemon that gathers cannot reach another zone, or searchers that this daemon reaches.
func (d *delegation) retry(ctx context.Context) {
	attempts := d.route.Attempts
	shards := make([]int, len(d.retriable))
	for i, m := range d.retriable {
		shards[i] = m.Shard
		attempts = min(attempts, m.Attempts)
	}
	d.retriable = nil
	d.gatherHere(ctx, shards, attempts, d.shardBudget, true)
}
