package detector

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/assigner"
)

// Permit is what this daemon may admit. It is immutable.
type Permit struct {
	self string
	// live holds the live members, and this daemon when it is live.
	live []declarer.Instance
	// validUntil is the end of the fence time: the earliest over the members, zero when one of them
	// has not accepted this daemon or this daemon has no voters.
	validUntil time.Time
	// leaving holds the leaving members that still have work.
	leaving []declarer.Instance
	// num/den is the share of a warm upstream.
	num, den int
	// ranked holds all members and this daemon, to rank cold upstreams by. It is set only when the
	// share is between 0 and 1. supporting[i] is true when ranked[i] is a voter that supports this
	// daemon.
	ranked     []declarer.Instance
	supporting []bool
}

// emptyShare is the share that admits nothing.
var emptyShare = exchanger.Share{Num: 0, Den: 1}

// Permit returns what this daemon may admit as of its last call. The caller publishes the permit to
// the request path before it calls the node again: until then, work may be admitted under the
// previous permit, so the node accepts no member that the published permit does not include.
func (n *Node) Permit() *Permit {
	n.publishedState = n.self.State
	p := &Permit{self: n.self.ID, validUntil: n.admitUntil()}
	if n.self.State == declarer.Live {
		p.live = append(p.live, n.self)
	}
	for _, m := range n.members {
		m.inPublishedPermit = isInGroup(m)
		switch {
		case !isInGroup(m):
		case m.instance.State == declarer.Live:
			p.live = append(p.live, m.instance)
		case !m.drained:
			p.leaving = append(p.leaving, m.instance)
		}
	}
	n.setShare(p)
	return p
}

// Share returns what this daemon may admit to an upstream at now.
func (p *Permit) Share(now time.Time, upstreamKey string) exchanger.Share {
	if !now.Before(p.validUntil) || !p.ranksFirst(upstreamKey) || !p.isDrained(upstreamKey) {
		return emptyShare
	}
	s := exchanger.Share{Num: p.num, Den: p.den, AllowCold: p.num == p.den, ValidUntil: p.validUntil}
	if !s.AllowCold && p.num > 0 {
		s.AllowCold = p.supporterRanksFirst(upstreamKey)
	}
	return s
}

// ranksFirst reports whether this daemon ranks first for an upstream.
func (p *Permit) ranksFirst(key string) bool {
	i := assigner.Owner(key, p.live)
	return i >= 0 && p.live[i].ID == p.self
}

// isDrained reports whether no leaving member can have work at an upstream.
func (p *Permit) isDrained(key string) bool {
	for _, record := range p.leaving {
		record.State = declarer.Live
		pair := []declarer.Instance{{ID: p.self}, record}
		if assigner.Owner(key, pair) == 1 {
			return false
		}
	}
	return true
}

// supporterRanksFirst reports whether the member that ranks first for an upstream is a voter that
// supports this daemon.
func (p *Permit) supporterRanksFirst(key string) bool {
	i := assigner.Owner(key, p.ranked)
	return i >= 0 && p.supporting[i]
}

// admitUntil returns until when this node may admit work: the earliest end of the fence time over
// the members that may have work. It is zero when one of them has not accepted this term, or when
// this node has no voters. Without such members, each call of the node extends it.
func (n *Node) admitUntil() time.Time {
	if len(n.voters) == 0 {
		return time.Time{}
	}
	until := n.lastCallAt.Add(n.cfg.Fence)
	for _, m := range n.members {
		if !isInGroup(m) || m.drained {
			continue
		}
		if n.cfg.faults.has(noLeaveFence) && m.instance.State == declarer.Leaving {
			continue
		}
		if !m.accepted {
			return time.Time{}
		}
		if end := m.acceptedPingAt.Add(n.cfg.Fence); end.Before(until) {
			until = end
		}
	}
	if n.cfg.faults.has(noFence) {
		return n.lastCallAt.Add(n.cfg.Takeover * 100)
	}
	return until
}

// setShare sets the share of the permit: 1 when no member is missing or this node has more than
// half of the votes, one half when it has exactly half, and otherwise 0. A member without a vote
// may have one in the view of others, so it counts only against this node.
func (n *Node) setShare(p *Permit) {
	p.num, p.den = 1, 1
	missing := n.missing()
	if len(missing) == 0 || n.cfg.faults.has(noShare) {
		return
	}
	votesFor, votesAgainst := n.countVotes(missing)
	switch {
	case votesFor > votesAgainst:
	case votesFor == votesAgainst && votesFor > 0:
		p.den = 2
		n.setRanking(p, missing)
	default:
		p.num = 0
	}
}

// countVotes returns the number of voters that support this node, and the number of all other
// members that have, or may have, a vote.
func (n *Node) countVotes(missing []*member) (votesFor, votesAgainst int) {
	votesAgainst = len(n.voters)
	for _, m := range n.members {
		switch {
		case m.instance.State == declarer.Gone:
		case n.supports(m, missing) && n.isVoter(m.key):
			votesFor++
			votesAgainst--
		case !n.supports(m, missing) && !n.isVoter(m.key):
			votesAgainst++
		}
	}
	if n.isVoter(incarnationKey(&n.self)) {
		votesFor++
		votesAgainst--
	}
	return votesFor, votesAgainst
}

// setRanking sets the members by which cold upstreams are ranked, and which of them are voters that
// support this node.
func (n *Node) setRanking(p *Permit, missing []*member) {
	p.ranked = append(p.ranked, declarer.Instance{ID: n.self.ID})
	p.supporting = append(p.supporting, n.isVoter(incarnationKey(&n.self)))
	for id, m := range n.members {
		if m.instance.State != declarer.Gone {
			p.ranked = append(p.ranked, declarer.Instance{ID: id})
			p.supporting = append(p.supporting, n.isVoter(m.key) && n.supports(m, missing))
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

// supports reports whether a member is live and has reported every missing member as expired.
func (n *Node) supports(m *member, missing []*member) bool {
	if !isInGroup(m) || m.instance.State != declarer.Live {
		return false
	}
	if n.cfg.faults.has(noSupport) {
		return true
	}
	after := n.lastCallAt.Add(-n.cfg.Fence)
	for _, excluded := range missing {
		if !m.reportsExpired(excluded, after) {
			return false
		}
	}
	return true
}
