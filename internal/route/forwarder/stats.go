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
	assumedMembers = 300
	// averageShift sets the weight of the newest latency in the moving average: 1 in 32.
	averageShift = 5
	// initialAverageDivisor sets the average latency before the first sample: the goal divided by it.
	initialAverageDivisor = 8
	// burstShare is the share of the slack that the known daemons together may send at once, refillShare the share
	// that is granted to them over each window. TestBudgetOfFleet checks both against a restart of all daemons
	// within a window: budgets that have just been spent must not refill in it.
	burstShare  = 0.95
	refillShare = 0.1
	// minBurst, one extra request, is also the most that a budget starts with: the budget before a restart may have
	// been spent in the same window. maxBurst bounds what one daemon may send at once.
	minBurst = 1
	maxBurst = 10
	// startShare is the share of its slack that a daemon which leaves its queries to others may spend right after its
	// start: hundreds of them would otherwise spend a whole extra request each.
	startShare = 0.5
	// gathererStartShare is the share of its slack that a daemon which gathers may spend right after its start, at most
	// maxGathererStart.
	gathererStartShare = 0.1
	maxGathererStart   = 4
	// gathererPart is the part of the budget that belongs to the daemons that gather queries for others. The rest is
	// for those that ask them: for asking a second one, and for sending to searchers themselves when none can gather.
	gathererPart = 0.6
	// defaultGoal is the latency goal of a route that sets none.
	defaultGoal = time.Second
)

// role is what a daemon does with the queries to a service, and with it the part of the budget that it may spend.
type role int

const (
	// sender: every daemon sends its clients' requests to the searchers itself.
	sender role = iota
	// asker: other daemons gather this one's queries.
	asker
	// gatherer: this daemon gathers the queries of others.
	gatherer
)

// budgetPart is the part of a service's budget that one daemon may spend.
type budgetPart struct {
	// start is the number of extra requests that it may send right after its start.
	start float64
	// percent is the number of extra requests for 100 first requests.
	percent int
	// slack is the daemon's part of the fleet's slack, in extra requests.
	slack float64
}

// partOf returns the part of the budget that a daemon may spend in a role.
func (s *stats) partOf(r role) budgetPart {
	percent := float64(s.percent.Load())
	slack := float64(s.cfg.ExtraSlack)
	members := float64(s.members.Load())
	switch r {
	case gatherer:
		a := budgetPart{percent: int(percent * gathererPart), slack: slack * gathererPart / max(1, float64(s.gatherers.Load()))}
		a.start = min(maxGathererStart, max(minBurst, a.slack*gathererStartShare))
		return a
	case asker:
		a := budgetPart{percent: int(percent * (1 - gathererPart)), slack: slack * (1 - gathererPart) / members}
		a.start = min(minBurst, a.slack*startShare)
		return a
	default:
		return budgetPart{start: minBurst, percent: int(percent), slack: slack / members}
	}
}

// stats holds the latencies of each route and the budget of each service.
type stats struct {
	cfg Config

	mu      sync.Mutex
	routes  map[string]*routeLatency
	budgets map[string]*serviceBudget
	// percent is the number of extra requests of all daemons for 100 first requests.
	percent atomic.Int64
	// members is the number of daemons that share the slack, gatherers that of the daemons that gather queries.
	members, gatherers atomic.Int64
}

// routeLatency tracks the latencies of one route's sub-requests; average is a moving average in nanoseconds.
type routeLatency struct {
	quantile *hedger.Estimator
	median   *hedger.Estimator
	average  atomic.Int64
	goal     time.Duration
}

func newStats(cfg Config) *stats {
	s := &stats{cfg: cfg, routes: make(map[string]*routeLatency), budgets: make(map[string]*serviceBudget)}
	s.members.Store(assumedMembers)
	s.percent.Store(int64(cfg.ExtraPercent))
	return s
}

// route returns the latencies of a route's requests to searchers.
func (s *stats) route(rt *declarer.Route) *routeLatency {
	return s.latencyOf(rt.Name, rt)
}

func (s *stats) latencyOf(name string, rt *declarer.Route) *routeLatency {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[name]
	if l == nil {
		goal := rt.LatencyGoal.Duration
		if goal <= 0 {
			goal = defaultGoal
		}
		l = &routeLatency{quantile: hedger.NewEstimator(s.cfg.HedgeQuantile, time.Now()), median: hedger.NewEstimator(0.5, time.Now()), goal: goal}
		l.average.Store(int64(goal / initialAverageDivisor))
		s.routes[name] = l
	}
	return l
}

// gathers returns the latencies of a route's queries that other daemons gather.
func (s *stats) gathers(rt *declarer.Route) *routeLatency {
	return s.latencyOf("gather/"+rt.Name, rt)
}

