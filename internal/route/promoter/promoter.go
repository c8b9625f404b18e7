package promoter

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/route/locator"
	"cornelwood.example/internal/time/sleeper"
)

// Names of the calls between daemons.
const (
	// CallCounts asks for the counts of the running roll-outs, and CallNotice tells a decision.
	CallCounts = "RolloutCounts"
	CallNotice = "RolloutNotice"
)

// Config holds the settings of a Promoter.
type Config struct {
	// Interval is the time between two collections of the daemons' counts.
	Interval time.Duration
	// CallTimeout bounds a call to a daemon and WriteTimeout one to the store.
	CallTimeout, WriteTimeout time.Duration
	// MaxCalls is the number of calls at a time.
	MaxCalls int
	// TakeoverTime is how long the second-ranked daemon waits for a question of the first-ranked one before it decides
	// itself, and TakeoverStep how much longer each further one waits.
	TakeoverTime, TakeoverStep time.Duration
	// MaxStale is the number of first-ranked daemons that collect counts while the store does not answer them.
	MaxStale int
	// SilentTime is how long a daemon does not answer until the time for the move counts with that.
	SilentTime time.Duration
	// Window is the time over which recent counts are taken.
	Window time.Duration
	// StateBound is the age up to which daemons use their cached state.
	StateBound time.Duration
	// FinishDelay is how long an exchange may outlast its request's timeout.
	FinishDelay time.Duration
}

// Default returns the settings. A version is bad at most Interval and CallTimeout after its 50th bad answer, plus
// TakeoverTime if the deciding daemon fails at that moment. The notices arrive within another CallTimeout, and a daemon that
// they do not reach stops at StateBound: 4.4 s in all, of the 5 s of the first deployments.
func Default() Config {
	return Config{
		Interval:     400 * time.Millisecond,
		CallTimeout:  300 * time.Millisecond,
		WriteTimeout: 700 * time.Millisecond,
		MaxCalls:     64,
		TakeoverTime: 1100 * time.Millisecond,
		TakeoverStep: 300 * time.Millisecond,
		MaxStale:     3,
		SilentTime:   1500 * time.Millisecond,
		Window:       2 * time.Second,
		StateBound:   relayer.Default().MaxAge,
		FinishDelay:  500 * time.Millisecond,
	}
}

// maxClockSkew is the assumed difference of two machines' clocks, on which the age of an order depends only after all
// daemons have been restarted.
const maxClockSkew = 2 * time.Second

// Viewer returns the current view, and takes the deciding daemon's notices.
type Viewer interface {
	View() *locator.View
	Notify(n *locator.Notice)
}

// Caller makes calls to peers. Its errors are those of linker.Linker.Call.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
}

// Writer writes the status of a roll-out under a condition on its revision.
type Writer interface {
	WriteRollout(ctx context.Context, r *declarer.Rollout, revision uint64) (uint64, error)
}

// Promoter is the service that collects the counts of the running roll-outs and decides, while this daemon is the
// first-ranked one that answers.
type Promoter struct {
	cfg     Config
	self    declarer.Member
	views   Viewer
	gate    *Gate
	caller  Caller
	writer  Writer
	clock   func() time.Duration
	log     hclog.Logger
	metrics *Metrics

	mu sync.Mutex
	// asked holds, by daemon, when it last asked for the counts with current state.
	asked map[string]time.Time

	// courses holds what the deciding daemon knows of each roll-out, by service. Only Serve uses it.
	courses  map[string]*course
	deciding bool
}

// New returns a Promoter. clock is a clock that goes on while the machine is suspended.
func New(cfg Config, self declarer.Member, views Viewer, gate *Gate, caller Caller, writer Writer, clock func() time.Duration, log hclog.Logger, m *Metrics) *Promoter {
	return &Promoter{
		cfg: cfg, self: self, views: views, gate: gate, caller: caller, writer: writer, clock: clock, log: log, metrics: m,
		asked: make(map[string]time.Time), courses: make(map[string]*course),
	}
}

// String names the service for its supervisor.
func (p *Promoter) String() string {
	return "promoter"
}

// Serve decides on roll-outs until ctx ends, and returns its error.
func (p *Promoter) Serve(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, p.cfg.Interval); err != nil {
			return err
		}
		trials := p.views.View().Trials()
		p.gate.Prune(trials)
		if p.mustDecide(trials, time.Now()) {
			p.decideAll(ctx, trials)
		}
		p.writeLost(ctx, time.Now())
	}
}

// maxWriters is the number of first-ranked daemons that write a lost status again, each TakeoverStep later than the one before.
const maxWriters = 4

