package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/query/hedger"
)

const (
	// assumedMembers is the number of daemons assumed until the members are known: about that of the largest
	// deployments.
	assumedMembers = 64
	// averageShift sets the weight of the newest latency in the moving average: 1 in 32.
	averageShift = 5
	// initialAverageDivisor sets the average latency before the first sample: the goal divided by it.
	initialAverageDivisor = 8
	// burstShare is the share of the slack that the known daemons together may send at once, refillShare the share
	// that is granted to them over each window. TestBudgetOfFleet checks both against a restart of all daemons
	// within a window: budgets that have just been spent must not refill in it.
	burstShare  = 0.95
	refillShare = 0.1
	// minBurst, one extra request, is also what a budget starts with: the budget before a restart may have been
	// spent in the same window. maxBurst bounds what one daemon may send at once.
	minBurst = 1
	maxBurst = 8
	// defaultGoal is the latency goal of a route that sets none.
	defaultGoal = time.Second
)

// stats holds the latencies of each route and the budget of each service.
type stats struct {
	cfg Config

	mu      sync.Mutex
	routes  map[string]*routeLatency
	budgets map[string]*serviceBudget
	// members is the number of daemons that share the slack.
	members atomic.Int64
}

// routeLatency tracks the latencies of one route's sub-requests; average is a moving average in nanoseconds.
type routeLatency struct {
	quantile *hedger.Estimator
	average  atomic.Int64
	goal     time.Duration
}

func newStats(cfg Config) *stats {
	s := &stats{cfg: cfg, routes: make(map[string]*routeLatency), budgets: make(map[string]*serviceBudget)}
	s.members.Store(assumedMembers)
	return s
}

// route returns the latencies of a route.
func (s *stats) route(rt *declarer.Route) *routeLatency {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[rt.Name]
	if l == nil {
		goal := rt.LatencyGoal.Duration
		if goal <= 0 {
			goal = defaultGoal
		}
		l = &routeLatency{quantile: hedger.NewEstimator(s.cfg.HedgeQuantile, time.Now()), goal: goal}
		l.average.Store(int64(goal / initialAverageDivisor))
		s.routes[rt.Name] = l
	}
	return l
}

// serviceBudget is the budget of extra requests to one service: a percentage of the first requests, and this
// daemon's share of the slack, which refills over time.
//
// Load pattern: searchers that refuse or fail for many seconds, when the percentage of the first requests alone
// leaves most of the slack unused.
type serviceBudget struct {
	*hedger.Budget
	// grantedAt is the time of the last grant in Unix nanoseconds.
	grantedAt atomic.Int64
}

// minGrantInterval is the minimum time between two grants, because a grant of less than one unit of the budget is lost.
const minGrantInterval = 200 * time.Millisecond

// countFirst counts a first request to the service and grants the budget perSecond extra requests for each second
// since the last grant.
func (b *serviceBudget) countFirst(now time.Time, perSecond float64) {
	b.Deposit(1)
	at := b.grantedAt.Load()
	since := time.Duration(now.UnixNano() - at)
	if since < minGrantInterval || !b.grantedAt.CompareAndSwap(at, now.UnixNano()) {
		return
	}
	b.AddTokens(min(since, maxGrantInterval).Seconds() * perSecond)
}

// maxGrantInterval bounds the time that one grant covers.
const maxGrantInterval = 5 * time.Second

// budget counts a first request to a service and returns the service's budget of extra requests.
func (s *stats) budget(service string, now time.Time) *hedger.Budget {
	s.mu.Lock()
	b := s.budgets[service]
	if b == nil {
		b = &serviceBudget{Budget: hedger.NewBudget(s.cfg.ExtraPercent, s.burst(), minBurst)}
		b.grantedAt.Store(now.UnixNano())
		s.budgets[service] = b
	}
	s.mu.Unlock()
	b.countFirst(now, s.refillRate())
	return b.Budget
}

// refillRate returns this daemon's share of the slack in extra requests per second.
func (s *stats) refillRate() float64 {
	return float64(s.cfg.ExtraSlack) * refillShare / s.cfg.ExtraWindow.Seconds() / float64(s.members.Load())
}

// setPercent sets the percentage of every budget.
func (s *stats) setPercent(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ExtraPercent = percent
	for _, b := range s.budgets {
		b.SetPercent(percent)
	}
}

// setMembers divides the slack of the budgets among n daemons; 0 means that their number is not known yet.
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

// burst returns the number of extra requests that this daemon may send at once.
func (s *stats) burst() float64 {
	return min(maxBurst, max(minBurst, float64(s.cfg.ExtraSlack)*burstShare/float64(s.members.Load())))
}

// record adds the latency of an answer.
func (l *routeLatency) record(d time.Duration) {
	l.quantile.Record(d)
	old := l.average.Load()
	// An update lost to a concurrent one is a single sample with a weight of 1 in 32.
	l.average.Store(old + (int64(d)-old)>>averageShift)
}

// hedgeDelay returns the time after which an attempt is hedged.
func (l *routeLatency) hedgeDelay(now time.Time) time.Duration {
	d, ok := l.quantile.Estimate(now)
	if !ok {
		return l.goal / initialHedgeDivisor
	}
	return min(max(d, minHedgeDelay), l.goal/maxHedgeDivisor)
}

const (
	// minHedgeDelay keeps small variations of very fast services from causing hedges.
	minHedgeDelay = 4 * time.Millisecond
	// initialHedgeDivisor sets the hedge delay while there are too few samples: the goal divided by it.
	initialHedgeDivisor = 4
	// maxHedgeDivisor sets the maximum hedge delay, the goal divided by it: the answer to the hedge can then still
	// arrive within the goal.
	maxHedgeDivisor = 2
)
