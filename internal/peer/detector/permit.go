package detector

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/assigner"
)

// Permit says what this daemon may admit. It never changes.
type Permit struct {
	self string
	// live holds this daemon, when it is live, and the live members.
	live []declarer.Instance
	// until is when the first of the live members has been silent too long; zero
	// when one of them has not accepted this daemon.
	until time.Time
	// leaving holds the members that leave and still have work.
	leaving []declarer.Instance
	// num/den is the share of a warm upstream.
	num, den int
	// ranked holds the members, this daemon too, when the share is a part, to rank
	// cold upstreams by; backing says which are voters that support this daemon.
	ranked  []declarer.Instance
	backing []bool
}

// nobody is the share that admits nothing.
var nobody = exchanger.Share{Num: 0, Den: 1}

// Permit returns what this daemon may admit as of its last call. The caller
// publishes it to the traffic before it calls the node again: until then, work
// may be admitted that the node does not permit any more, so that it accepts no
// member that the permit does not count in.
func (n *Node) Permit() *Permit {
	n.published = n.self.State
	p := &Permit{self: n.self.ID, until: n.until()}
	if n.self.State == declarer.Live {
		p.live = append(p.live, n.self)
	}
	for _, m := range n.members {
		m.published = counted(m)
		switch {
		case !counted(m):
		case m.in.State == declarer.Live:
			p.live = append(p.live, m.in)
		case !m.drained:
			p.leaving = append(p.leaving, m.in)
		}
	}
	n.setShare(p)
	return p
}

// Share returns what this daemon may admit to an upstream at now.
func (p *Permit) Share(now time.Time, upstreamKey string) exchanger.Share {
	if !now.Before(p.until) || !p.isFirst(upstreamKey) || !p.isDrained(upstreamKey) {
		return nobody
	}
	s := exchanger.Share{Num: p.num, Den: p.den, AllowCold: p.num == p.den, ValidUntil: p.until}
	if !s.AllowCold && p.num > 0 {
		s.AllowCold = p.hasFirst(upstreamKey)
	}
	return s
}

// isFirst reports whether this daemon ranks first for an upstream.
func (p *Permit) isFirst(key string) bool {
	i := assigner.Owner(key, p.live)
	return i >= 0 && p.live[i].ID == p.self
}

// isDrained reports whether no leaving member may have work at an upstream.
func (p *Permit) isDrained(key string) bool {
	for _, in := range p.leaving {
		in.State = declarer.Live
		pair := []declarer.Instance{{ID: p.self}, in}
		if assigner.Owner(key, pair) == 1 {
			return false
		}
	}
	return true
}

// hasFirst reports whether the member that ranks first for an upstream is a voter
// on this daemon's side.
func (p *Permit) hasFirst(key string) bool {
	i := assigner.Owner(key, p.ranked)
	return i >= 0 && p.backing[i]
}

// until returns when the fence falls: the earliest over the members that may
// have work, zero when one has not accepted this term or this node has just
// started. Without such members each call of the node renews it.
func (n *Node) until() time.Time {
	if len(n.voters) == 0 {
		return time.Time{}
	}
	until := n.seenAt.Add(n.cfg.Fence)
	for _, m := range n.members {
		if !counted(m) || m.drained {
			continue
		}
		if n.cfg.faults.has(noLeaveFence) && m.in.State == declarer.Leaving {
			continue
		}
		if !m.accepted {
			return time.Time{}
		}
		if end := m.heardAt.Add(n.cfg.Fence); end.Before(until) {
			until = end
		}
	}
	if n.cfg.faults.has(noFence) {
		return n.seenAt.Add(n.cfg.Takeover * 100)
	}
	return until
}

// setShare sets the share: 1 with nobody missing or with more than half of the
// voters, a half with exactly half, else nothing. Members that have no vote yet
// may have one for others: so they count only against.
func (n *Node) setShare(p *Permit) {
	p.num, p.den = 1, 1
	missing := n.missing()
	if len(missing) == 0 || n.cfg.faults.has(noShare) {
		return
	}
	have, against := n.countVotes(missing)
	switch {
	case have > against:
	case have == against && have > 0:
		p.den = 2
		n.rankVoters(p, missing)
	default:
		p.num = 0
	}
}

// countVotes returns the voters that support this node and all other members
// that do, or may, have a vote.
func (n *Node) countVotes(missing []*member) (have, against int) {
	against = len(n.voters)
	for _, m := range n.members {
		switch {
		case m.in.State == declarer.Gone:
		case n.supports(m, missing) && n.isVoter(m.key):
			have++
			against--
		case !n.supports(m, missing) && !n.isVoter(m.key):
			against++
		}
	}
	if n.isVoter(voterKey(&n.self)) {
		have++
		against--
	}
	return have, against
}

// rankVoters notes the members by which cold upstreams rank, and which of them
// are voters that support this node.
func (n *Node) rankVoters(p *Permit, missing []*member) {
	p.ranked = append(p.ranked, declarer.Instance{ID: n.self.ID})
	p.backing = append(p.backing, n.isVoter(voterKey(&n.self)))
	for id, m := range n.members {
		if m.in.State != declarer.Gone {
			p.ranked = append(p.ranked, declarer.Instance{ID: id})
			p.backing = append(p.backing, n.isVoter(m.key) && n.supports(m, missing))
		}
	}
}

func (n *Node) missing() []*member {
	var all []*member
	for _, m := range n.members {
		if m.missing {
			all = append(all, m)
		}
	}
	return all
}

// supports reports whether a member is live and has expired every missing one.
func (n *Node) supports(m *member, missing []*member) bool {
	if !counted(m) || m.in.State != declarer.Live {
		return false
	}
	if n.cfg.faults.has(noSupport) {
		return true
	}
	after := n.seenAt.Add(-n.cfg.Fence)
	for _, lost := range missing {
		if !m.reportsExpired(lost, after) {
			return false
		}
	}
	return true
}