// writeLost writes the statuses again that a restored store has lost, so that a daemon that starts does not go back behind them.
func (p *Promoter) writeLost(ctx context.Context, now time.Time) {
	rank := len(p.rankedBefore())
	if rank >= maxWriters {
		return
	}
	for _, lost := range p.views.View().LostStatuses() {
		if now.Sub(lost.Since) < time.Duration(rank)*p.cfg.TakeoverStep {
			continue
		}
		r := lost.Rollout
		revision, err := p.write(ctx, &r, lost.Revision)
		if err != nil {
			p.log.Warn("lost status of roll-out not written again", "rollout", r.Name, "state", r.State, "revision", lost.Revision, "error", err)
			continue
		}
		p.log.Info("lost status of roll-out written again", "rollout", r.Name, "state", r.State, "revision", revision)
		p.notify(ctx, &r, revision)
	}
}

// Counts answers the question of the deciding daemon. Register it under CallCounts.
func (p *Promoter) Counts(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var in exchanger.RolloutQuery
	if err := linker.Decode(body, &in); err != nil {
		return nil, err
	}
	if in.IsCurrent {
		p.mu.Lock()
		p.asked[in.From] = time.Now()
		p.mu.Unlock()
	}
	return p.reports(), nil
}

// Notice takes a decision of the deciding daemon. Register it under CallNotice.
func (p *Promoter) Notice(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var in exchanger.RolloutNotice
	if err := linker.Decode(body, &in); err != nil {
		return nil, err
	}
	p.views.Notify(&locator.Notice{Rollout: in.Rollout, Revision: in.Revision})
	return nil, nil
}

func (p *Promoter) reports() *exchanger.RolloutReports {
	out := &exchanger.RolloutReports{}
	for _, trial := range p.views.View().Trials() {
		out.Reports = append(out.Reports, p.gate.Report(trial))
	}
	return out
}

// mustDecide reports whether this daemon decides: it is ranked first, or none that is ranked before it has asked for the
// counts lately.
//
// Load pattern: the deciding daemon ends, freezes or loses the store in the middle of a roll-out.
func (p *Promoter) mustDecide(trials map[string]*locator.Trial, now time.Time) bool {
	decides := len(trials) > 0 && p.isFirst(trials, now)
	if p.deciding != decides {
		p.deciding = decides
		p.log.Info("role in roll-outs changed", "decides", decides, "rollouts", len(trials))
	}
	if !decides {
		clear(p.courses)
	}
	if len(trials) == 0 {
		p.mu.Lock()
		clear(p.asked)
		p.mu.Unlock()
	}
	return decides
}

func (p *Promoter) isFirst(trials map[string]*locator.Trial, now time.Time) bool {
	if len(p.views.View().Members()) == 0 {
		// Not known yet: a daemon of any rank would decide, by its own counts.
		return false
	}
	before := p.rankedBefore()
	if !p.gate.isFresh() && len(before) >= p.cfg.MaxStale {
		return false
	}
	since := now
	for _, t := range trials {
		if t.LearnedAt.Before(since) {
			since = t.LearnedAt
		}
	}
	p.mu.Lock()
	for _, m := range before {
		if at := p.asked[m.ID]; at.After(since) {
			since = at
		}
	}
	p.mu.Unlock()
	return len(before) == 0 || now.Sub(since) >= p.cfg.TakeoverTime+time.Duration(len(before)-1)*p.cfg.TakeoverStep
}

// rankedBefore returns the daemons that are ranked before this one.
func (p *Promoter) rankedBefore() []declarer.Member {
	ranked := relayer.Ranked(p.views.View().Members())
	if i := slices.IndexFunc(ranked, func(m declarer.Member) bool { return m.ID == p.self.ID }); i >= 0 {
		return ranked[:i]
	}
	return ranked
}

// course is what the deciding daemon knows of one roll-out.
type course struct {
	trial *locator.Trial
	// latest holds each daemon's last report, and ended the counts of daemons' earlier lives.
	latest map[string]exchanger.RolloutReport
	ended  Evidence
	// age is the longest time for which a daemon has known the order.
	age   time.Duration
	ageAt time.Time
	past  []snapshot
	// silentSince holds since when a daemon has not answered.
	silentSince map[string]time.Time
}

// snapshot is the evidence at one moment.
type snapshot struct {
	at    time.Time
	total Evidence
}

// courseOf returns the course of a roll-out, a new one for another order.
func (p *Promoter) courseOf(t *locator.Trial) *course {
	c := p.courses[t.Service]
	if c == nil || !c.trial.LearnedAt.Equal(t.LearnedAt) {
		c = &course{latest: make(map[string]exchanger.RolloutReport), ended: make(Evidence), silentSince: make(map[string]time.Time)}
		p.courses[t.Service] = c
	}
	c.trial = t
	return c
}

