package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/hedger"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/route/picker"
	"cornelwood.example/internal/upstream/connector"
)

// race sends one request to the searchers of one or more services, each service
// a leg, and takes the first answer of each.
type race struct {
	f        *Forwarder
	req      *Request
	body     []byte
	route    *declarer.Route
	latency  *latency
	deadline time.Time
	legs     []leg
	results  chan result
	// least is the number of legs that the answer needs, missing the number of those
	// that will not answer.
	least, missing int
	// delay is the time after which a running attempt is hedged.
	delay time.Duration
	// ran is true once a searcher may have run the request.
	ran     bool
	cancels []context.CancelFunc
}

// leg is the part of a race at one service.
type leg struct {
	service   string
	searchers []locator.Searcher
	budget    *hedger.Budget
	// ran holds the searchers that may have run the request or may still run it,
	// refused those that surely did not.
	ran, refused []int
	// attempts counts the sends that may have run or may still run.
	attempts int
	// refusals counts the sends that a searcher refused unrun, unsent those that did
	// not get to one.
	refusals, unsent int
	// drawn counts the sends that the budget was charged for.
	drawn    atomic.Int32
	running  int
	lastSent time.Time
	done     bool
}

// result is the outcome of one attempt.
type result struct {
	leg, searcher int
	reply         *connector.Reply
	err           error
	verdict       verdict
}

const (
	// maxRefusals bounds the refusals of one leg, unrun, before it is given up.
	maxRefusals = 4
	// maxUnsent bounds the sends of one leg that got to no searcher: each of its
	// searchers and one more.
	maxUnsent = 4
)

func (f *Forwarder) newRace(req *Request, body []byte, rt *declarer.Route, v *locator.View, services []string, least int, deadline time.Time) *race {
	lat := f.stats.route(rt)
	now := time.Now()
	r := &race{
		f: f, req: req, body: body, route: rt, latency: lat, deadline: deadline,
		legs:    make([]leg, len(services)),
		least:   least,
		results: make(chan result, len(services)*(rt.Attempts+maxRefusals+maxUnsent+2)),
		delay:   lat.hedgeDelay(now),
	}
	for i, s := range services {
		l := &r.legs[i]
		l.service, l.searchers, l.budget = s, v.Searchers(s), f.stats.budget(s, now)
	}
	return r
}

// send starts an attempt at a leg, at a searcher that has not been asked or, if
// there is none, at one that refused. It returns false when no searcher may get
// one.
func (r *race) send(i int) bool {
	l := &r.legs[i]
	usual := time.Duration(r.latency.usual.Load())
	n, ticket := r.f.picker.Pick(l.searchers, slices.Concat(l.ran, l.refused), usual)
	if n < 0 && len(l.refused) > 0 {
		n, ticket = r.f.picker.Pick(l.searchers, l.ran, usual)
	}
	if n < 0 {
		return false
	}
	l.refused = slices.DeleteFunc(l.refused, func(k int) bool { return k == n })
	l.ran = append(l.ran, n)
	l.attempts++
	l.running++
	l.lastSent = time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	r.cancels = append(r.cancels, cancel)
	go r.attempt(ctx, cancel, i, n, &l.searchers[n], ticket)
	return true
}

// attempt carries out one exchange and notes what it tells about the searcher.
func (r *race) attempt(ctx context.Context, cancel context.CancelFunc, i, n int, s *locator.Searcher, ticket *picker.Exchange) {
	defer cancel()
	start := time.Now()
	rep, err := r.f.exchanger.Do(ctx, s.Addr, &connector.Request{
		Method:   r.req.Method,
		Target:   r.req.Target,
		Host:     r.req.Host,
		Header:   r.req.Header,
		Body:     r.body,
		HasBody:  r.req.HasBody,
		ID:       r.req.ID,
		Instance: s.ID,
		Deadline: r.deadline,
		MaxIdle:  s.MaxIdleConns,
	}, !r.route.Idempotent)
	res := result{leg: i, searcher: n, reply: rep, err: err, verdict: judge(rep, err)}
	ticket.End(outcome(&res))
	switch res.verdict {
	case success:
		r.latency.record(time.Since(start))
	case notSent:
		r.legs[i].refund()
	}
	if res.verdict != success && res.verdict != final {
		r.f.noteFailure(r.req, s, &res, time.Since(start))
	}
	r.results <- res
}

