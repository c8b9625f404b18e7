package lender

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// lease decides when this daemon is the lender. It makes no calls: next returns what to do, and the on... methods take the
// outcomes. All times are of this daemon's boot clock.
//
// At most one daemon grants at a time (docs/design/allotments.md):
//   - A holder grants until LeaseTime after it sent its last write that succeeded. Anyone else waits until it has seen the
//     same revision for that time, and writes on condition of that revision.
//   - A holder that may have named a successor grants only until FenceTime after it sent the last ping that the successor
//     accepted. The successor may write, on condition of a revision that names it, once it has accepted none for
//     TakeoverTime, and accepts none while its own write may be applied.
type lease struct {
	cfg  *Config
	self declarer.Member
	// term identifies this process.
	term uint64

	// known is the newest lease that was seen, first at seenAt.
	known  Lease
	seenAt time.Duration
	// wasKnown is true once there was a lease.
	wasKnown bool
	// heardAt is when this daemon last heard from a lender, or was one.
	heardAt time.Duration
	// readAt is when the last read of the store began. isCalling is true during a call to the store.
	readAt    time.Duration
	isCalling bool
	hasRead   bool

	// holding is true when the known lease is this process's own; until is its end and startedAt its begin.
	holding   bool
	until     time.Duration
	startedAt time.Duration
	writtenAt time.Duration
	// failedAt is when a call to the store last failed.
	failedAt time.Duration
	// nominee is the daemon that is, or will be, the successor. acceptedAt is when the last ping was sent that it
	// accepted, mayBeNamed is true when a lease that names it may be in the store.
	nominee     *declarer.Member
	nominatedAt time.Duration
	hasAccepted bool
	acceptedAt  time.Duration
	mayBeNamed  bool
	// answeredAt is when the last ping was sent that another daemon of another zone answered.
	answeredAt time.Duration
	// rejected holds until when a daemon is not nominated since it did not answer, by ID, and the same of its zone.
	rejected, rejectedZones map[string]time.Duration
	pingedAt, announcedAt   time.Duration
	// isReleasing is true from the start of the shutdown, isReleased once the lease was given up.
	isReleasing, isReleased bool
	lastSequence            uint64

	// promisedTo is the term of the holder whose ping this daemon accepted last, at promisedAt. unsettled is the revision
	// on whose condition a write of this daemon may still be applied; 0 when there is none.
	promisedTo uint64
	promisedAt time.Duration
	unsettled  uint64
	isPending  bool
}

func newLease(cfg *Config, self declarer.Member, term uint64, now time.Duration) *lease {
	return &lease{
		cfg: cfg, self: self, term: term, heardAt: now - cfg.CandidateTime/2, readAt: now - maxCandidates*cfg.ReadInterval,
		rejected: make(map[string]time.Duration), rejectedZones: make(map[string]time.Duration),
	}
}

// mayGrant reports whether this daemon is the lender.
func (l *lease) mayGrant(now time.Duration) bool {
	if !l.holding || l.isReleasing || now >= l.until {
		return false
	}
	return !l.mayBeNamed || l.hasAccepted && now < l.acceptedAt+l.cfg.FenceTime
}

// storeCall is a call to the store: a write of a record on condition of a revision, or a read.
type storeCall struct {
	isRead    bool
	record    Record
	condition uint64
	sentAt    time.Duration
	// hasCredit is true for a write by which a new lender begins that may use its part of the tolerance.
	hasCredit bool
	// reason says why, for the log.
	reason string
}

// isNewer reports whether a lease was written after another one. Within a term the sequence counts, which goes on when the
// store was restored from an older copy.
func isNewer(a, b *Lease) bool {
	if a.Record.Term == b.Record.Term && a.Revision != 0 && b.Revision != 0 {
		return a.Record.Sequence > b.Record.Sequence
	}
	return a.Revision > b.Revision
}

// observe takes a lease that is or was in the store.
func (l *lease) observe(now time.Duration, seen Lease) {
	if !isNewer(&seen, &l.known) {
		return
	}
	if l.holding && seen.Record.Term != l.term {
		l.stepDown()
	}
	l.setKnown(now, seen)
}

