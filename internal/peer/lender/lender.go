package lender

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/time/sentry"
	"cornelwood.example/internal/time/sleeper"
)

// Names of the calls between daemons.
const (
	TakeCall = "Allot"
	PingCall = "Lender"
)

const (
	// tickInterval is the interval at which the lease is checked.
	tickInterval = 50 * time.Millisecond
	// storeTimeout bounds one call to the store, which answers in milliseconds.
	storeTimeout = 500 * time.Millisecond
	// pingTimeout bounds a ping. A later answer would not lengthen the fence by much.
	pingTimeout = 250 * time.Millisecond
	// suspectTime is how long a daemon that did not answer is not asked.
	suspectTime = 250 * time.Millisecond
	// unknownWait is how long a request waits that was refused without a lender, and unknownRetry how long the refusal is
	// remembered: until a successor may have begun.
	unknownWait  = 300 * time.Millisecond
	unknownRetry = 50 * time.Millisecond
	// minRemembered is how long a refusal counts at least: it bounds the calls for an account far above a high limit.
	minRemembered = 20 * time.Millisecond
	// wantedTime is how long a request without a lender makes this daemon look for one.
	wantedTime = 2 * time.Second
	// logLinesPerSecond and logBurst bound the lines about single refusals.
	logLinesPerSecond = 5
	logBurst          = 20
)

// Store has the lease.
type Store interface {
	// ReadLease returns the lease, with revision 0 when there is none.
	ReadLease(ctx context.Context) (Lease, error)
	// WriteLease writes the lease if the stored one has the revision of l, and returns the new revision. Its errors are a
	// *ConflictError, or those of package storer.
	WriteLease(ctx context.Context, l *Lease) (uint64, error)
}

// Caller makes calls to other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
}

// Fleet returns the daemons of the fleet, and whether an account has a limit.
type Fleet func() (members []declarer.Member, isActive bool)

// Reasons of refusals.
const (
	reasonLender     = "the lender has no token"
	reasonRemembered = "the last refusal still counts"
	reasonUnknown    = "no lender answers"
)

// RefusedError reports that a request must not be sent.
type RefusedError struct {
	Account string
	// Wait is the time until there is room.
	Wait time.Duration
	// Exceeded is true when the account is known to be above its limit.
	Exceeded bool
	Reason   string
}

// Error returns the account and the reason.
func (e *RefusedError) Error() string {
	if e.Exceeded {
		return fmt.Sprintf("account %q is above its limit: %s", e.Account, e.Reason)
	}
	return fmt.Sprintf("it is not known whether account %q is within its limit: %s", e.Account, e.Reason)
}

// Lender takes tokens for this daemon's requests, and grants tokens to the other daemons while it is the lender. It is a
// service, and safe for concurrent use.
type Lender struct {
	cfg     Config
	self    declarer.Member
	store   Store
	caller  Caller
	fleet   Fleet
	clock   sentry.Clock
	log     hclog.Logger
	metrics *Metrics
	// logLimiter bounds the lines about refusals.
	logLimiter *rate.Limiter

	mu       sync.Mutex
	core     *core
	holdings *holdings
	// suspects holds until when a daemon that did not answer is not asked, by ID.
	suspects map[string]time.Duration
	// missedAt is when a request last found no lender.
	missedAt time.Duration
	// members is the list that ranked was made of.
	members, ranked []declarer.Member
	index           int
	wasLender       bool
	prunedAt        time.Duration
	// calls counts the calls that Serve has started.
	calls sync.WaitGroup
}

// New returns the Lender of the daemon self.
func New(cfg Config, self declarer.Member, store Store, caller Caller, fleet Fleet, clock sentry.Clock, log hclog.Logger, m *Metrics) *Lender {
	l := &Lender{
		cfg: cfg, self: self, store: store, caller: caller, fleet: fleet, clock: clock, log: log, metrics: m,
		logLimiter: rate.NewLimiter(logLinesPerSecond, logBurst), suspects: make(map[string]time.Duration),
	}
	now := clock()
	l.core = newCore(&l.cfg, self, newTerm(), now)
	l.holdings = newHoldings(&l.cfg)
	l.missedAt = now - wantedTime
	l.prunedAt = now
	return l
}

// Grant is the permission for one request.
type Grant struct {
	lender  *Lender
	account string
	token   token
}

// Return gives the permission back when the request reached no searcher.
func (g Grant) Return() {
	if g.lender == nil || g.token.grant == 0 {
		return
	}
	g.lender.mu.Lock()
	defer g.lender.mu.Unlock()
	g.lender.metrics.returns.Inc()
	g.lender.holdings.putBack(g.account, g.token)
}