// serviceBudget is the budget of extra requests to one service: a percentage of the first requests, and this
// daemon's part of the slack, which refills over time.
//
// Load pattern: searchers that refuse or fail for many seconds, when the percentage of the first requests alone
// leaves most of the slack unused.
type serviceBudget struct {
	*hedger.Budget
	// grantedAt is the time in Unix nanoseconds up to which the slack has been granted.
	grantedAt atomic.Int64
}

// countFirst counts a first request to the service and grants the budget perSecond extra requests for each second
// since the last grant.
func (b *serviceBudget) countFirst(now time.Time, perSecond float64) {
	b.Deposit(1)
	at := b.grantedAt.Load()
	since := min(time.Duration(now.UnixNano()-at), maxGrantInterval)
	if since <= 0 || !b.grantedAt.CompareAndSwap(at, now.UnixNano()) {
		return
	}
	// What is too little for the budget's unit is granted later: at hundreds of daemons, each grant is.
	owed := since.Seconds() * perSecond
	if rest := owed - b.AddTokens(owed); rest > 0 {
		b.grantedAt.Add(-int64(rest / perSecond * float64(time.Second)))
	}
}

// maxGrantInterval bounds the time that one grant covers.
const maxGrantInterval = 5 * time.Second

// budget counts a first request to a service and returns the service's budget of extra requests, as far as the daemon
// may spend it in a role.
func (s *stats) budget(service string, r role, now time.Time) *hedger.Budget {
	part := s.partOf(r)
	s.mu.Lock()
	b := s.budgets[service]
	if b == nil {
		b = &serviceBudget{Budget: hedger.NewBudget(part.percent, part.burst(), part.start)}
		b.grantedAt.Store(now.UnixNano())
		s.budgets[service] = b
	}
	s.mu.Unlock()
	b.SetPercent(part.percent)
	b.SetBurst(part.burst())
	b.countFirst(now, part.slack*refillShare/s.cfg.ExtraWindow.Seconds())
	return b.Budget
}

// askerBudget counts a query and returns the budget of extra requests to all shards of a route together, as far as a daemon
// may spend it that leaves its queries to others. A daemon that also gathers has another budget for each shard.
func (s *stats) askerBudget(rt *declarer.Route, now time.Time) *hedger.Budget {
	return s.budget("ask/"+rt.Shards[0], asker, now)
}

// withdrawFirst takes back what the budget of askerBudget was granted for a query that was not sent to any searcher.
func (s *stats) withdrawFirst(b *hedger.Budget) {
	b.AddTokens(-float64(s.partOf(asker).percent) / 100)
}

// setPercent sets the percentage of every budget.
func (s *stats) setPercent(percent int) {
	s.percent.Store(int64(percent))
}

// setFleet divides the slack of the budgets among the daemons; 0 members means that their number is not known yet.
func (s *stats) setFleet(members, gatherers int) {
	if members == 0 {
		members = assumedMembers
	}
	s.members.Store(int64(members))
	s.gatherers.Store(int64(gatherers))
}

// burst returns the number of extra requests that the daemon may send at once.
func (p budgetPart) burst() float64 {
	return min(maxBurst, max(minBurst, p.slack*burstShare))
}

// record adds the latency of an answer.
func (l *routeLatency) record(d time.Duration) {
	l.quantile.Record(d)
	l.median.Record(d)
	old := l.average.Load()
	// An update lost to a concurrent one is a single sample with a weight of 1 in 32.
	l.average.Store(old + (int64(d)-old)>>averageShift)
}

// hedgeDelay returns the time after which an attempt is hedged.
//
// Load pattern: a sixth of the searchers and more turn slow at once, so that most queries wait for some of them.
func (l *routeLatency) hedgeDelay(now time.Time) time.Duration {
	d, ok := l.quantile.Estimate(now)
	if !ok {
		return l.goal / initialHedgeDivisor
	}
	if median, ok := l.median.Estimate(now); ok {
		d = min(d, maxHedgeMedians*median)
	}
	return min(max(d, minHedgeDelay), l.goal/maxHedgeDivisor)
}

const (
	// minHedgeDelay keeps small variations of very fast services from causing hedges.
	minHedgeDelay = 4 * time.Millisecond
	// initialHedgeDivisor sets the hedge delay while there are too few samples: the goal divided by it.
	initialHedgeDivisor = 4
	// maxHedgeMedians limits the hedge delay to a multiple of the median latency: while many searchers are slow, the
	// quantile is theirs.
	maxHedgeMedians = 2
	// maxHedgeDivisor sets the maximum hedge delay, the goal divided by it: the answer to the hedge can then still
	// arrive within the goal.
	maxHedgeDivisor = 2
)
