package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/route/promoter"
	"cornelwood.example/internal/upstream/connector"
)

// fanout sends one request to one or more services, with a call to each, and uses the first usable answer of each.
// Its methods run on the request's goroutine; attempt runs on a goroutine of its own.
type fanout struct {
	fwd      *Forwarder
	req      *Request
	body     []byte
	route    *declarer.Route
	latency  *routeLatency
	deadline time.Time
	calls    []serviceCall
	// results has room for the result of every attempt, so that attempts never block.
	results chan result
	// minAnswers is the number of calls that must be answered, missing the number of those that ended without an
	// answer.
	minAnswers, missing int
	// attempts is the largest number of searchers that may run a call, and permitted the number of them that may be
	// asked now: fewer while the daemon that gathers has no permit for the others.
	attempts  int
	permitted atomic.Int32
	// permit is signalled when permitted was raised.
	permit chan struct{}
	// hedgeDelay is the time after which an attempt in flight is hedged.
	hedgeDelay time.Duration
	// mayHaveRun is true once an attempt that may have run the request has ended.
	mayHaveRun bool
	cancels    []context.CancelFunc
}

// serviceCall is the part of a fanout that goes to one service. It makes one or more attempts, each a request to one
// searcher.
type serviceCall struct {
	service   string
	searchers []locator.Searcher
	budget    *hedger.Budget
	// tried holds the IDs of the searchers whose attempt is in flight or may have run the request, notRun those of the
	// searchers that are certain not to have run it.
	tried, notRun []string
	// attempts counts the attempts that are in flight or may have run the request.
	attempts int
	// refusals counts the attempts that a searcher refused without running the request, unsent those that did not
	// reach one.
	refusals, unsent int
	// charged counts the attempts that the budget was charged for.
	charged    atomic.Int32
	inFlight   int
	lastSentAt time.Time
	// done is true when the call needs no more attempts, failed when it has ended without an answer.
	done, failed bool
	// isReported is true when the other daemon has been told that the call failed.
	isReported bool
	// awaitsPermit is true when the call failed and has attempts left that are not permitted yet.
	awaitsPermit bool
}

// result is the result of one attempt.
type result struct {
	// call is the index of the call, searcher the ID of the searcher.
	call     int
	searcher string
	reply    *connector.Reply
	err      error
	class    resultClass
}

const (
	// maxRefusals is the number of not-run refusals up to which a call is retried.
	maxRefusals = 4
	// maxUnsent is the number of unsent attempts up to which a call is retried: one for each searcher of a service
	// and one more.
	maxUnsent = 4
)

// budgetFunc returns the retry budget for the requests to a service.
type budgetFunc func(service string) *hedger.Budget

// budgets counts a first request to each service that it is called with, and returns its budget in a role.
func (f *Forwarder) budgets(r role) budgetFunc {
	return func(service string) *hedger.Budget {
		return f.stats.budget(service, r, time.Now())
	}
}

// newFanout returns a fanout to services that has not sent anything yet.
func (f *Forwarder) newFanout(req *Request, body []byte, rt *declarer.Route, v *locator.View, budgets budgetFunc, services []string, minAnswers int, deadline time.Time) *fanout {
	lat := f.stats.route(rt)
	now := time.Now()
	fo := &fanout{
		fwd: f, req: req, body: body, route: rt, latency: lat, deadline: deadline,
		calls:      make([]serviceCall, len(services)),
		minAnswers: minAnswers,
		attempts:   rt.Attempts,
		permit:     make(chan struct{}, 1),
		results:    make(chan result, len(services)*(rt.Attempts+maxRefusals+maxUnsent+2)),
		hedgeDelay: lat.hedgeDelay(now),
	}
	fo.permitted.Store(int32(rt.Attempts))
	for i, s := range services {
		c := &fo.calls[i]
		c.service, c.searchers, c.budget = s, readySearchers(v, s), budgets(s)
	}
	return fo
}

// readySearchers returns the searchers of a service, none while the view is not ready.
func readySearchers(v *locator.View, service string) []locator.Searcher {
	if ok, _ := v.Ready(); !ok {
		return nil
	}
	return v.Searchers(service)
}