func (l *lease) setKnown(now time.Duration, seen Lease) {
	if l.unsettled != 0 && seen.Revision != l.unsettled {
		l.unsettled = 0
	}
	l.known, l.seenAt = seen, now
	l.wasKnown = l.wasKnown || seen.Revision != 0
}

func (l *lease) stepDown() {
	l.holding, l.nominee, l.mayBeNamed, l.hasAccepted = false, nil, false, false
}

// next returns the call to the store that is due, or nil. index is this daemon's place in the ranking of the fleet, and
// isWanted true when requests of this daemon find no lender.
func (l *lease) next(now time.Duration, index int, isWanted bool) *storeCall {
	if l.isCalling || l.isReleased || l.failedAt > 0 && now < l.failedAt+l.cfg.FailurePause {
		return nil
	}
	c := l.decide(now, index, isWanted)
	if c == nil {
		return nil
	}
	c.sentAt = now
	l.isCalling = true
	if c.isRead {
		l.readAt = now
		return c
	}
	l.writtenAt = now
	l.lastSequence++
	c.record.Sequence = l.lastSequence
	l.unsettled, l.isPending = c.condition, true
	if c.record.Successor != nil {
		l.mayBeNamed = true
	}
	return c
}

func (l *lease) decide(now time.Duration, index int, isWanted bool) *storeCall {
	if l.holding {
		return l.decideHolder(now)
	}
	if l.isReleasing {
		return nil
	}
	rec := &l.known.Record
	switch {
	case now < l.writtenAt+l.cfg.PingInterval:
		return nil
	case l.known.Revision != 0 && rec.Term == l.term && rec.Holder.ID == l.self.ID:
		return l.acquire("the answer to a write of this process was lost")
	case l.known.Revision != 0 && rec.Holder.ID == "" && rec.names(l.self.ID):
		return l.acquire("the lender stopped and named this daemon")
	case l.mayReplaceHolder(now):
		return l.acquire("the lender has not been heard and had named this daemon")
	}
	wait := l.cfg.CandidateTime + time.Duration(min(index, maxCandidates))*l.cfg.CandidateStep
	readInterval := l.cfg.ReadInterval
	if index >= maxCandidates {
		readInterval *= maxCandidates
	}
	if index >= maxCandidates && !isWanted || now < l.heardAt+wait {
		return nil
	}
	if now >= l.readAt+readInterval {
		return &storeCall{isRead: true, reason: "no lender has been heard"}
	}
	hasExpired := now >= l.seenAt+withDrift(l.cfg.LeaseTime)
	switch {
	case !l.hasRead || l.readAt < l.heardAt:
		return nil
	case l.known.Revision == 0 && (!l.wasKnown || hasExpired), l.known.Revision != 0 && rec.Holder.ID == "":
		return l.acquire("nobody holds the lease")
	case l.known.Revision != 0 && rec.Holder.ID == l.self.ID && rec.Holder.Peer == l.self.Peer:
		// This process listens where that one did, so that one has ended.
		return l.acquire("an earlier process of this daemon held the lease")
	case l.known.Revision != 0 && hasExpired:
		return l.acquire("the lease has expired")
	default:
		return nil
	}
}

// maxCandidates is the number of daemons that apply for the lease without a request that needs it.
const maxCandidates = 4

// mayReplaceHolder reports whether this daemon may replace the holder that named it.
func (l *lease) mayReplaceHolder(now time.Duration) bool {
	return l.known.Revision != 0 && l.known.Record.names(l.self.ID) && l.promisedTo == l.known.Record.Term &&
		l.promisedTo != 0 && now >= l.promisedAt+l.cfg.TakeoverTime
}

// acquire returns the write that makes this daemon the lender. The credit of two lenders must not fall into one window.
func (l *lease) acquire(reason string) *storeCall {
	hasCredit := !l.wasKnown || l.known.Record.Held >= 2*withDrift(l.cfg.Window)
	return &storeCall{record: Record{Holder: l.self, Term: l.term}, condition: l.known.Revision, hasCredit: hasCredit, reason: reason}
}

