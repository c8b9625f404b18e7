package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/hedger"
)

const (
	// assumedMembers is the number of daemons taken for granted while none is known:
	// about that of the largest deployments so far.
	assumedMembers = 64
	// usualShift sets the weight of the newest latency in the usual one: 1 in 32.
	usualShift = 5
	// firstUsualPart is the part of the goal that is taken for the usual latency
	// before any is known.
	firstUsualPart = 8
	// slackShare is the share of the slack that is divided among the known daemons as
	// what they may send at once, grantShare the one that they get with the time.
	// TestBudgetOfFleet holds both against a restart of all within the window: budgets
	// that have just been spent do not fill again in it.
	slackShare = 0.95
	grantShare = 0.1
	// minBurst is one extra request: what a budget holds at its start, since what it
	// held before may have been spent in the same window. maxBurst bounds what one
	// daemon may send at once.
	minBurst = 1
	maxBurst = 8
	// defaultGoal stands in for a goal that a route does not state.
	defaultGoal = time.Second
)

// stats holds the latencies of each route and the budget of each service.
type stats struct {
	cfg Config

	mu      sync.Mutex
	routes  map[string]*latency
	budgets map[string]*allowance
	// members is the number of daemons that share the slack.
	members atomic.Int64
}

// latency is what the sub-requests of one route take.
type latency struct {
	quantile *hedger.Estimator
	usual    atomic.Int64
	goal     time.Duration
}

func newStats(cfg Config) *stats {
	s := &stats{cfg: cfg, routes: make(map[string]*latency), budgets: make(map[string]*allowance)}
	s.members.Store(assumedMembers)
	return s
}

// route returns the latencies of a route.
func (s *stats) route(rt *declarer.Route) *latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[rt.Name]
	if l == nil {
		goal := rt.LatencyGoal.Duration
		if goal <= 0 {
			goal = defaultGoal
		}
		l = &latency{quantile: hedger.NewEstimator(s.cfg.HedgeQuantile, time.Now()), goal: goal}
		l.usual.Store(int64(goal / firstUsualPart))
		s.routes[rt.Name] = l
	}
	return l
}

// allowance is the budget of extra requests to one service: a share of the first
// ones, and a part of the fleet's slack that comes with the time.
//
// Load pattern: searchers that refuse or fail for many seconds, when the share of
// the first requests alone leaves most of the slack unused.
type allowance struct {
	*hedger.Budget
	grantedAt atomic.Int64
}

// minGrantTime is the least time between two grants, so that each is a whole unit
// of the budget or more.
const minGrantTime = 200 * time.Millisecond

// first counts a first request to the service.
func (a *allowance) first(now time.Time, perSecond float64) {
	a.Deposit(1)
	at := a.grantedAt.Load()
	since := time.Duration(now.UnixNano() - at)
	if since < minGrantTime || !a.grantedAt.CompareAndSwap(at, now.UnixNano()) {
		return
	}
	a.AddTokens(min(since, maxGrantTime).Seconds() * perSecond)
}

// maxGrantTime bounds the time that one grant is for.
const maxGrantTime = 5 * time.Second

// budget returns the budget of extra requests to a service, with one first request
// counted.
func (s *stats) budget(service string, now time.Time) *hedger.Budget {
	s.mu.Lock()
	a := s.budgets[service]
	if a == nil {
		a = &allowance{Budget: hedger.NewBudget(s.cfg.ExtraPercent, s.burst(), minBurst)}
		a.grantedAt.Store(now.UnixNano())
		s.budgets[service] = a
	}
	s.mu.Unlock()
	a.first(now, s.perSecond())
	return a.Budget
}

// perSecond returns this daemon's part of the slack for each second.
func (s *stats) perSecond() float64 {
	return float64(s.cfg.ExtraSlack) * grantShare / s.cfg.ExtraWindow.Seconds() / float64(s.members.Load())
}

// setPercent changes every budget.
func (s *stats) setPercent(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ExtraPercent = percent
	for _, b := range s.budgets {
		b.SetPercent(percent)
	}
}

// setMembers divides the slack of the budgets among the n daemons of the fleet; 0
// means that they are not known yet.
func (s *stats) setMembers(n int) {
	if n == 0 {
		n = assumedMembers
	}
	if int(s.members.Swap(int64(n))) == n {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.budgets {
		b.SetBurst(s.burst())
	}
}

// burst returns the extra requests that this daemon may send at once.
func (s *stats) burst() float64 {
	return min(maxBurst, max(minBurst, float64(s.cfg.ExtraSlack)*slackShare/float64(s.members.Load())))
}

// record takes the latency of an answer in.
func (l *latency) record(d time.Duration) {
	l.quantile.Record(d)
	was := l.usual.Load()
	// A lost update changes the average by one sample in 32.
	l.usual.Store(was + (int64(d)-was)>>usualShift)
}

// hedgeDelay returns the time after which an exchange counts as slow.
func (l *latency) hedgeDelay(now time.Time) time.Duration {
	d, ok := l.quantile.Estimate(now)
	if !ok {
		return l.goal / hedgeFirstPart
	}
	return min(max(d, minHedgeDelay), l.goal/hedgeLastPart)
}

const (
	// minHedgeDelay keeps very fast services from hedging on noise.
	minHedgeDelay = 4 * time.Millisecond
	// hedgeFirstPart is the part of the goal after which an exchange is hedged while
	// too few latencies are known.
	hedgeFirstPart = 4
	// hedgeLastPart is the part of the goal after which it is hedged at the latest: the
	// second answer then still comes within the goal.
	hedgeLastPart = 2
)
