// Package admitter decides which requests may be sent to the searchers now, which wait, and which are refused. It is pure: it
// learns the load of searchers from its caller, and takes an injected clock.
//
// It handles these load patterns:
//   - Load beyond what the searchers handle well: what has no room waits for a short time or is refused before it has run,
//     so that the requests that are sent are answered in their time.
//   - A burst of the least urgent kind while searchers are lost: more urgent kinds have room beyond that of less urgent ones.
//   - A flood of an urgent kind: a less urgent one keeps a tenth of what is sent.
//   - An account at many times its rate: it is refused from a lower load on than the others.
//   - Clients that all return at once: the time after which a refused one may return grows with their number.
package admitter

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the requests that wait in a daemon: a waiting one holds its body, and each poll looks at all.
	maxWaiting = 64
	// PollInterval is the time between two looks at the requests that wait: a fraction of the work of any request.
	PollInterval = 3 * time.Millisecond
	// window is the time over which admissions and refusals are counted: longer than a wait, shorter than a burst.
	window = time.Second
	// overShare is the multiple of the fair share from which an account has less room, and overShareRoom its part of
	// the room.
	overShare     = 1.5
	overShareRoom = 0.8
	// minShare is the share of the work sent that a less urgent kind keeps.
	minShare = 0.1
	// minCounted is the work below which shares say nothing.
	minCounted = 4
	// maxAccounts and maxKinds bound the accounts and the priorities that are counted for one group of searchers.
	maxAccounts = 512
	maxKinds    = 16
	// minCount is the count below which an account or a kind is forgotten: some seconds after its last request.
	minCount = 0.01
	// minRetryAfter and maxRetryAfter bound the time after which a refused client may return.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// queueShare is the share of a latency goal that requests may wait in the searchers' queues: the rest is for the work, for stragglers
// and hedges, and for the way to the client.
const queueShare = 0.4

// minRoom and maxRoom bound the load up to which requests are sent. At 1 the searchers are in use all the time. At maxRoom their
// queues are still far from full, so that they do not refuse requests indiscriminately.
const (
	minRoom = 1.5
	maxRoom = 3
)

// classRooms holds, by the number of more urgent kinds of request to the same searchers, the part of the room that a kind has: what
// less urgent ones leave is for the more urgent ones.
var classRooms = [...]float64{1.2, 1, 0.85}

// Request is what is known of a request that asks for admission.
type Request struct {
	// Group names the searchers that the request is for: requests to the same ones have the same Group.
	Group string
	// Priority is the effective priority; the lowest is the most urgent.
	Priority int
	// Account is the client account, empty when there is none.
	Account string
	// Work is the number of searchers that run the request.
	Work float64
	// Load returns the load of the searchers, relative to what they handle well: for a query, that of the most loaded
	// shard that its answer needs.
	Load func() float64
	// Latency is the usual time until the searchers have answered, Goal the latency goal of the request, 0 for none.
	Latency, Goal time.Duration
	// WaitUntil is the time until which the request may wait to be answered in its time.
	WaitUntil time.Time
}

// Refusal says why a request was refused.
type Refusal struct {
	// RetryAfter is the time after which there will be room.
	RetryAfter time.Duration
	// Load and Room are the load at the decision and the load up to which the request is sent.
	Load, Room float64
	// Waiting is the number of requests that waited, Waited the time that this one did.
	Waiting int
	Waited  time.Duration
}

// Ticket is a request from Offer until it is decided.
type Ticket struct {
	req       Request
	offeredAt time.Time
	done      chan struct{}
	refusal   *Refusal
}

// Done is closed once the request is decided.
func (t *Ticket) Done() <-chan struct{} {
	return t.done
}

// Refusal returns the refusal of a decided request, nil when it is admitted.
func (t *Ticket) Refusal() *Refusal {
	return t.refusal
}

// Admitter decides on requests. It is safe for concurrent use.
type Admitter struct {
	now func() time.Time

	mu       sync.Mutex
	waiting  []*Ticket
	groups   map[string]*group
	polledAt time.Time
}

// group holds what was sent to one group of searchers. Its counts decay over the window.
type group struct {
	at time.Time
	// sent is the work sent in all, and accounts that by account.
	sent     float64
	accounts map[string]float64
	// kinds holds what was offered and sent by priority.
	kinds map[int]kindCount
	// admitted and refused count the requests.
	admitted, refused float64
}

// kindCount is the number of requests of one priority that were offered, and their work that was sent, with the latency and the
// goal of the last one.
type kindCount struct {
	offered, sent float64
	latency, goal time.Duration
}

