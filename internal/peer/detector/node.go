package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Config holds the parameters of the group protocol.
type Config struct {
	// Interval is the time between two pings to a member.
	Interval time.Duration
	// Fence is how long this node may admit work after sending a ping that is accepted.
	Fence time.Duration
	// Takeover is how long after its last ack a member may be excluded and its work taken over. It
	// is longer than Fence by the drift of clocks and the longest sub-request.
	Takeover time.Duration
	// InFlight returns the number of sub-requests in flight from this daemon at upstreams for which
	// the instance with the given ID ranks before it. When leaving is true it returns the number at
	// all upstreams, whatever the ID.
	InFlight func(id string, leaving bool) int

	// faults is the set of rules that a test turns off.
	faults faults
}

// Node is the state machine of one daemon in its owner group. It is not safe for concurrent use:
// the control goroutine owns it.
type Node struct {
	cfg     Config
	self    declarer.Instance
	members map[string]*member
	// memberKeys holds the sorted keys of this node and of the members that have not ended. The
	// slice is replaced, never modified.
	memberKeys []uint32
	// voters maps the key of each member with a vote to the time at which this node learned that it
	// has ended, zero for none.
	voters map[uint32]time.Time
	// publishedState is this daemon's own state in the published permit.
	publishedState declarer.State
	// waitingSince is when this node started or resumed after a pause. While it has no voters, it
	// is when its member keys last changed.
	waitingSince time.Time
	// lastCallAt is the time of the last call of the node.
	lastCallAt   time.Time
	seq          uint64
	pendingPings map[uint64]sentPing
}

// sentPing is a ping that waits for its ack.
type sentPing struct {
	to     string
	sentAt time.Time
	term   uint64
}

// New returns a Node that has no other member yet.
func New(cfg Config, self declarer.Instance, now time.Time) *Node {
	n := &Node{
		cfg:          cfg,
		self:         self,
		members:      make(map[string]*member),
		waitingSince: now,
		lastCallAt:   now,
		pendingPings: make(map[uint64]sentPing),
		voters:       make(map[uint32]time.Time),
	}
	n.updateMemberKeys()
	return n
}

// Self returns the daemon's own record, with its current term and state.
func (n *Node) Self() declarer.Instance {
	return n.self
}

// HandleRecord applies a record of a member of the group from any source. A record that describes
// this daemon as missing or gone makes it rejoin.
func (n *Node) HandleRecord(now time.Time, record declarer.Instance) {
	n.advanceTime(now)
	if record.ID == n.self.ID {
		if record.Supersedes(&n.self) && record.Incarnation == n.self.Incarnation {
			n.rejoin(now, record.Term+1)
		}
		return
	}
	m, ok := n.members[record.ID]
	switch {
	case record.State == declarer.Gone:
		n.HandleEnded(now, record.ID, record.Incarnation)
	case !ok:
		n.addMember(now, record)
	case m.matches(&record):
		m.updateState(record.State, now)
	case record.Supersedes(&m.instance):
		n.addMember(now, record)
	}
	n.updateMembers(now)
}

// HandleEnded records that an incarnation of a member has ended. For a missing member this takes
// effect after the takeover time, when its work has ended as well.
func (n *Node) HandleEnded(now time.Time, id string, incarnation uint64) {
	n.advanceTime(now)
	m, ok := n.members[id]
	if !ok || m.instance.Incarnation > incarnation || m.instance.State == declarer.Gone {
		return
	}
	switch {
	case !m.missing || n.cfg.faults.has(noEndDelay):
		m.instance.Incarnation = incarnation
		m.markEnded()
	case m.endedAt.IsZero():
		m.endedAt = now
	}
	n.updateMembers(now)
}

// Leave sets the state of this node to leaving: it ranks first for no upstream, but continues to
// send acks.
func (n *Node) Leave(now time.Time) {
	n.advanceTime(now)
	n.self.State = declarer.Leaving
	n.schedulePings(now)
}

// Records returns the record of each other member, with its state as this node sees it, ordered by
// ID.
func (n *Node) Records() []declarer.Instance {
	records := make([]declarer.Instance, 0, len(n.members))
	for _, m := range n.members {
		record := m.instance
		if m.missing {
			record.State = declarer.Missing
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b declarer.Instance) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// addMember adds a new membership. It counts at once: this node stops admitting work at the
// upstreams for which the member ranks first.
func (n *Node) addMember(now time.Time, record declarer.Instance) {
	record.State = liveOrLeaving(record.State)
	n.members[record.ID] = newMember(record, now)
}

// rejoin starts a new term, in which no member has accepted this node yet and none is expired.
func (n *Node) rejoin(now time.Time, term uint64) {
	n.self.Term = max(term, n.self.Term+1)
	if !n.cfg.faults.has(oldTerm) {
		clear(n.pendingPings)
	}
	for id, m := range n.members {
		if m.instance.State != declarer.Gone {
			n.members[id] = newMember(m.instance, now)
		}
	}
	n.updateMembers(now)
}

// isInGroup reports whether a member belongs to the group: it is neither excluded nor ended.
func isInGroup(m *member) bool {
	return !m.missing && m.instance.State != declarer.Gone
}

// liveOrLeaving returns Leaving for Leaving, and Live for all other states. A node uses only the
// state that a member gives itself, not the state that others see it in.
func liveOrLeaving(s declarer.State) declarer.State {
	if s == declarer.Leaving {
		return declarer.Leaving
	}
	return declarer.Live
}
