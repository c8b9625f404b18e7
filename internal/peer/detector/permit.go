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
	// basis holds the members of the basis when the share is a part, to rank cold
	// upstreams by.
	basis []declarer.Instance
}

// nobody is the share that admits nothing.
var nobody = exchanger.Share{Num: 0, Den: 1}

// Permit returns what this daemon may admit as of its last call.
func (n *Node) Permit() *Permit {
	p := &Permit{self: n.self.ID, until: n.until()}
	if n.self.State == declarer.Live {
		p.live = append(p.live, n.self)
	}
	for _, m := range n.members {
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
	s := exchanger.Share{Num: p.num, Den: p.den, Cold: p.num == p.den, Until: p.until}
	if !s.Cold && p.num > 0 {
		s.Cold = p.hasFirst(upstreamKey)
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

// hasFirst reports whether the half of the basis that this daemon is in holds
// the member that ranks first for an upstream.
func (p *Permit) hasFirst(key string) bool {
	i := assigner.Owner(key, p.basis)
	if i < 0 {
		return false
	}
	for _, in := range p.live {
		if in.ID == p.basis[i].ID {
			return true
		}
	}
	return false
}

// until returns when the fence falls: the earliest over the live members, zero
// when one has not accepted this term. A node that knows no other waits the
// takeover time once, since others may not be known yet.
func (n *Node) until() time.Time {
	alone := true
	var until time.Time
	for _, m := range n.members {
		if !counted(m) || m.in.State != declarer.Live {
			continue
		}
		if !m.accepted {
			return time.Time{}
		}
		end := m.heardAt.Add(n.cfg.Fence)
		if alone || end.Before(until) {
			until = end
		}
		alone = false
	}
	if n.cfg.faults.noFence {
		return n.seenAt.Add(n.cfg.Takeover * 100)
	}
	if alone {
		return n.untilAlone()
	}
	return until
}

// untilAlone returns the fence of a node without live members. It is renewed at
// each call of the node.
func (n *Node) untilAlone() time.Time {
	if n.seenAt.Sub(n.start) <= n.cfg.Takeover {
		return time.Time{}
	}
	return n.seenAt.Add(n.cfg.Fence)
}

// setShare sets the share: 1 with nobody missing or with more than half of the
// basis, a half with exactly half, else nothing. Only members that have expired
// every missing one too count.
func (n *Node) setShare(p *Permit) {
	p.num, p.den = 1, 1
	missing := n.missing()
	if len(missing) == 0 || n.cfg.faults.noShare {
		return
	}
	have := 0
	for _, id := range n.basis {
		if id == n.self.ID || n.supports(id, missing) {
			have++
		}
	}
	switch {
	case 2*have > len(n.basis):
	case 2*have == len(n.basis):
		p.den = 2
		p.basis = basisRecords(n.basis)
	default:
		p.num = 0
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

// supports reports whether a member of the basis is live and has expired every
// missing one.
func (n *Node) supports(id string, missing []*member) bool {
	m, ok := n.members[id]
	if !ok || !counted(m) || m.in.State != declarer.Live {
		return false
	}
	after := n.seenAt.Add(-n.cfg.Fence)
	for _, lost := range missing {
		if !m.reportsExpired(lost, after) {
			return false
		}
	}
	return true
}

func basisRecords(ids []string) []declarer.Instance {
	records := make([]declarer.Instance, len(ids))
	for i, id := range ids {
		records[i] = declarer.Instance{ID: id}
	}
	return records
}