// add adds a daemon's report.
func (c *course) add(id string, r *exchanger.RolloutReport, now time.Time) {
	if old, ok := c.latest[id]; ok && r.Age < old.Age {
		// The daemon has been restarted.
		c.ended.Add(old.Samples)
	}
	c.latest[id] = *r
	if age := c.ageNow(now); r.Age > age {
		c.age, c.ageAt = r.Age, now
	}
}

func (c *course) ageNow(now time.Time) time.Duration {
	if c.ageAt.IsZero() {
		return 0
	}
	return c.age + now.Sub(c.ageAt)
}

// elapsed returns the time since the first daemon learned of the order.
func (c *course) elapsed(now time.Time) time.Duration {
	age := c.ageNow(now)
	if started := c.trial.Started; started > 0 {
		age = max(age, now.Sub(time.UnixMilli(started))-maxClockSkew)
	}
	return age
}

// total returns the counts of all daemons.
func (c *course) total() Evidence {
	total := make(Evidence)
	for route, t := range c.ended {
		total.Add(t.samples(route))
	}
	for id := range c.latest {
		total.Add(c.latest[id].Samples)
	}
	return total
}

// recent returns what was counted over the last window, and remembers total for later calls.
func (c *course) recent(total Evidence, now time.Time, window time.Duration) Evidence {
	for len(c.past) > 1 && now.Sub(c.past[1].at) >= window {
		c.past = c.past[1:]
	}
	out := total
	if len(c.past) > 0 {
		out = total.Since(c.past[0].total)
	}
	c.past = append(c.past, snapshot{now, total})
	return out
}

// answer is a daemon's answer to the question for its counts.
type answer struct {
	id      string
	reports *exchanger.RolloutReports
	// isGone is true when no daemon listens at the address.
	isGone bool
}

// collect asks all daemons for their counts.
func (p *Promoter) collect(ctx context.Context) []answer {
	members := p.views.View().Members()
	in := &exchanger.RolloutQuery{From: p.self.ID, IsCurrent: p.gate.isFresh()}
	answers := make([]answer, len(members))
	p.callAll(ctx, members, func(ctx context.Context, i int, m *declarer.Member) {
		answers[i].id = m.ID
		if m.ID == p.self.ID {
			answers[i].reports = p.reports()
			return
		}
		var out exchanger.RolloutReports
		err := p.caller.Call(ctx, m.Peer, CallCounts, in, &out)
		var unreachable *linker.UnreachableError
		switch {
		case err == nil:
			answers[i].reports = &out
		case errors.As(err, &unreachable) && unreachable.Refused:
			answers[i].isGone = true
		}
	})
	if !slices.ContainsFunc(members, func(m declarer.Member) bool { return m.ID == p.self.ID }) {
		answers = append(answers, answer{id: p.self.ID, reports: p.reports()})
	}
	return answers
}

// callAll calls each member within CallTimeout, MaxCalls at a time.
func (p *Promoter) callAll(ctx context.Context, members []declarer.Member, call func(ctx context.Context, i int, m *declarer.Member)) {
	var calls errgroup.Group
	calls.SetLimit(p.cfg.MaxCalls)
	for i := range members {
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
			defer cancel()
			call(ctx, i, &members[i])
			return nil
		})
	}
	_ = calls.Wait()
}

// decideAll collects the counts and decides on each roll-out.
func (p *Promoter) decideAll(ctx context.Context, trials map[string]*locator.Trial) {
	startedAt := p.clock()
	answers := p.collect(ctx)
	now := time.Now()
	for service := range p.courses {
		if trials[service] == nil {
			delete(p.courses, service)
		}
	}
	var acts sync.WaitGroup
	for _, t := range trials {
		c := p.courseOf(t)
		s := p.situation(c, answers, now)
		action, reason := Decide(s)
		if p.clock()-startedAt > p.maxRoundTime() {
			// This process was paused: what the daemons said is outdated.
			break
		}
		acts.Go(func() { p.act(ctx, t, s, action, reason) })
	}
	acts.Wait()
}

// maxRoundTime is how old counts may be when a decision is made from them.
func (p *Promoter) maxRoundTime() time.Duration {
	return 4 * p.cfg.CallTimeout
}