// allow permits n attempts for each call. Any goroutine may call it.
func (f *fanout) allow(n int) {
	f.permitted.Store(int32(n))
	select {
	case f.permit <- struct{}{}:
	default:
	}
}

// send starts an attempt of call i at a searcher that has not been tried, or else at one that did not run an earlier
// attempt. It returns false when no searcher is available. Attempts after the first choose from the searchers of now: those
// of the start may have left.
func (f *fanout) send(i int) bool {
	c := &f.calls[i]
	if len(c.tried)+len(c.notRun) > 0 {
		c.searchers = readySearchers(f.fwd.views.View(), c.service)
	}
	average := time.Duration(f.latency.average.Load())
	ticket := f.fwd.gate.Enter(c.service, f.route.Name)
	n, exchange := f.pickVersion(c, ticket, average)
	if n < 0 {
		ticket.Drop()
		return false
	}
	ticket.Chosen(&c.searchers[n])
	s := &c.searchers[n]
	c.notRun = slices.DeleteFunc(c.notRun, func(id string) bool { return id == s.ID })
	c.tried = append(c.tried, s.ID)
	c.attempts++
	c.inFlight++
	c.lastSentAt = time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline)
	f.cancels = append(f.cancels, cancel)
	go f.attempt(ctx, cancel, i, s, exchange, ticket)
	return true
}

// pickVersion starts an exchange of a call with a searcher that has not been tried, or else with one that did not run an
// earlier attempt: one of the version that gets the request where the service has a roll-out, and otherwise any. It returns
// -1 when none is available.
func (f *fanout) pickVersion(c *serviceCall, ticket *promoter.Ticket, average time.Duration) (int, *picker.Exchange) {
	sets := [][]locator.Searcher{c.searchers}
	if ticket != nil {
		v := f.fwd.views.View()
		if ok, _ := v.Ready(); !ok {
			return -1, nil
		}
		sets = ticket.Candidates(v)
	}
	n, exchange := f.pick(c, sets, slices.Concat(c.tried, c.notRun), average)
	if n < 0 && len(c.notRun) > 0 {
		n, exchange = f.pick(c, sets, c.tried, average)
	}
	return n, exchange
}

// pick starts an exchange of a call with a searcher, that is not one of tried, of the first set that has one available.
func (f *fanout) pick(c *serviceCall, sets [][]locator.Searcher, tried []string, average time.Duration) (int, *picker.Exchange) {
	for _, c.searchers = range sets {
		if n, exchange := f.fwd.picker.Pick(c.searchers, tried, average); n >= 0 {
			return n, exchange
		}
	}
	return -1, nil
}

// versionOutcome returns the outcome of a result for the comparison of versions.
func versionOutcome(res *result) promoter.Outcome {
	e, isError := asConnectorError(res.err)
	switch {
	case isError && errors.Is(e.Err, context.Canceled):
		return promoter.Abandoned
	case res.class == notSent:
		return promoter.Unsent
	case res.class == notRun:
		return promoter.Refused
	case res.class == failure:
		return promoter.Failed
	default:
		return promoter.Answered
	}
}

// attempt carries out one exchange of call i with a searcher, reports its outcome to the picker and sends the result.
func (f *fanout) attempt(ctx context.Context, cancel context.CancelFunc, i int, s *locator.Searcher, exchange *picker.Exchange, ticket *promoter.Ticket) {
	defer cancel()
	start := time.Now()
	rep, err := f.fwd.exchanger.Do(ctx, s.Addr, &connector.Request{
		Method:   f.req.Method,
		Target:   f.req.Target,
		Host:     f.req.Host,
		Header:   f.req.Header,
		Body:     f.body,
		HasBody:  f.req.HasBody,
		ID:       f.req.ID,
		Account:  f.req.accountName(),
		Instance: s.ID,
		Deadline: f.deadline,
		MaxIdle:  s.MaxIdleConns,
	}, !f.route.Idempotent)
	res := result{call: i, searcher: s.ID, reply: rep, err: err, class: classify(rep, err)}
	f.fwd.heed(s, rep)
	if left := exchange.End(pickerOutcome(&res)); left > 0 && f.fwd.allowLogLine() {
		f.fwd.log.Warn("searcher gets no requests for a time: its answers are malformed", "searcher", s.ID, "service", s.Service, "for", left, "request", f.req.ID, "error", err)
	}
	ticket.End(versionOutcome(&res), time.Since(start), time.Duration(f.latency.average.Load()))
	switch res.class {
	case success:
		f.latency.record(time.Since(start))
	case notSent:
		f.calls[i].refund()
	}
	if res.class != success && res.class != final {
		f.fwd.recordFailure(f.req, s, &res, time.Since(start))
	}
	f.results <- res
}

