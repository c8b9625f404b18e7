package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Tick applies the passing of time and returns the pings that are due, ordered by the ID of their
// recipient.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.advanceTime(now)
	n.updateMembers(now)
	var due []Outgoing
	for _, m := range n.members {
		if m.instance.State == declarer.Gone || now.Before(m.pingAt) {
			continue
		}
		m.pingAt = now.Add(n.cfg.Interval)
		due = append(due, Outgoing{To: m.instance, Ping: n.newPing(now, m)})
	}
	slices.SortFunc(due, func(a, b Outgoing) int { return strings.Compare(a.To.ID, b.To.ID) })
	n.dropOldPings(now)
	return due
}

// HandlePing returns the ack of a ping from a member of the group.
func (n *Node) HandlePing(now time.Time, p Ping) Ack {
	n.HandleRecord(now, p.From)
	ack := Ack{From: n.self, Seq: p.Seq}
	m, ok := n.members[p.From.ID]
	switch {
	case !ok || !m.matches(&p.From) || m.instance.State == declarer.Gone:
		// The ping is from an earlier membership.
		ack.Rejoin = true
	case m.expired && !n.cfg.faults.has(noExpiry):
		ack.Rejoin = true
	default:
		m.expired, m.missing = false, false
		m.ackedAt = now
		m.updateReport(p.Expired, now)
		m.memberKeys = p.MemberKeys
		n.updateMembers(now)
		n.adoptVoters(&p)
		ack.Accept = n.accepts(m, &p)
		ack.Drained = n.isDrained()
	}
	n.updateMembers(now)
	ack.Records = n.recordsFor(&p)
	ack.Expired = n.expiredMemberships()
	return ack
}

// HandleAck applies the ack of one of this node's pings.
func (n *Node) HandleAck(now time.Time, a Ack) {
	n.advanceTime(now)
	s, ok := n.pendingPings[a.Seq]
	if !ok || s.to != a.From.ID {
		return
	}
	delete(n.pendingPings, a.Seq)
	n.HandleRecord(now, a.From)
	m, ok := n.members[a.From.ID]
	if !ok || !m.matches(&a.From) || s.term != n.self.Term && !n.cfg.faults.has(oldTerm) {
		return
	}
	if a.Rejoin {
		n.rejoin(now, n.self.Term+1)
		return
	}
	m.updateReport(a.Expired, now)
	if n.cfg.faults.has(lateFence) {
		s.sentAt = now
	}
	if a.Accept {
		m.recordAccept(s.sentAt)
		m.drained = m.drained || n.cfg.faults.has(oldDrain) && m.instance.State == declarer.Leaving
	}
	m.drained = m.drained || a.Drained
	for _, record := range a.Records {
		n.HandleRecord(now, record)
	}
	n.updateMembers(now)
}

// accepts reports whether this node accepts the ping of a live member: the member keys of the ping
// include all those of this node, the published permit includes the member, and this node has no
// work left at upstreams for which the member ranks before it.
func (n *Node) accepts(m *member, p *Ping) bool {
	f := n.cfg.faults
	if !isSubset(n.memberKeys, p.MemberKeys) && !f.has(noKnown) {
		return false
	}
	if !m.inPublishedPermit && !f.has(noPublication) {
		return false
	}
	return f.has(noDrain) || n.cfg.InFlight(m.instance.ID, false) == 0
}

// isDrained reports whether this node is leaving and has no work left.
func (n *Node) isDrained() bool {
	return n.publishedState == declarer.Leaving && n.cfg.InFlight("", true) == 0
}

// recordsFor returns the records that the sender of a ping lacks, at most maxRecords.
func (n *Node) recordsFor(p *Ping) []declarer.Instance {
	var records []declarer.Instance
	for id, m := range n.members {
		if id != p.From.ID && p.lacksRecordOf(m) && len(records) < maxRecords && !n.cfg.faults.has(noRecords) {
			records = append(records, m.instance)
		}
	}
	return records
}

// lacksRecordOf reports whether the sender lacks the latest record of a member: the member is not
// in its member keys, or is in them although it has ended, or has rejoined since the sender expired
// it.
func (p *Ping) lacksRecordOf(m *member) bool {
	_, listed := slices.BinarySearch(p.MemberKeys, m.key)
	if listed == (m.instance.State == declarer.Gone) {
		return true
	}
	return slices.ContainsFunc(p.Expired, func(e Membership) bool {
		return e.ID == m.instance.ID && e.Incarnation == m.instance.Incarnation && e.Term < m.instance.Term
	})
}

func (n *Node) newPing(now time.Time, m *member) Ping {
	n.seq++
	n.pendingPings[n.seq] = sentPing{to: m.instance.ID, sentAt: now, term: n.self.Term}
	return Ping{
		From: n.self, To: m.instance.ID, Seq: n.seq,
		Expired: n.expiredMemberships(), MemberKeys: n.memberKeys, Voters: n.voterBits(),
	}
}

// schedulePings makes a ping to every member due now.
func (n *Node) schedulePings(now time.Time) {
	for _, m := range n.members {
		m.pingAt = now
	}
}

// dropOldPings deletes the pings whose ack would arrive after their fence time.
func (n *Node) dropOldPings(now time.Time) {
	for seq, s := range n.pendingPings {
		if now.Sub(s.sentAt) > n.cfg.Fence {
			delete(n.pendingPings, seq)
		}
	}
}
