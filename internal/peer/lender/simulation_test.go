package lender

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// step is the unit of time of a simulation; delays are whole steps.
const step = 10 * time.Millisecond

// plan is the seed and the size of a simulation, and which faults it has.
type plan struct {
	seed    uint64
	daemons int
	zones   int
	steps   int
	limit   Limit
	// faults are the kinds of faults that are injected.
	faults []faultKind
	// perStep is the number of requests that a daemon has in a step, in a hundred.
	perStep int
}

type faultKind int

const (
	faultFreeze faultKind = iota
	faultKill
	faultRestartAll
	faultStoreAway
	faultStoreLoss
	faultCut
	faultRelease
	faultNewLimit
	faultKinds
)

var allFaults = []faultKind{faultFreeze, faultKill, faultRestartAll, faultStoreAway, faultStoreLoss, faultCut, faultRelease, faultNewLimit}

// simDaemon is a process with the real state machines.
type simDaemon struct {
	i           int
	self        declarer.Member
	core        *core
	holdings    *holdings
	process     int
	frozenUntil int
	deadUntil   int
	inbox       []func()
	storeAway   bool
	wantedUntil time.Duration
	// limit is the newest limit that the daemon knows.
	limit Limit
}

type event struct {
	at int
	do func()
}

// simulation runs the state machines of some daemons against a store and a network with faults, and checks the bounds.
type simulation struct {
	plan
	cfg      Config
	rng      *rand.Rand
	now      int
	daemons  []*simDaemon
	queue    []event
	cuts     map[[2]int]int
	lossy    int
	revision uint64
	stored   Lease
	// uses holds the steps of the requests that reached a searcher.
	uses []int
	// served and refused count requests; unknown those of the refused that are not known to be above the limit.
	served, refused, unknown int
	offered                  int
	writes, reads, calls     int
	limitChangedAt           int
	failure                  string
	// servedAt counts the served requests of each second.
	servedAt []int
}

func newSimulation(p plan) *simulation {
	s := &simulation{plan: p, cfg: Default(), rng: rand.New(rand.NewPCG(p.seed, 3)), cuts: make(map[[2]int]int), limitChangedAt: -1 << 20}
	s.cfg.Window, s.cfg.Overage, s.cfg.Slack = 5*time.Second, 0.1, 20
	s.servedAt = make([]int, p.steps/100+1)
	for i := range p.daemons {
		d := &simDaemon{i: i, limit: p.limit, self: declarer.Member{
			ID: fmt.Sprintf("d%d", i), Zone: fmt.Sprintf("z%d", i%p.zones), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		}}
		s.daemons = append(s.daemons, d)
		s.boot(d)
	}
	return s
}

func (s *simulation) chance(percent int) bool { return s.rng.IntN(100) < percent }

// clock returns the time by a daemon's clock. Clocks differ by 1 in 100.
func (s *simulation) clock(d *simDaemon) time.Duration {
	rate := time.Duration(995 + 10*(d.i%2))
	return time.Hour + time.Duration(s.now)*step/1000*rate
}

func (s *simulation) boot(d *simDaemon) {
	d.process++
	d.core = newCore(&s.cfg, d.self, s.rng.Uint64()|1, s.clock(d))
	d.holdings = newHoldings(&s.cfg)
	d.inbox, d.frozenUntil, d.deadUntil = nil, 0, 0
}

func (s *simulation) after(steps int, do func()) {
	s.queue = append(s.queue, event{s.now + steps, do})
}

// run calls f in a daemon, if the process still runs, when it is not frozen.
func (s *simulation) run(d *simDaemon, process int, f func()) {
	do := func() {
		if d.process == process && s.now >= d.deadUntil {
			f()
		}
	}
	if s.now < d.frozenUntil {
		d.inbox = append(d.inbox, do)
		return
	}
	do()
}

// delay returns the time of a message on the network in steps, which is long for one in a hundred.
func (s *simulation) delay() int {
	if s.chance(1) {
		return s.rng.IntN(60)
	}
	return s.rng.IntN(2)
}

func (s *simulation) isCut(from, to *simDaemon) bool {
	return s.now < s.cuts[[2]int{from.i, to.i}] || s.chance(s.lossy)
}

// call sends a message from one daemon to another and its answer back. onAnswer is not called when either is lost.
func (s *simulation) call(from, to *simDaemon, serve func(), onAnswer func()) {
	s.calls++
	fromProcess, toProcess := from.process, to.process
	if from == to {
		serve()
		onAnswer()
		return
	}
	if s.isCut(from, to) {
		return
	}
	s.after(s.delay(), func() {
		s.run(to, toProcess, func() {
			serve()
			if s.isCut(to, from) {
				return
			}
			s.after(s.delay(), func() { s.run(from, fromProcess, onAnswer) })
		})
	})
}