// heed records what a searcher says in an answer of the requests that it wants. An answer of another searcher at the address says
// nothing about it.
func (f *Forwarder) heed(s *locator.Searcher, rep *connector.Reply) {
	if rep == nil || rep.Status == http.StatusMisdirectedRequest || rep.Meta.Instance != "" && rep.Meta.Instance != s.ID {
		return
	}
	if rep.Meta.Leaving && f.picker.Leave(s) {
		f.log.Info("searcher gets no more requests: it says that it leaves", "searcher", s.ID, "service", s.Service, "request", rep.Meta.RequestID)
	}
	held := rep.Status == http.StatusServiceUnavailable && rep.Meta.HoldOff > 0
	if held && f.picker.Hold(s, rep.Meta.HoldOff) && f.allowLogLine() {
		f.log.Info("searcher gets no requests for a time: it refused one and says so", "searcher", s.ID, "service", s.Service, "for", rep.Meta.HoldOff, "request", rep.Meta.RequestID)
	}
}

// pickerOutcome returns the outcome of a result for the picker. A searcher that resets a new connection is reachable
// but has more connections than it accepts.
func pickerOutcome(res *result) picker.Outcome {
	e, isError := asConnectorError(res.err)
	switch {
	case isError && (errors.Is(e.Err, context.Canceled) || errors.Is(e.Err, context.DeadlineExceeded)):
		return picker.Abandoned
	case errors.Is(res.err, connector.ErrConnectionLimit):
		return picker.ConnectionLimit
	case isError && e.Dial && !errors.Is(e.Err, syscall.ECONNRESET):
		return picker.Unreachable
	case isError && isMalformed(e):
		return picker.Malformed
	case isError:
		return picker.Failed
	case res.class == notRun:
		return picker.NotRun
	case res.reply.Status < http.StatusMultipleChoices && !res.reply.IsSigned():
		return picker.Malformed
	case res.class == failure:
		return picker.Failed
	case res.reply.Surplus:
		return picker.Surplus
	default:
		return picker.Answered
	}
}

func isMalformed(err error) bool {
	var malformed *connector.MalformedError
	return errors.As(err, &malformed)
}

// handleFailure records an attempt without a usable answer and retries its call if that is allowed. It returns false
// when the call has failed.
func (f *fanout) handleFailure(res *result) bool {
	c := &f.calls[res.call]
	c.inFlight--
	switch res.class {
	case notRun:
		c.refusals++
		c.markNotRun(res.searcher)
	case notSent:
		c.unsent++
		c.markNotRun(res.searcher)
	default:
		f.mayHaveRun = true
	}
	if c.done || c.inFlight > 0 {
		return true
	}
	return f.retry(res.call)
}

// retry starts another attempt of call i after a failure, if the route and the bounds on failed attempts allow it.
func (f *fanout) retry(i int) bool {
	c := &f.calls[i]
	mayHaveRun := c.attempts > 0
	if mayHaveRun && !f.route.Idempotent || c.attempts >= f.attempts || c.refusals > maxRefusals || c.unsent > maxUnsent {
		return false
	}
	if c.attempts >= int(f.permitted.Load()) {
		c.awaitsPermit = true
		return true
	}
	return f.sendExtra(i, true)
}

// retryPermitted retries the calls that failed before their next attempt was permitted.
func (f *fanout) retryPermitted() {
	for i := range f.calls {
		c := &f.calls[i]
		if !c.awaitsPermit || c.done {
			continue
		}
		c.awaitsPermit = false
		if !f.retry(i) {
			f.giveUp(i)
		}
	}
}