func (l *lease) decideHolder(now time.Duration) *storeCall {
	rec := Record{Holder: l.self, Term: l.term, Held: max(0, now-l.startedAt)}
	if l.mayBeNamed || l.isNameable(now) {
		rec.Successor = l.nominee
	}
	c := &storeCall{record: rec, condition: l.known.Revision, reason: reasonRenewal}
	switch {
	case l.isReleasing:
		return nil
	case now < l.writtenAt+l.cfg.PingInterval:
		return nil
	case l.mayBeNamed && now >= l.acceptedAt+l.cfg.DropTime && l.isConnected(now):
		c.record.Successor, c.reason = nil, "the successor does not answer"
		return c
	case now >= l.writtenAt+l.cfg.RenewInterval:
		return c
	default:
		return nil
	}
}

// reasonRenewal is the reason of the writes that only keep the lease.
const reasonRenewal = "renewal"

// release makes this daemon hold no lease from now on. It returns the write that gives up the one it holds, or nil. A write
// that is in flight may make it invalid; then the successor begins when its takeover time has passed.
func (l *lease) release(now time.Duration) *storeCall {
	l.isReleasing = true
	if !l.holding || l.isCalling {
		return nil
	}
	l.isCalling = true
	l.lastSequence++
	l.unsettled, l.isPending = l.known.Revision, true
	rec := Record{Term: l.term, Sequence: l.lastSequence, Held: max(0, now-l.startedAt), Successor: l.nominee}
	return &storeCall{record: rec, condition: l.known.Revision, sentAt: now, reason: "the daemon stops"}
}

// isConnected reports whether it is the successor that cannot be reached, and not this daemon: a daemon of another zone has
// answered since, or the successor would have replaced this daemon by now.
//
// Load pattern: the lender is cut off from the other daemons and reaches the store.
func (l *lease) isConnected(now time.Duration) bool {
	return l.answeredAt >= l.acceptedAt || now >= l.acceptedAt+2*l.cfg.TakeoverTime
}

// isNameable reports whether the nominee has accepted a ping a short time ago.
func (l *lease) isNameable(now time.Duration) bool {
	return l.nominee != nil && l.hasAccepted && now < l.acceptedAt+l.cfg.DropTime
}

// onWritten takes the success of a write. It returns true when this daemon has become the lender.
func (l *lease) onWritten(now time.Duration, c *storeCall, revision uint64) bool {
	l.isCalling, l.isPending = false, false
	written := Lease{Record: c.record, Revision: revision}
	if l.known.Revision != c.condition && !isNewer(&written, &l.known) {
		// The lease of another lender, which replaced this one, was seen meanwhile.
		return false
	}
	l.setKnown(now, written)
	if c.record.Holder.ID == "" {
		l.holding, l.isReleased = false, true
		return false
	}
	began := !l.holding
	if began {
		l.holding, l.startedAt = true, now
		l.nominee, l.hasAccepted = nil, false
	}
	l.until = c.sentAt + l.cfg.LeaseTime
	l.heardAt = now
	if c.record.Successor == nil {
		if l.mayBeNamed && l.nominee != nil {
			l.reject(now)
		}
		l.mayBeNamed = false
	}
	return began
}

// onStored takes the lease that a read returned, or that kept a write from being applied. It may be of an earlier write of
// this process whose answer was lost. Revision 0 means that there is none.
func (l *lease) onStored(now time.Duration, c *storeCall, current Lease) {
	l.isCalling, l.isPending, l.hasRead = false, false, true
	isLaterEra := declarer.Era(current.Revision) > declarer.Era(l.known.Revision)
	isOlder := (current.Revision < l.known.Revision || isLaterEra) && c.sentAt >= l.seenAt
	if !isOlder {
		l.observe(now, current)
		return
	}
	// The store was restored from an older copy, or the lease was deleted. A holder writes it again, and holds it until
	// its time at most; others wait as long. A holder whose time has passed may have been replaced since.
	if isLaterEra && l.holding && current.Record.Term != l.term && !l.mayGrant(now) {
		l.stepDown()
	}
	l.setKnown(now, current)
}

// onFailed takes the failure of a call. A write that may have been applied stays unsettled.
func (l *lease) onFailed(now time.Duration, c *storeCall, mayBeApplied bool) {
	l.isCalling, l.failedAt = false, now
	if c.isRead {
		return
	}
	l.isPending = false
	if !mayBeApplied {
		l.unsettled = 0
	}
}