// outcome returns what a result tells about its searcher. One that resets a new
// connection is there, and has more connections than it accepts.
func outcome(res *result) picker.Outcome {
	e, isError := asConnectorError(res.err)
	switch {
	case isError && (errors.Is(e.Err, context.Canceled) || errors.Is(e.Err, context.DeadlineExceeded)):
		return picker.Abandoned
	case errors.Is(res.err, connector.ErrConnectionLimit):
		return picker.ConnectionLimit
	case isError && e.Dial && !errors.Is(e.Err, syscall.ECONNRESET):
		return picker.Unreachable
	case isError:
		return picker.Failed
	case res.verdict == notRun:
		return picker.NotRun
	case res.verdict == failure:
		return picker.Failed
	default:
		return picker.Answered
	}
}

// settle takes a failed result in and tries another searcher when that is
// allowed. It returns false when the leg has failed.
func (r *race) settle(res *result) bool {
	l := &r.legs[res.leg]
	l.running--
	switch res.verdict {
	case notRun:
		l.refusals++
		l.release(res.searcher)
	case notSent:
		l.unsent++
		l.release(res.searcher)
	default:
		r.ran = true
	}
	if l.done || l.running > 0 {
		return true
	}
	return r.retry(res.leg)
}

// retry sends a leg's request to another searcher after a failure.
func (r *race) retry(i int) bool {
	l := &r.legs[i]
	mayRun := l.attempts > 0
	if mayRun && !r.route.Idempotent || l.attempts >= r.route.Attempts || l.refusals > maxRefusals || l.unsent > maxUnsent {
		return false
	}
	return r.sendMore(i, true)
}

// sendMore starts another attempt at a leg if the budget bears it and a searcher
// may get one.
func (r *race) sendMore(i int, needed bool) bool {
	l := &r.legs[i]
	if l.mayHaveArrived() && !l.pay(needed) {
		return false
	}
	if r.send(i) {
		return true
	}
	l.refund()
	return false
}

// mayHaveArrived reports whether a searcher of the leg may have got the request:
// the first one that does is free.
func (l *leg) mayHaveArrived() bool {
	return l.attempts+l.refusals > 0
}

// release takes back an attempt at a searcher that surely did not run it.
func (l *leg) release(searcher int) {
	l.attempts--
	l.ran = slices.DeleteFunc(l.ran, func(k int) bool { return k == searcher })
	l.refused = append(l.refused, searcher)
}

// pay charges the budget for another send, with more restraint for one that the
// answer does not need.
func (l *leg) pay(needed bool) bool {
	take := l.budget.TakeIfNearlyFull
	if needed {
		take = l.budget.Take
	}
	if !take() {
		return false
	}
	l.drawn.Add(1)
	return true
}

// refund gives back the price of a send, if any was paid, since one got to no
// searcher.
func (l *leg) refund() {
	if l.drawn.Add(-1) < 0 {
		l.drawn.Add(1)
		return
	}
	l.budget.AddTokens(1)
}

// hedge sends the requests of legs that take longer than usual to a second
// searcher, and returns the time until the next such leg, 0 when there is none.
func (r *race) hedge(now time.Time) time.Duration {
	if !r.route.Idempotent {
		return 0
	}
	var next time.Duration
	needed := hedgeNeeded(r.open(), len(r.legs)-r.least-r.missing)
	for i := range r.legs {
		l := &r.legs[i]
		if l.done || l.running != 1 || l.attempts >= r.route.Attempts || l.attempts == 0 {
			continue
		}
		wait := r.delay - now.Sub(l.lastSent)
		if wait <= 0 {
			if !r.sendMore(i, needed) {
				// The budget may fill again, or a searcher recover, while the leg runs.
				l.lastSent = now
			}
			continue
		}
		if next == 0 || wait < next {
			next = wait
		}
	}
	return next
}

// open returns the number of legs that may still answer.
func (r *race) open() int {
	n := 0
	for i := range r.legs {
		if !r.legs[i].done {
			n++
		}
	}
	return n
}

// giveUp ends a leg without an answer.
func (r *race) giveUp(i int) {
	r.legs[i].done = true
	r.missing++
}

// stop ends the attempts that still run: at once when the client has left, after
// a while otherwise, so that a searcher's work and the connection are not lost.
func (r *race) stop(linger time.Duration) {
	running := 0
	for i := range r.legs {
		running += r.legs[i].running
	}
	cancels := r.cancels
	switch {
	case running == 0:
	case linger <= 0:
		cancelAll(cancels)
	default:
		time.AfterFunc(linger, func() { cancelAll(cancels) })
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