// storeCall sends a call to the store. A request may be applied long after its sender has given it up.
func (s *simulation) storeCall(d *simDaemon, c *storeCall) {
	const giveUp = 50
	process, settled := d.process, false
	finish := func(f func()) {
		s.run(d, process, func() {
			if !settled {
				settled = true
				f()
			}
		})
	}
	s.after(giveUp, func() { finish(func() { d.core.lease.onFailed(s.clock(d), c, !c.isRead) }) })
	if d.storeAway || s.chance(s.lossy) {
		return
	}
	travel := s.delay()
	if s.lossy > 0 && s.chance(20) {
		travel = s.rng.IntN(4 * giveUp)
	}
	s.after(travel, func() {
		if d.storeAway && s.chance(50) {
			return
		}
		ok := true
		switch {
		case c.isRead:
			s.reads++
		case c.condition == s.stored.Revision:
			s.writes++
			s.revision++
			s.stored = Lease{Record: c.record, Revision: s.revision}
		default:
			ok = false
		}
		answer := s.stored
		if s.chance(s.lossy) {
			return
		}
		s.after(s.delay(), func() {
			finish(func() {
				if ok && !c.isRead {
					d.core.onWritten(s.clock(d), c, answer.Revision)
					return
				}
				d.core.onStored(s.clock(d), c, answer)
			})
		})
	})
}

// take is a request of a client at a daemon.
func (s *simulation) take(d *simDaemon) {
	s.offered++
	limit := d.limit
	tk, refused, ahead := d.holdings.take(s.clock(d), &limit)
	switch {
	case tk != nil:
		s.use(d, *tk)
		return
	case refused != nil:
		s.refuse(refused.Exceeded)
		return
	}
	s.askLender(d, &limit, ahead)
}

func (s *simulation) refuse(exceeded bool) {
	s.refused++
	if !exceeded {
		s.unknown++
	}
}

func (s *simulation) askLender(d *simDaemon, limit *Limit, ahead int) {
	sentAt, done := s.clock(d), false
	id := d.core.lease.known.Record.Holder.ID
	local := func() {
		if !done {
			done = true
			s.askLocal(d, limit, 0)
		}
	}
	if id == "" {
		local()
		return
	}
	process := d.process
	s.after(4, func() { s.run(d, process, local) })
	req := &takeRequest{Limit: limit, Ahead: ahead, Returns: d.holdings.drain()}
	to := s.daemons[id[1]-'0']
	var resp takeResponse
	s.call(d, to, func() { resp = to.core.take(s.clock(to), req) }, func() {
		d.core.observe(s.clock(d), resp.Lease)
		if !resp.IsLender {
			local()
			return
		}
		if done {
			return
		}
		done = true
		now := s.clock(d)
		if resp.Count == 0 {
			r := &RefusedError{Account: limit.Account, Wait: resp.Wait, Exceeded: resp.Exceeded}
			d.holdings.refuse(now, resp.Wait, r)
			s.refuse(resp.Exceeded)
			return
		}
		if now >= sentAt+s.cfg.Validity {
			s.refuse(false)
			return
		}
		d.core.lease.heardAt = now
		d.holdings.add(limit.Account, resp.Grant, resp.Count-1, sentAt)
		s.use(d, token{grant: resp.Grant, expiresAt: sentAt + s.cfg.Validity})
	})
}

// askLocal asks the daemons of the zone that grant without a lender, one after the other.
func (s *simulation) askLocal(d *simDaemon, limit *Limit, nth int) {
	var local []*simDaemon
	for _, o := range s.daemons {
		if o.self.Zone == d.self.Zone && len(local) < localDaemons {
			local = append(local, o)
		}
	}
	if nth >= len(local) {
		d.wantedUntil = s.clock(d) + wantedTime
		d.holdings.refuse(s.clock(d), unknownRetry, &RefusedError{Account: limit.Account, Wait: unknownWait})
		s.refuse(false)
		return
	}
	to, done, process := local[nth], false, d.process
	next := func() {
		if !done {
			done = true
			s.askLocal(d, limit, nth+1)
		}
	}
	s.after(4, func() { s.run(d, process, next) })
	var resp takeResponse
	s.call(d, to, func() { resp = to.core.take(s.clock(to), &takeRequest{Limit: limit, Local: true}) }, func() {
		d.core.observe(s.clock(d), resp.Lease)
		if resp.Count == 0 {
			next()
			return
		}
		if !done {
			done = true
			s.use(d, token{})
		}
	})
}

// use sends a request with a token to a searcher, or puts the token back.
func (s *simulation) use(d *simDaemon, t token) {
	if t.grant != 0 && s.chance(5) {
		d.holdings.putBack(s.limit.Account, t)
		return
	}
	s.served++
	s.servedAt[s.now/100]++
	s.uses = append(s.uses, s.now)
	s.checkUses()
}

