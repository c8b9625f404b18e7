package lender

import (
	"net/netip"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

var (
	holderA    = declarer.Member{ID: "a", Zone: "x", Peer: netip.MustParseAddrPort("10.0.0.1:1")}
	successorB = declarer.Member{ID: "b", Zone: "y", Peer: netip.MustParseAddrPort("10.0.0.2:1")}
)

const testStart = time.Hour

// ofHolder returns a lease of the holder a that names b.
func ofHolder(revision uint64) Lease {
	return Lease{Record: Record{Holder: holderA, Term: 5, Sequence: revision, Successor: &successorB}, Revision: revision}
}

// newSuccessor returns the lease state of b after it accepted a ping of a.
func newSuccessor(t *testing.T) *lease {
	t.Helper()
	l := newLease(testConfig(), successorB, 9, testStart)
	if !l.onPing(testStart, &ping{Lease: ofHolder(3), Nominee: true}) {
		t.Fatal("the first ping was not accepted")
	}
	return l
}

// TestSuccessorKeepsPromise checks that a successor writes only once its takeover time has passed, and accepts no ping while its
// write may be applied: the holder would go on granting beside it.
func TestSuccessorKeepsPromise(t *testing.T) {
	cfg := testConfig()
	l := newSuccessor(t)
	if c := l.next(testStart+cfg.FenceTime, 1, false); c != nil {
		t.Fatalf("%+v within the fence", c)
	}
	at := testStart + cfg.TakeoverTime
	c := l.next(at, 1, false)
	if c == nil || c.isRead || c.condition != 3 {
		t.Fatalf("%+v after the takeover time, want a write on condition of revision 3", c)
	}
	again := ping{Lease: ofHolder(3), Nominee: true}
	if l.onPing(at, &again) {
		t.Error("a ping was accepted during the write")
	}
	l.onFailed(at, c, true)
	if l.onPing(at, &again) {
		t.Error("a ping was accepted although the write may be applied yet")
	}
	if !l.onPing(at, &ping{Lease: ofHolder(4), Nominee: true}) {
		t.Error("a ping was refused although the write cannot be applied any more")
	}
}

// TestSuccessorAfterRefusedWrite checks that a successor whose write was surely not applied accepts pings again.
func TestSuccessorAfterRefusedWrite(t *testing.T) {
	l := newSuccessor(t)
	at := testStart + testConfig().TakeoverTime
	l.onFailed(at, l.next(at, 1, false), false)
	if !l.onPing(at, &ping{Lease: ofHolder(3), Nominee: true}) {
		t.Error("a ping was refused although nothing was written")
	}
}

// TestHolderDatesLeaseBySending checks that a lease counts from when its write was sent, not answered.
func TestHolderDatesLeaseBySending(t *testing.T) {
	cfg := testConfig()
	l := newLease(cfg, holderA, 5, testStart)
	read := l.next(testStart+cfg.CandidateTime, 0, false)
	l.onStored(testStart+cfg.CandidateTime, read, Lease{})
	sentAt := testStart + cfg.CandidateTime
	c := l.next(sentAt, 0, false)
	if c == nil || c.isRead {
		t.Fatalf("%+v, want a write", c)
	}
	if !l.onWritten(sentAt+300*time.Millisecond, c, 1) || !l.mayGrant(sentAt+cfg.LeaseTime-1) {
		t.Error("not the lender after the write")
	}
	if l.mayGrant(sentAt + cfg.LeaseTime) {
		t.Error("the lease counts from the answer")
	}
}

// TestLostAnswerIsTakenUp checks that a daemon whose write was applied without an answer does not wait for its own lease.
func TestLostAnswerIsTakenUp(t *testing.T) {
	cfg := testConfig()
	l := newSuccessor(t)
	at := testStart + cfg.TakeoverTime
	c := l.next(at, 1, false)
	l.onFailed(at, c, true)
	at += cfg.FailurePause
	second := l.next(at, 1, false)
	own := Lease{Record: c.record, Revision: 4}
	l.onStored(at, second, own)
	if l.mayGrant(at) {
		t.Error("grants without an answer to its write")
	}
	at += cfg.PingInterval
	if c := l.next(at, 1, false); c == nil || c.condition != 4 {
		t.Errorf("%+v, want a write on condition of its own lease", c)
	}
}

// TestRestartedHolder checks that the next process of the lender takes the lease at once, and one at another address does
// not: there the former process may still run.
func TestRestartedHolder(t *testing.T) {
	cfg := testConfig()
	for _, isMoved := range []bool{false, true} {
		self := holderA
		if isMoved {
			self.Peer = successorB.Peer
		}
		l := newLease(cfg, self, 6, testStart)
		at := testStart + cfg.CandidateTime
		l.onStored(at, l.next(at, 0, false), ofHolder(3))
		c := l.next(at, 0, false)
		if isWrite := c != nil && !c.isRead; isWrite == isMoved {
			t.Errorf("moved %t: %+v", isMoved, c)
		}
	}
}

// TestCreditOncePerWindow checks that a lender that follows one of a short time gets no credit: the credit of both would
// fall into one window.
func TestCreditOncePerWindow(t *testing.T) {
	cfg := testConfig()
	for held, want := range map[time.Duration]bool{time.Second: false, 2 * cfg.Window: false, 3 * cfg.Window: true} {
		l := newSuccessor(t)
		l.known.Record.Held = held
		if c := l.next(testStart+cfg.TakeoverTime, 1, false); c.hasCredit != want {
			t.Errorf("credit %t after a lender of %s, want %t", c.hasCredit, held, want)
		}
	}
}

// TestRestoredStore checks a store that was restored from an older copy: the holder writes its lease again at once, and a
// daemon that finds none where there was one waits for the lease's time.
func TestRestoredStore(t *testing.T) {
	cfg := testConfig()
	l := newLease(cfg, holderA, 5, testStart)
	at := testStart + cfg.CandidateTime
	l.onStored(at, l.next(at, 0, false), Lease{})
	l.onWritten(at, l.next(at, 0, false), 50)
	at += cfg.RenewInterval
	l.onStored(at, l.next(at, 0, false), Lease{Revision: 20, Record: Record{Holder: successorB, Term: 2, Sequence: 9}})
	at += cfg.RenewInterval
	c := l.next(at, 0, false)
	if !l.mayGrant(at) || c == nil || c.condition != 20 {
		t.Errorf("granting %t, call %+v, want a write on condition of revision 20", l.mayGrant(at), c)
	}
	other := newSuccessor(t)
	at = testStart + 2*time.Second
	other.promisedTo = 0
	other.onStored(at, other.next(at, 1, false), Lease{})
	if c := other.next(at+time.Millisecond, 1, false); c != nil {
		t.Errorf("%+v although a lender may hold the lease that is missing", c)
	}
}

// TestRestoredEra guards against a holder that never writes its lease again since the revision of the new era is higher while the record
// is older, and against one that replaces the lender which followed it.
func TestRestoredEra(t *testing.T) {
	cfg := testConfig()
	inEra := func(revision uint64) uint64 {
		p, err := declarer.Position(1, revision)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	for _, tt := range []struct {
		name string
		// stored is the lease of the new era, found pause after the last write.
		stored  Lease
		pause   time.Duration
		isKept  bool
		written uint64
	}{
		{"own, older", Lease{Revision: inEra(20), Record: Record{Holder: holderA, Term: 5, Sequence: 0}}, cfg.RenewInterval, true, inEra(20)},
		{"of the holder before", Lease{Revision: inEra(20), Record: Record{Holder: successorB, Term: 2, Sequence: 9}}, cfg.RenewInterval, true, inEra(20)},
		{"of the holder after", Lease{Revision: inEra(20), Record: Record{Holder: successorB, Term: 2, Sequence: 9}}, cfg.LeaseTime, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newLease(cfg, holderA, 5, testStart)
			at := testStart + cfg.CandidateTime
			l.onStored(at, l.next(at, 0, false), Lease{})
			l.onWritten(at, l.next(at, 0, false), 50)
			at += tt.pause
			l.onStored(at, l.next(at, 0, false), tt.stored)
			if l.holding != tt.isKept {
				t.Fatalf("holding %t, want %t", l.holding, tt.isKept)
			}
			at += cfg.RenewInterval
			c := l.next(at, 0, false)
			if tt.isKept && (c == nil || c.condition != tt.written) || !tt.isKept && c != nil && !c.isRead {
				t.Errorf("call %+v, want a write on condition of %d", c, tt.written)
			}
		})
	}
}