// situation returns what is known of a roll-out after the daemons' answers.
func (p *Promoter) situation(c *course, answers []answer, now time.Time) *Situation {
	s := &Situation{Limit: c.trial.Limit, IsMoving: c.trial.Moving, IsVetoed: c.trial.IsVetoed, StateBound: p.cfg.StateBound, Timeout: p.timeout(c.trial.Service)}
	for i := range answers {
		a := &answers[i]
		if a.reports == nil && !a.isGone {
			s.Unreachable++
			if c.silentFor(a.id, now) >= p.cfg.SilentTime {
				s.Silent++
			}
			continue
		}
		delete(c.silentSince, a.id)
		if a.isGone {
			continue
		}
		n := slices.IndexFunc(a.reports.Reports, func(r exchanger.RolloutReport) bool {
			// One with another start is that of an earlier order, which the daemon still believes in.
			return r.Rollout == c.trial.Name && r.Target == c.trial.Target && (r.Started == 0 || r.Started == c.trial.Started)
		})
		if n < 0 {
			// It does not know the order yet.
			s.Unmoved++
			continue
		}
		r := &a.reports.Reports[n]
		c.add(a.id, r, now)
		s.IsVetoed = s.IsVetoed || r.Vetoed
		if !r.Moved || r.InFlight > 0 {
			s.Unmoved++
		}
	}
	s.Elapsed = c.elapsed(now)
	if c.trial.Moving {
		s.MovingFor = now.Sub(c.trial.MovedAt)
	}
	s.Total = c.total()
	s.Recent = c.recent(s.Total, now, p.cfg.Window)
	return s
}

// silentFor returns for how long a daemon that does not answer now has not answered.
func (c *course) silentFor(id string, now time.Time) time.Duration {
	since, ok := c.silentSince[id]
	if !ok {
		c.silentSince[id], since = now, now
	}
	return now.Sub(since)
}

// timeout returns the longest time of a request to a service.
func (p *Promoter) timeout(name string) time.Duration {
	longest := time.Duration(0)
	if m := p.views.View().Matcher; m != nil {
		routes := m.Routing().Routes
		for i := range routes {
			rt := &routes[i]
			uses := slices.Contains(rt.Shards, name) || slices.ContainsFunc(rt.Targets, func(t declarer.Target) bool { return t.Service == name })
			if uses {
				longest = max(longest, rt.Timeout.Duration)
			}
		}
	}
	return longest + p.cfg.FinishDelay
}

// act carries out a decision. Without one, it writes that the roll-out is running if nothing has been written yet.
func (p *Promoter) act(ctx context.Context, t *locator.Trial, s *Situation, action Action, reason string) {
	next := t.Rollout
	next.Reason = reason
	switch action {
	case Keep:
		if t.State != "" {
			return
		}
		next.State, next.Started = declarer.RolloutRunning, time.Now().Add(-s.Elapsed).UnixMilli()
	case Move:
		next.State, next.Moving = declarer.RolloutRunning, true
		next.Started = cmp.Or(next.Started, time.Now().Add(-s.Elapsed).UnixMilli())
	case Complete:
		next.State, next.Moving = declarer.RolloutCompleted, false
	case RollBack:
		next.State, next.Moving = declarer.RolloutRolledBack, false
	}
	if action != RollBack && !p.gate.isFresh() {
		// What was decided on may have changed. A rollback is safe anyway.
		return
	}
	p.metrics.decisions.WithLabelValues(string(next.State), action.String()).Inc()
	p.log.Info("decision on roll-out", "rollout", t.Name, "service", t.Service, "target", t.Target, "action", action.String(), "reason", reason,
		"elapsed", s.Elapsed, "limit", s.Limit, "answers", s.Total.Answers(), "unmoved", s.Unmoved, "unreachable", s.Unreachable, "revision", t.Revision)
	var calls sync.WaitGroup
	defer calls.Wait()
	if action == RollBack {
		calls.Go(func() { p.notify(ctx, &next, 0) })
	}
	revision, err := p.write(ctx, &next, t.Revision)
	if err != nil {
		p.log.Warn("status of roll-out not written", "rollout", t.Name, "state", next.State, "revision", t.Revision, "error", err)
		return
	}
	calls.Go(func() { p.notify(ctx, &next, revision) })
}

// write writes a status. A *storer.ConflictError or a lost answer needs nothing: the next round starts from the status that
// is in force then.
func (p *Promoter) write(ctx context.Context, r *declarer.Rollout, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.WriteTimeout)
	defer cancel()
	written, err := p.writer.WriteRollout(ctx, r, revision)
	var conflict *storer.ConflictError
	result := "written"
	switch {
	case errors.As(err, &conflict):
		result = "conflict"
	case err != nil:
		result = "failed"
	}
	p.metrics.writes.WithLabelValues(result).Inc()
	return written, err
}

// notify tells all daemons of a decision, this one first. They learn it from the store, too.
func (p *Promoter) notify(ctx context.Context, r *declarer.Rollout, revision uint64) {
	p.views.Notify(&locator.Notice{Rollout: *r, Revision: revision})
	in := &exchanger.RolloutNotice{From: p.self.ID, Rollout: *r, Revision: revision}
	p.callAll(ctx, p.views.View().Members(), func(ctx context.Context, _ int, m *declarer.Member) {
		if m.ID == p.self.ID {
			return
		}
		if err := p.caller.Call(ctx, m.Peer, CallNotice, in, nil); err != nil {
			p.log.Debug("notice of a decision not delivered", "daemon", m.ID, "rollout", r.Name, "error", err)
		}
	})
}