// Take takes one token of an account, by its limit in a version of the desired state. The error is a *RefusedError.
func (l *Lender) Take(ctx context.Context, account *declarer.Account, version uint64) (Grant, error) {
	if account == nil || account.Rate <= 0 {
		return Grant{}, nil
	}
	limit := &Limit{Account: account.Name, Rate: account.Rate, Burst: account.Burst, Version: version}
	started := l.clock()
	l.mu.Lock()
	tk, refused, ahead := l.holdings.take(started, limit)
	l.mu.Unlock()
	switch {
	case tk != nil:
		l.metrics.count("held", "granted")
		return Grant{lender: l, account: limit.Account, token: *tk}, nil
	case refused != nil:
		l.metrics.countRefusal("remembered", refused.Exceeded)
		return Grant{}, refused
	}
	resp, source, sentAt := l.ask(ctx, limit, ahead)
	l.metrics.seconds.Observe((l.clock() - started).Seconds())
	return l.settle(limit, resp, source, sentAt)
}

// settle turns the answer to a request for tokens into a Grant or a refusal.
func (l *Lender) settle(limit *Limit, resp *takeResponse, source string, sentAt time.Duration) (Grant, error) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp != nil && resp.Count > 0 && now < sentAt+l.cfg.Validity {
		l.metrics.count(source, "granted")
		l.holdings.add(limit.Account, resp.Grant, resp.Count-1, sentAt)
		return Grant{lender: l, account: limit.Account, token: token{grant: resp.Grant, expiresAt: sentAt + l.cfg.Validity}}, nil
	}
	refused := &RefusedError{Account: limit.Account, Wait: unknownWait, Reason: reasonUnknown}
	remembered := unknownRetry
	if resp != nil && resp.IsLender && resp.Count == 0 {
		refused.Wait, refused.Exceeded, refused.Reason = max(resp.Wait, minRemembered), resp.Exceeded, reasonLender
		remembered = refused.Wait
	}
	l.holdings.refuse(now, remembered, refused)
	l.metrics.countRefusal(source, refused.Exceeded)
	if l.logLimiter.Allow() {
		known := &l.core.lease.known
		l.log.Info("token refused", "account", limit.Account, "exceeded", refused.Exceeded, "wait", refused.Wait, "reason", refused.Reason, "source", source,
			"lender", known.Record.Holder.ID, "revision", known.Revision, "rate", limit.Rate, "burst", limit.Burst, "version", limit.Version)
	}
	return Grant{}, refused
}

// Sources of tokens, in metrics and log lines.
const (
	sourceLender = "lender"
	sourceLocal  = "local"
	sourceNone   = "none"
)

// ask asks the lender for tokens, and the daemons of the own zone when no lender answers. It returns the answer, nil when
// there is none, who gave it, and when it was asked for.
func (l *Lender) ask(ctx context.Context, limit *Limit, ahead int) (*takeResponse, string, time.Duration) {
	req := &takeRequest{Limit: limit, Ahead: ahead}
	asked := make(map[string]bool)
	if resp, sentAt := l.askLender(ctx, req, asked, false); resp != nil {
		return resp, sourceLender, sentAt
	}
	local := &takeRequest{Limit: limit, Local: true}
	for _, m := range l.localDaemons() {
		resp, sentAt := l.call(ctx, &m, local, l.cfg.LocalTimeout)
		switch {
		case resp == nil:
			if ctx.Err() == nil {
				l.suspect(&m)
			}
			continue
		case resp.IsLender:
			return resp, sourceLender, sentAt
		case resp.Count > 0:
			return resp, sourceLocal, sentAt
		}
		// Its answer may have named another lender.
		if resp, sentAt := l.askLender(ctx, req, asked, false); resp != nil {
			return resp, sourceLender, sentAt
		}
	}
	// One that did not answer a short time ago may have been slow only.
	if resp, sentAt := l.askLender(ctx, req, asked, true); resp != nil {
		return resp, sourceLender, sentAt
	}
	l.mu.Lock()
	l.missedAt = l.clock()
	l.mu.Unlock()
	return nil, sourceNone, 0
}

// maxLenders is the number of lenders that one request may ask: one that is known, and those that are named instead.
const maxLenders = 3

