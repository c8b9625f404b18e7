package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Config holds the times of the group protocol.
type Config struct {
	// Interval is the time between two pings to a member.
	Interval time.Duration
	// Fence is how long after the sending of an accepted ping this node may admit
	// work.
	Fence time.Duration
	// Takeover is how long after its last ack a member's work is taken over. It
	// is longer than Fence by the drift of clocks and the longest sub-request.
	Takeover time.Duration
	// InFlight returns how many sub-requests this daemon runs at upstreams for
	// which the instance with the given ID ranks before it; all of them when
	// leaving, whatever the ID.
	InFlight func(id string, leaving bool) int

	faults faults
}

// Node is one daemon's part in its owner group. It is not safe for concurrent
// use: the control goroutine owns it.
type Node struct {
	cfg     Config
	self    declarer.Instance
	members map[string]*member
	// known holds the keys of this node and of the members that have not ended,
	// sorted. It is replaced, never changed.
	known []uint32
	// voters holds the keys of the members with a vote, and when this node learned
	// that they have ended.
	voters map[uint32]time.Time
	// published is this daemon's own state in the published permit.
	published declarer.State
	// start is when this node started, and while it has no voters when the members
	// that it knows changed last.
	start time.Time
	// seenAt is when the node was last called.
	seenAt time.Time
	seq    uint64
	sent   map[uint64]sentPing
}

// sentPing is a ping that may still be acked.
type sentPing struct {
	to   string
	at   time.Time
	term uint64
}

// New returns a Node that knows of no other member yet.
func New(cfg Config, self declarer.Instance, now time.Time) *Node {
	n := &Node{
		cfg:     cfg,
		self:    self,
		members: make(map[string]*member),
		start:   now,
		seenAt:  now,
		sent:    make(map[uint64]sentPing),
		voters:  make(map[uint32]time.Time),
	}
	n.renewKnown()
	return n
}

// Self returns the daemon's own record, with its present term and state.
func (n *Node) Self() declarer.Instance {
	return n.self
}

// HandleRecord takes in a record of a member of the group, heard from anywhere. A
// record about this daemon that takes it for missing or gone makes it join
// again.
func (n *Node) HandleRecord(now time.Time, in declarer.Instance) {
	n.observe(now)
	if in.ID == n.self.ID {
		if in.Supersedes(&n.self) && in.Incarnation == n.self.Incarnation {
			n.rejoin(now, in.Term+1)
		}
		return
	}
	m, ok := n.members[in.ID]
	switch {
	case in.State == declarer.Gone:
		n.HandleEnded(now, in.ID, in.Incarnation)
	case !ok:
		n.add(now, in)
	case m.is(&in):
		m.takeState(in.State, now)
	case in.Supersedes(&m.in):
		n.add(now, in)
	}
	n.settle(now)
}

// HandleEnded takes in that a member's incarnation has ended. That of a missing
// member takes effect a takeover time later, when its work has ended too.
func (n *Node) HandleEnded(now time.Time, id string, incarnation uint64) {
	n.observe(now)
	m, ok := n.members[id]
	if !ok || m.in.Incarnation > incarnation || m.in.State == declarer.Gone {
		return
	}
	switch {
	case !m.missing || n.cfg.faults.has(noDelay):
		m.in.Incarnation = incarnation
		m.end()
	case m.endedAt.IsZero():
		m.endedAt = now
	}
	n.settle(now)
}

// Leave makes the node rank for nothing; it goes on acking.
func (n *Node) Leave(now time.Time) {
	n.observe(now)
	n.self.State = declarer.Leaving
	n.pingAll(now)
}

// Records returns each other member with the state that this node judges it to
// be in, ordered by ID.
func (n *Node) Records() []declarer.Instance {
	records := make([]declarer.Instance, 0, len(n.members))
	for _, m := range n.members {
		in := m.in
		if m.missing {
			in.State = declarer.Missing
		}
		records = append(records, in)
	}
	slices.SortFunc(records, func(a, b declarer.Instance) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// add counts a new membership in at once: this node stops admitting for what it
// ranks first for.
func (n *Node) add(now time.Time, in declarer.Instance) {
	in.State = leavingOnly(in.State)
	n.members[in.ID] = newMember(in, now)
}

// rejoin starts a new term: nothing is accepted, nobody expired.
func (n *Node) rejoin(now time.Time, term uint64) {
	n.self.Term = max(term, n.self.Term+1)
	if !n.cfg.faults.has(oldTerm) {
		clear(n.sent)
	}
	for id, m := range n.members {
		if m.in.State != declarer.Gone {
			n.members[id] = newMember(m.in, now)
		}
	}
	n.settle(now)
}

// counted reports whether a member is one of the group: neither excluded nor
// ended.
func counted(m *member) bool {
	return !m.missing && m.in.State != declarer.Gone
}

// leavingOnly drops what others judged a member to be; only what it says of
// itself counts here.
func leavingOnly(s declarer.State) declarer.State {
	if s == declarer.Leaving {
		return declarer.Leaving
	}
	return declarer.Live
}