// onPing takes a ping of a holder and reports whether this daemon accepts it.
func (l *lease) onPing(now time.Duration, p *ping) bool {
	if isNewer(&l.known, &p.Lease) {
		return false
	}
	l.observe(now, p.Lease)
	if p.Lease.Record.Holder.ID == "" {
		return false
	}
	l.heardAt = now
	if !p.Nominee || l.holding || l.isReleasing || l.isPending || l.unsettled != 0 {
		return false
	}
	l.promisedTo, l.promisedAt = p.Lease.Record.Term, now
	return true
}

// outgoing is a ping to send.
type outgoing struct {
	to      declarer.Member
	message ping
	sentAt  time.Duration
}

// pings returns the pings that are due. ranked holds the fleet's daemons in their order of rank.
func (l *lease) pings(now time.Duration, ranked []declarer.Member) []outgoing {
	if !l.holding || l.isReleasing || now >= l.until {
		return nil
	}
	var out []outgoing
	if l.nominee == nil {
		l.nominate(now, ranked)
	}
	if l.nominee != nil && !l.hasAccepted && !l.mayBeNamed && now >= l.nominatedAt+l.cfg.DropTime {
		l.reject(now)
		l.nominate(now, ranked)
	}
	if l.nominee != nil && now >= l.pingedAt+l.cfg.PingInterval {
		l.pingedAt = now
		out = append(out, outgoing{to: *l.nominee, message: ping{Lease: l.known, Nominee: true}, sentAt: now})
	}
	if now >= l.announcedAt+l.cfg.AnnounceInterval {
		l.announcedAt = now
		for _, m := range audience(l.self.ID, ranked) {
			if l.nominee == nil || m.ID != l.nominee.ID {
				out = append(out, outgoing{to: m, message: ping{Lease: l.known}, sentAt: now})
			}
		}
	}
	return out
}

const (
	// rejectTime is how long a daemon that did not answer is not nominated again, rejectZoneTime how long daemons of other
	// zones are preferred to those of its zone.
	rejectTime     = 10 * time.Second
	rejectZoneTime = 3 * time.Second
)

// reject drops a nominee that does not answer.
func (l *lease) reject(now time.Duration) {
	l.rejected[l.nominee.ID] = now + rejectTime
	l.rejectedZones[l.nominee.Zone] = now + rejectZoneTime
	l.nominee, l.hasAccepted = nil, false
}

// nominate chooses the successor: the first ranked daemon of another zone, one whose daemons are not known to be out of
// reach, or else of this one.
func (l *lease) nominate(now time.Duration, ranked []declarer.Member) {
	if l.mayBeNamed {
		return
	}
	best, bestCost := -1, 0
	for i := range ranked {
		m := &ranked[i]
		if m.ID == l.self.ID || now < l.rejected[m.ID] {
			continue
		}
		cost := 0
		switch {
		case m.Zone == l.self.Zone:
			cost = 1
		case now < l.rejectedZones[m.Zone]:
			cost = 2
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	for id, until := range l.rejected {
		if now >= until {
			delete(l.rejected, id)
		}
	}
	if best < 0 {
		return
	}
	chosen := ranked[best]
	l.nominee, l.nominatedAt, l.hasAccepted = &chosen, now, false
}

// onPong takes the answer to a ping.
func (l *lease) onPong(o *outgoing, accepted bool) {
	isNominee := l.nominee != nil && l.nominee.ID == o.to.ID
	if !isNominee && o.to.Zone != l.self.Zone {
		l.answeredAt = max(l.answeredAt, o.sentAt)
	}
	if !l.holding || !isNominee || !o.message.Nominee || !accepted {
		return
	}
	l.acceptedAt = max(l.acceptedAt, o.sentAt)
	l.hasAccepted = true
}

// audience returns the daemons that a lender tells of itself: those that apply for the lease, and those that grant in their
// zones without a lender.
func audience(self string, ranked []declarer.Member) []declarer.Member {
	var out []declarer.Member
	inZone := make(map[string]int)
	for i, m := range ranked {
		inZone[m.Zone]++
		if m.ID != self && (i < maxCandidates || inZone[m.Zone] <= localDaemons) {
			out = append(out, m)
		}
	}
	return out
}