// askLender asks the lender that is known, and those that it or others name, unless they were asked before. One that did not
// answer a short time ago is asked only if mayBeSilent is true.
func (l *Lender) askLender(ctx context.Context, req *takeRequest, asked map[string]bool, mayBeSilent bool) (*takeResponse, time.Duration) {
	for len(asked) < maxLenders {
		m, isHeard := l.lender()
		if m.ID == "" || asked[m.ID] || !isHeard && !mayBeSilent {
			return nil, 0
		}
		asked[m.ID] = true
		l.mu.Lock()
		req.Returns = l.holdings.drain()
		l.mu.Unlock()
		resp, sentAt := l.call(ctx, &m, req, l.cfg.LenderTimeout)
		if resp != nil && resp.IsLender {
			return resp, sentAt
		}
		if resp == nil && ctx.Err() == nil {
			l.suspect(&m)
		}
	}
	return nil, 0
}

// lender returns the holder of the newest lease that is known, with an empty ID when there is none, and false when it did not
// answer a short time ago.
func (l *Lender) lender() (m declarer.Member, isHeard bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m = l.core.lease.known.Record.Holder
	return m, l.clock() >= l.suspects[m.ID]
}

// suspect notes that a daemon did not answer.
func (l *Lender) suspect(m *declarer.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.suspects[m.ID]; !known {
		l.log.Info("daemon does not answer requests for tokens", "daemon", m.ID, "zone", m.Zone, "lender", l.core.lease.known.Record.Holder.ID)
	}
	l.suspects[m.ID] = l.clock() + suspectTime
}