// New returns an Admitter; now is its clock.
func New(now func() time.Time) *Admitter {
	return &Admitter{now: now, groups: make(map[string]*group)}
}

// Waiting returns the number of requests that wait.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// Offer asks for the admission of a request. It is decided at once if there is room or if it cannot wait; otherwise by a later
// Poll.
func (a *Admitter) Offer(req *Request) *Ticket {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &Ticket{req: *req, offeredAt: now, done: make(chan struct{})}
	g := a.groupOf(req.Group, now)
	g.countOffer(req)
	ahead := a.countAhead(t, g)
	load := req.Load()
	switch {
	case ahead == 0 && load < g.room(req):
		a.admit(t, g)
	case now.Add(g.expectedWait(req, load, ahead)).After(req.WaitUntil):
		a.refuse(t, g, load, now)
	default:
		a.wait(t, g, load, now)
	}
	return t
}

// wait adds a ticket to those that wait. If there are too many, the one that would be sent last is refused.
func (a *Admitter) wait(t *Ticket, g *group, load float64, now time.Time) {
	a.waiting = append(a.waiting, t)
	if len(a.waiting) <= maxWaiting {
		return
	}
	a.sort(now)
	last := a.waiting[maxWaiting]
	a.waiting = a.waiting[:maxWaiting]
	if last != t {
		g, load = a.groupOf(last.req.Group, now), last.req.Load()
	}
	a.refuse(last, g, load, now)
}

// Poll decides on the requests that wait: it admits some for each group of searchers that has room, and refuses those that
// can wait no longer.
func (a *Admitter) Poll() {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.polledAt) < PollInterval/2 {
		return
	}
	a.polledAt = now
	a.sort(now)
	polls := make(map[string]*poll)
	a.waiting = slices.DeleteFunc(a.waiting, func(t *Ticket) bool {
		g, p := a.groupOf(t.req.Group, now), polls[t.req.Group]
		if p == nil {
			p = &poll{left: g.maxAtOnce()}
			polls[t.req.Group] = p
		}
		if p.left > 0 {
			p.load = t.req.Load()
			if p.load < g.room(&t.req) {
				p.left--
				a.admit(t, g)
				return true
			}
			// The ones behind have no more room than the first one, and looking at the load takes time.
			p.left = 0
		}
		if now.Before(t.req.WaitUntil) {
			return false
		}
		a.refuse(t, g, p.load, now)
		return true
	})
}

// poll is what one Poll knows of a group: the number of requests that it may still admit, and the load.
type poll struct {
	left int
	load float64
}

// Cancel stops the wait of a request whose client does not wait any more.
func (a *Admitter) Cancel(t *Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Ticket) bool { return w == t })
}

func (a *Admitter) admit(t *Ticket, g *group) {
	g.sent += t.req.Work
	if k, known := g.kinds[t.req.Priority]; known {
		k.sent += t.req.Work
		g.kinds[t.req.Priority] = k
	}
	if _, known := g.accounts[t.req.Account]; known || len(g.accounts) < maxAccounts {
		g.accounts[t.req.Account] += t.req.Work
	}
	g.admitted++
	close(t.done)
}

func (a *Admitter) refuse(t *Ticket, g *group, load float64, now time.Time) {
	g.refused++
	t.refusal = &Refusal{
		RetryAfter: g.retryAfter(&t.req, load), Load: load, Room: g.room(&t.req), Waiting: len(a.waiting), Waited: now.Sub(t.offeredAt),
	}
	close(t.done)
}

// sort orders the requests that wait: less urgent kinds that get too little of the work first, then by priority, by the work
// of the account, and by the time that is left.
func (a *Admitter) sort(now time.Time) {
	slices.SortStableFunc(a.waiting, func(x, y *Ticket) int {
		return compare(x, a.groupOf(x.req.Group, now), y, a.groupOf(y.req.Group, now))
	})
}

func compare(x *Ticket, gx *group, y *Ticket, gy *group) int {
	return cmp.Or(
		compareStarved(gx.isStarved(&x.req), gy.isStarved(&y.req)),
		cmp.Compare(x.req.Priority, y.req.Priority),
		cmp.Compare(gx.accounts[x.req.Account], gy.accounts[y.req.Account]),
		x.req.WaitUntil.Compare(y.req.WaitUntil),
	)
}

