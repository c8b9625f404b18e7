package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Tick looks at the time and returns the pings that are due.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.observe(now)
	n.settle(now)
	var due []Outgoing
	for _, m := range n.members {
		if m.in.State == declarer.Gone || now.Before(m.pingAt) {
			continue
		}
		m.pingAt = now.Add(n.cfg.Interval)
		due = append(due, Outgoing{To: m.in, Ping: n.ping(now, m)})
	}
	slices.SortFunc(due, func(a, b Outgoing) int { return strings.Compare(a.To.ID, b.To.ID) })
	n.dropSent(now)
	return due
}

// HandlePing answers a ping of a member of the group.
func (n *Node) HandlePing(now time.Time, p Ping) Ack {
	n.HandleRecord(now, p.From)
	ack := Ack{From: n.self, Seq: p.Seq}
	m, ok := n.members[p.From.ID]
	switch {
	case !ok || !m.is(&p.From) || m.in.State == declarer.Gone:
		// An earlier membership: it is told to join again.
		ack.Rejoin = true
	case m.expired && !n.cfg.faults.has(noExpiry):
		ack.Rejoin = true
	default:
		m.expired, m.missing = false, false
		m.ackedAt = now
		m.takeReport(p.Expired, now)
		m.known = p.Known
		n.settle(now)
		n.inherit(&p)
		ack.Accept = n.accepts(m, &p)
		ack.Drained = n.isDrained()
	}
	n.settle(now)
	ack.Told = n.told(&p)
	ack.Expired = n.expired()
	return ack
}

// HandleAck takes in the answer to one of this node's pings.
func (n *Node) HandleAck(now time.Time, a Ack) {
	n.observe(now)
	s, ok := n.sent[a.Seq]
	if !ok || s.to != a.From.ID {
		return
	}
	delete(n.sent, a.Seq)
	n.HandleRecord(now, a.From)
	m, ok := n.members[a.From.ID]
	if !ok || !m.is(&a.From) || s.term != n.self.Term && !n.cfg.faults.has(oldTerm) {
		return
	}
	if a.Rejoin {
		n.rejoin(now, n.self.Term+1)
		return
	}
	m.takeReport(a.Expired, now)
	if n.cfg.faults.has(lateFence) {
		s.at = now
	}
	if a.Accept {
		m.takeAccept(s.at)
		m.drained = m.drained || n.cfg.faults.has(oldDrain) && m.in.State == declarer.Leaving
	}
	m.drained = m.drained || a.Drained
	for _, in := range a.Told {
		n.HandleRecord(now, in)
	}
	n.settle(now)
}

// accepts reports whether the member, which this node counts live, knows all
// members that this node knows, and this node has no work left for which the
// member ranks before it.
func (n *Node) accepts(m *member, p *Ping) bool {
	f := n.cfg.faults
	if !isSubset(n.known, p.Known) && !f.has(noKnown) {
		return false
	}
	if !m.published && !f.has(noPublication) {
		return false
	}
	return f.has(noDrain) || n.cfg.InFlight(m.in.ID, false) == 0
}

// isDrained reports whether this node leaves and has no work left.
func (n *Node) isDrained() bool {
	return n.published == declarer.Leaving && n.cfg.InFlight("", true) == 0
}

// told returns the records that the sender of a ping lacks.
func (n *Node) told(p *Ping) []declarer.Instance {
	var told []declarer.Instance
	for id, m := range n.members {
		if id != p.From.ID && p.lacks(m) && len(told) < maxTold && !n.cfg.faults.has(noTold) {
			told = append(told, m.in)
		}
	}
	return told
}

// lacks reports whether the sender does not know the member, that it has ended,
// or that it has joined again since the sender expired it.
func (p *Ping) lacks(m *member) bool {
	_, knows := slices.BinarySearch(p.Known, m.key)
	if knows == (m.in.State == declarer.Gone) {
		return true
	}
	return slices.ContainsFunc(p.Expired, func(e Membership) bool {
		return e.ID == m.in.ID && e.Incarnation == m.in.Incarnation && e.Term < m.in.Term
	})
}

func (n *Node) ping(now time.Time, m *member) Ping {
	n.seq++
	n.sent[n.seq] = sentPing{to: m.in.ID, at: now, term: n.self.Term}
	return Ping{From: n.self, To: m.in.ID, Seq: n.seq, Expired: n.expired(), Known: n.known, Voters: n.voterBits()}
}

// pingAll makes a ping to every member due.
func (n *Node) pingAll(now time.Time) {
	for _, m := range n.members {
		m.pingAt = now
	}
}

// dropSent forgets pings whose ack would come too late to count.
func (n *Node) dropSent(now time.Time) {
	for seq, s := range n.sent {
		if now.Sub(s.at) > n.cfg.Fence {
			delete(n.sent, seq)
		}
	}
}