// localDaemons returns the daemons of the own zone that grant without a lender, but those that did not answer a short time ago.
func (l *Lender) localDaemons() []declarer.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rank()
	now, n := l.clock(), 0
	var out []declarer.Member
	for _, m := range l.ranked {
		if m.Zone != l.self.Zone {
			continue
		}
		if n++; n > localDaemons {
			break
		}
		if now >= l.suspects[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// call asks one daemon, which may be this one.
func (l *Lender) call(ctx context.Context, m *declarer.Member, req *takeRequest, timeout time.Duration) (*takeResponse, time.Duration) {
	sentAt := l.clock()
	if m.ID == l.self.ID {
		resp := l.take(req)
		return &resp, sentAt
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp takeResponse
	if err := l.caller.Call(ctx, m.Peer, TakeCall, req, &resp); err != nil {
		l.log.Debug("call for tokens failed", "daemon", m.ID, "error", err)
		return nil, sentAt
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.core.observe(now, resp.Lease)
	if resp.IsLender {
		l.core.lease.heardAt = now
		delete(l.suspects, m.ID)
	}
	return &resp, sentAt
}

// take decides on a request of this or another daemon.
func (l *Lender) take(req *takeRequest) takeResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.take(l.clock(), req)
}

// HandleTake answers another daemon's request for tokens.
func (l *Lender) HandleTake(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var req takeRequest
	if err := linker.Decode(body, &req); err != nil {
		return nil, err
	}
	return l.take(&req), nil
}

// HandlePing answers a lender's ping.
func (l *Lender) HandlePing(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var p ping
	if err := linker.Decode(body, &p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.onPing(l.clock(), &p), nil
}

// String names the service for its supervisor.
func (l *Lender) String() string {
	return "lender"
}

// Serve keeps the lease and returns unused tokens until ctx ends, and returns its error.
func (l *Lender) Serve(ctx context.Context) error {
	defer l.calls.Wait()
	for {
		l.tick(ctx)
		if err := sleeper.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// tick starts the calls that are due.
func (l *Lender) tick(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.holdings.sweep(now)
	l.prune(now)
	if len(l.holdings.returns) > 0 {
		l.calls.Go(func() { l.flush(ctx) })
	}
	if !l.rank() {
		return
	}
	isWanted := now < l.missedAt+wantedTime
	call, pings := l.core.tick(now, l.ranked, l.index, isWanted)
	if call != nil {
		l.calls.Go(func() { l.runStoreCall(ctx, call) })
	}
	for i := range pings {
		l.calls.Go(func() { l.sendPing(ctx, &pings[i]) })
	}
	l.noteLender(now)
}

// prune forgets what has expired.
func (l *Lender) prune(now time.Duration) {
	if now < l.prunedAt+l.cfg.Window {
		return
	}
	l.prunedAt = now
	l.core.tolerance.prune(now)
	for id, until := range l.suspects {
		if now >= until+suspectTime {
			delete(l.suspects, id)
		}
	}
}

// noteLender logs and counts when this daemon begins or ceases to grant.
func (l *Lender) noteLender(now time.Duration) {
	isLender := l.core.lease.mayGrant(now)
	if isLender == l.wasLender {
		return
	}
	l.wasLender = isLender
	known, value, change := &l.core.lease.known, 0.0, "ended"
	if isLender {
		value, change = 1, "began"
	}
	l.metrics.isLender.Set(value)
	l.metrics.changes.WithLabelValues(change).Inc()
	l.log.Info("lender of the accounts' tokens changed", "granting", isLender, "holder", known.Record.Holder.ID, "revision", known.Revision,
		"left", l.core.lease.until-now, "successor", successorID(&known.Record))
}

func successorID(r *Record) string {
	if r.Successor == nil {
		return ""
	}
	return r.Successor.ID
}

// rank brings the ranking of the fleet up to date, and reports whether an account has a limit. mu is held.
func (l *Lender) rank() bool {
	members, isActive := l.fleet()
	if len(members) == 0 {
		return false
	}
	if len(l.members) == len(members) && &l.members[0] == &members[0] {
		return isActive
	}
	l.members, l.ranked = members, relayer.SortedByRank(members)
	l.index = 0
	for i := range l.ranked {
		if l.ranked[i].ID == l.self.ID {
			break
		}
		l.index++
	}
	return isActive
}

// flush returns unused tokens to the lender.
func (l *Lender) flush(ctx context.Context) {
	m, isHeard := l.lender()
	if m.ID == "" || !isHeard {
		return
	}
	l.mu.Lock()
	rs := l.holdings.drain()
	l.mu.Unlock()
	if len(rs) > 0 {
		l.call(ctx, &m, &takeRequest{Returns: rs}, l.cfg.LenderTimeout)
	}
}

// runStoreCall makes a call to the store and hands its outcome over.
func (l *Lender) runStoreCall(ctx context.Context, c *storeCall) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.isRead {
		current, err := l.store.ReadLease(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err != nil {
			l.core.lease.onFailed(l.clock(), c, false)
			l.log.Warn("lease not read", "error", err)
			return
		}
		l.core.onStored(l.clock(), c, current)
		return
	}
	revision, err := l.store.WriteLease(ctx, &Lease{Record: c.record, Revision: c.condition})
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var conflict *ConflictError
	var unavailable *storer.UnavailableError
	switch {
	case err == nil:
		began := l.core.onWritten(now, c, revision)
		if began || c.reason != reasonRenewal {
			l.log.Info("lease written", "reason", c.reason, "revision", revision, "successor", successorID(&c.record), "credit", c.hasCredit && began)
		}
		l.noteLender(now)
	case errors.As(err, &conflict):
		l.core.onStored(now, c, conflict.Current)
		l.log.Info("lease not written: another one is stored", "reason", c.reason, "holder", conflict.Current.Record.Holder.ID, "revision", conflict.Current.Revision)
	default:
		mayBeApplied := !errors.As(err, &unavailable) || unavailable.MaybeApplied
		l.core.lease.onFailed(now, c, mayBeApplied)
		l.log.Warn("lease not known to be written", "reason", c.reason, "maybeapplied", mayBeApplied, "error", err, "left", l.core.lease.until-now)
	}
}

// sendPing sends a ping and hands its answer over.
func (l *Lender) sendPing(ctx context.Context, o *outgoing) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer pong
	if err := l.caller.Call(ctx, o.to.Peer, PingCall, &o.message, &answer); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.lease.onPong(o, answer.Accept)
}

// beginRelease makes this daemon hold no lease from now on, and returns the write that gives it up, nil when there is none,
// and the successor. It waits for a write that is in flight.
func (l *Lender) beginRelease() (*storeCall, *declarer.Member) {
	for waited := time.Duration(0); ; waited += releasePoll {
		l.mu.Lock()
		c := l.core.lease.release(l.clock())
		successor := l.core.lease.nominee
		isDone := c != nil || !l.core.lease.holding || waited >= releaseTimeout
		l.noteLender(l.clock())
		l.mu.Unlock()
		if isDone {
			return c, successor
		}
		time.Sleep(releasePoll)
	}
}

// releasePoll is the interval at which a release looks whether a write is still in flight.
const releasePoll = 10 * time.Millisecond

// releaseTimeout bounds the release of the lease.
const releaseTimeout = 300 * time.Millisecond

// Release gives up the lease, so that the successor begins at once, and makes this daemon take none. Call it when the
// daemon begins to stop.
func (l *Lender) Release() {
	c, successor := l.beginRelease()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.runStoreCall(ctx, c)
	l.mu.Lock()
	known, isReleased := l.core.lease.known, l.core.lease.isReleased
	l.mu.Unlock()
	if isReleased && successor != nil {
		l.sendPing(ctx, &outgoing{to: *successor, message: ping{Lease: known}})
	}
}

// newTerm returns a random term, above 0 and small enough for a store that holds numbers as floating point.
func newTerm() uint64 {
	const bits = 53
	return rand.Uint64N(1<<bits-1) + 1
}