// compareStarved puts a starved request before one that is not.
func compareStarved(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// countAhead returns the number of waiting requests to the same searchers that are sent before t.
func (a *Admitter) countAhead(t *Ticket, g *group) int {
	n := 0
	for _, w := range a.waiting {
		if w.req.Group == t.req.Group && compare(w, g, t, g) <= 0 {
			n++
		}
	}
	return n
}

// groupOf returns a group with its counts as of now. It forgets the others that were not used for a time.
func (a *Admitter) groupOf(name string, now time.Time) *group {
	g := a.groups[name]
	if g == nil {
		for other, old := range a.groups {
			if now.Sub(old.at) > 60*window {
				delete(a.groups, other)
			}
		}
		g = &group{at: now, accounts: make(map[string]float64), kinds: make(map[int]kindCount)}
		a.groups[name] = g
	}
	if now.After(g.at) {
		g.decay(math.Exp(-float64(now.Sub(g.at)) / float64(window)))
		g.at = now
	}
	return g
}

func (g *group) decay(left float64) {
	g.admitted *= left
	g.refused *= left
	g.sent *= left
	for priority, k := range g.kinds {
		k.offered *= left
		k.sent *= left
		if k.offered < minCount {
			delete(g.kinds, priority)
			continue
		}
		g.kinds[priority] = k
	}
	for name, work := range g.accounts {
		if work *= left; work < minCount {
			delete(g.accounts, name)
			continue
		}
		g.accounts[name] = work
	}
}

func (g *group) countOffer(req *Request) {
	k, known := g.kinds[req.Priority]
	if !known && len(g.kinds) >= maxKinds {
		return
	}
	k.offered++
	k.latency, k.goal = req.Latency, req.Goal
	g.kinds[req.Priority] = k
}

// base returns the load up to which a request that is sent now is answered in its time: as many requests as the searchers handle
// well at once take about the mean latency of all kinds, and none may wait longer than queueShare of the shortest goal.
func (g *group) base() float64 {
	var offered, latency float64
	shortest := time.Duration(0)
	for _, k := range g.kinds {
		offered += k.offered
		latency += k.offered * float64(k.latency)
		if k.goal > 0 && (shortest == 0 || k.goal < shortest) {
			shortest = k.goal
		}
	}
	if offered == 0 || latency == 0 || shortest == 0 {
		return minRoom
	}
	return min(maxRoom, max(minRoom, 1+queueShare*float64(shortest)*offered/latency))
}

// class returns the number of more urgent kinds of request to the same searchers, as far as rooms has them.
func (g *group) class(priority int) int {
	n := 0
	for other := range g.kinds {
		if other < priority {
			n++
		}
	}
	return min(n, len(classRooms)-1)
}

// room returns the load up to which a request is sent.
func (g *group) room(req *Request) float64 {
	class := g.class(req.Priority)
	if g.isStarved(req) {
		class = 0
	}
	room := g.base() * classRooms[class]
	if g.isOverShare(req) {
		room *= overShareRoom
	}
	return room
}

// isStarved reports whether a less urgent kind gets too little of the work.
func (g *group) isStarved(req *Request) bool {
	k, known := g.kinds[req.Priority]
	return g.class(req.Priority) > 0 && known && g.sent >= minCounted*req.Work && k.sent < minShare*g.sent
}

// isOverShare reports whether the request's account has had clearly more than its fair share of the work.
func (g *group) isOverShare(req *Request) bool {
	return len(g.accounts) > 1 && g.sent >= minCounted*req.Work && g.accounts[req.Account] > overShare*g.sent/float64(len(g.accounts))
}

// maxAtOnce returns the number of waiting requests that one Poll may admit: about twice those of the time between two, since
// the load shows them only when they have been sent.
func (g *group) maxAtOnce() int {
	return 1 + int(2*g.admitted*float64(PollInterval)/float64(window))
}

// expectedWait returns the time until a request with ahead others before it is sent: at least that in which the searchers run
// what is beyond the room, and that in which the others are sent, by the rate of the last second.
func (g *group) expectedWait(req *Request, load float64, ahead int) time.Duration {
	wait := g.excessTime(req, load)
	if g.admitted >= 1 {
		wait = max(wait, time.Duration(float64(ahead+1)/g.admitted*float64(window)))
	}
	return wait
}

// excessTime returns the time in which the searchers run what is beyond the room: as many requests as they handle well take
// about the usual latency.
func (g *group) excessTime(req *Request, load float64) time.Duration {
	return time.Duration(min(float64(maxRetryAfter), max(0, load-g.room(req))*float64(req.Latency)))
}

// retryAfter returns the time after which there will be room: that of the load beyond the room and of one request, and as much
// again for each refused request to one that is sent, since those return as well.
func (g *group) retryAfter(req *Request, load float64) time.Duration {
	after := max(minRetryAfter, req.Latency) + g.excessTime(req, load)
	crowd := 1 + g.refused/max(1, g.admitted)
	return time.Duration(min(float64(maxRetryAfter), float64(after)*crowd))
}