// start starts the first attempt of call i by this daemon.
func (f *fanout) start(i int) bool {
	if f.calls[i].mayHaveArrived() {
		return f.sendExtra(i, true)
	}
	return f.send(i)
}

// sendExtra starts another attempt of call i if the budget allows it and a searcher is available.
func (f *fanout) sendExtra(i int, needed bool) bool {
	c := &f.calls[i]
	if c.mayHaveArrived() && !c.charge(needed) {
		return false
	}
	if f.send(i) {
		return true
	}
	c.refund()
	return false
}

// mayHaveArrived reports whether an attempt may have reached a searcher. The budget is not charged for the first one
// that does.
func (c *serviceCall) mayHaveArrived() bool {
	return c.attempts+c.refusals > 0
}

// markNotRun removes an attempt at a searcher that is certain not to have run it.
func (c *serviceCall) markNotRun(searcher string) {
	c.attempts--
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == searcher })
	c.notRun = append(c.notRun, searcher)
}

// charge takes one attempt from the budget and returns false when the budget does not allow it. An attempt that the
// answer does not need is allowed only while the budget is filled well enough.
func (c *serviceCall) charge(needed bool) bool {
	take := c.budget.TakeIfFilled
	if needed {
		take = c.budget.Take
	}
	if !take() {
		return false
	}
	c.charged.Add(1)
	return true
}

// refund returns the charge for one attempt to the budget, if there is one, because an attempt did not reach a
// searcher.
func (c *serviceCall) refund() {
	if c.charged.Add(-1) < 0 {
		c.charged.Add(1)
		return
	}
	c.budget.AddTokens(1)
}

// hedge starts another attempt of each call that has a single attempt in flight, sent hedgeDelay ago or earlier. It
// returns the time until the next call becomes due, 0 when there is none.
func (f *fanout) hedge(now time.Time) time.Duration {
	if !f.route.Idempotent {
		return 0
	}
	var next time.Duration
	permitted := int(f.permitted.Load())
	needed := hedgeNeeded(f.pending(), len(f.calls)-f.minAnswers-f.missing)
	for i := range f.calls {
		c := &f.calls[i]
		if c.done || c.inFlight != 1 || c.attempts >= permitted || c.attempts == 0 {
			continue
		}
		wait := f.hedgeDelay - now.Sub(c.lastSentAt)
		if wait <= 0 {
			if !f.sendExtra(i, needed) {
				// The budget may refill or a searcher become available while the call is pending: check again
				// after another hedgeDelay.
				c.lastSentAt = now
			}
			continue
		}
		if next == 0 || wait < next {
			next = wait
		}
	}
	return next
}

// pending returns the number of calls that may still be answered.
func (f *fanout) pending() int {
	n := 0
	for i := range f.calls {
		if !f.calls[i].done {
			n++
		}
	}
	return n
}

// anyInFlight reports whether an attempt is in flight.
func (f *fanout) anyInFlight() bool {
	for i := range f.calls {
		if f.calls[i].inFlight > 0 {
			return true
		}
	}
	return false
}

// giveUp ends call i without an answer.
func (f *fanout) giveUp(i int) {
	f.calls[i].done, f.calls[i].failed = true, true
	f.missing++
}

// cancelAfter cancels the attempts in flight after delay. The delay lets most of them finish, so that the searcher's
// work and the connection are not lost; it is 0 when the client has disconnected.
func (f *fanout) cancelAfter(delay time.Duration) {
	inFlight := 0
	for i := range f.calls {
		inFlight += f.calls[i].inFlight
	}
	cancels := f.cancels
	switch {
	case inFlight == 0:
	case delay <= 0:
		cancelAll(cancels)
	default:
		time.AfterFunc(delay, func() { cancelAll(cancels) })
	}
}

func cancelAll(cancels []context.CancelFunc) {
	for _, cancel := range cancels {
		cancel()
	}
}

func asConnectorError(err error) (*connector.Error, bool) {
	var e *connector.Error
	ok := errors.As(err, &e)
	return e, ok
}