// checkUses checks the bound on the requests of the last window. It is stricter than the one that is promised: the share of
// the tolerance that nobody may grant is left out.
func (s *simulation) checkUses() {
	window := int(s.cfg.Window / step)
	first, _ := slices.BinarySearch(s.uses, s.now-window+1)
	s.uses = s.uses[first:]
	limit := s.limit
	if s.now < s.limitChangedAt+window+int(time.Second/step) {
		limit.Rate, limit.Burst = limit.Rate*2, limit.Burst*2
	}
	bound := 1.01*(limit.Rate*s.cfg.Window.Seconds()+max(1, limit.Burst)) + (creditShare+localShare+extraShare)*s.cfg.tolerance(&limit) + 1
	if float64(len(s.uses)) > bound {
		s.fail("%d requests in a window, want %g at most", len(s.uses), bound)
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("step %d: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// checkLender checks that at most one daemon grants.
func (s *simulation) checkLender() {
	var granting []string
	for _, d := range s.daemons {
		if s.now >= d.deadUntil && d.core.ledger != nil && d.core.lease.mayGrant(s.clock(d)) {
			granting = append(granting, d.self.ID)
		}
	}
	if len(granting) > 1 {
		s.fail("%v grant at once", granting)
	}
}

func (s *simulation) inject() {
	if len(s.faults) == 0 || !s.chance(2) {
		return
	}
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	if s.chance(60) && s.stored.Record.Holder.ID != "" {
		// Most faults hit the lender.
		d = s.daemons[s.stored.Record.Holder.ID[1]-'0']
	}
	length := s.rng.IntN(300)
	switch s.faults[s.rng.IntN(len(s.faults))] {
	case faultFreeze:
		d.frozenUntil = s.now + length
	case faultKill:
		s.kill(d, length)
	case faultRestartAll:
		if s.chance(20) {
			for _, d := range s.daemons {
				s.kill(d, s.rng.IntN(20))
			}
		}
	case faultStoreAway:
		all := s.chance(50)
		for _, o := range s.daemons {
			if all || o == d {
				o.storeAway = true
				s.after(3*length, func() { o.storeAway = false })
			}
		}
	case faultStoreLoss:
		s.lossy = 30
		s.after(length, func() { s.lossy = 0 })
	case faultCut:
		for _, o := range s.daemons {
			if o != d && s.chance(60) {
				s.cuts[[2]int{d.i, o.i}] = s.now + length
				if s.chance(60) {
					s.cuts[[2]int{o.i, d.i}] = s.now + length
				}
			}
		}
	case faultRelease:
		s.release(d)
		s.after(50, func() { s.kill(d, length) })
	case faultNewLimit:
		if s.now > s.limitChangedAt+1200 && s.limit.Version == 1 {
			s.limitChangedAt = s.now
			s.limit.Rate, s.limit.Burst, s.limit.Version = s.limit.Rate/2, s.limit.Burst/2, 2
			for _, o := range s.daemons {
				s.after(s.rng.IntN(100), func() { o.limit = s.limit })
			}
		}
	}
}

// release makes a daemon give up its lease, and tell the successor some time later.
func (s *simulation) release(d *simDaemon) {
	successor := d.core.lease.nominee
	c := d.core.lease.release(s.clock(d))
	if c == nil {
		return
	}
	s.storeCall(d, c)
	process := d.process
	s.after(5, func() {
		s.run(d, process, func() {
			if !d.core.lease.isReleased || successor == nil {
				return
			}
			to, p := s.daemons[successor.ID[1]-'0'], ping{Lease: d.core.lease.known}
			s.call(d, to, func() { to.core.onPing(s.clock(to), &p) }, func() {})
		})
	})
}

// kill ends a process and starts the next one after some steps.
func (s *simulation) kill(d *simDaemon, steps int) {
	if s.now < d.deadUntil {
		return
	}
	process := d.process
	d.deadUntil = s.now + steps + 1
	s.after(steps+1, func() {
		if d.process == process {
			s.boot(d)
		}
	})
}

// advance runs one step.
func (s *simulation) advance() {
	s.now++
	due := s.queue
	s.queue = nil
	for _, e := range due {
		if e.at <= s.now {
			e.do()
			continue
		}
		s.queue = append(s.queue, e)
	}
	for _, d := range s.daemons {
		if s.now < d.deadUntil || s.now < d.frozenUntil {
			continue
		}
		inbox := d.inbox
		d.inbox = nil
		for _, f := range inbox {
			f()
		}
		for n := s.perStep; n > 0; n -= 100 {
			if s.chance(n) {
				s.take(d)
			}
		}
		if (s.now+d.i)%5 == 0 {
			s.tick(d)
		}
	}
	s.checkLender()
}

func (s *simulation) tick(d *simDaemon) {
	now := s.clock(d)
	d.holdings.sweep(now)
	ranked := make([]declarer.Member, 0, len(s.daemons))
	for _, o := range s.daemons {
		ranked = append(ranked, o.self)
	}
	call, pings := d.core.tick(now, ranked, d.i, now < d.wantedUntil)
	if call != nil {
		s.storeCall(d, call)
	}
	for _, o := range pings {
		to := s.daemons[o.to.ID[1]-'0']
		var answer pong
		s.call(d, to, func() { answer = to.core.onPing(s.clock(to), &o.message) }, func() { d.core.lease.onPong(&o, answer.Accept) })
	}
}

// runAll runs the whole plan, or until a check fails.
func (s *simulation) runAll() {
	for s.now < s.steps-1 && s.failure == "" {
		s.inject()
		s.advance()
	}
}
