package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// driftPart is the part of a time by which two clocks that each drift by at most
// 1 in 100 may differ.
const driftPart = 50

// observe notes that time has passed. After a pause of this process the silence
// of others is its own, so their clocks start anew.
func (n *Node) observe(now time.Time) {
	if now.Sub(n.seenAt) > n.cfg.Fence && !n.cfg.faults.has(noPause) {
		n.start = now
		for _, m := range n.members {
			if !m.expired {
				m.ackedAt = now
			}
		}
	}
	n.seenAt = now
	n.expire(now)
}

// expire marks memberships that were not acked for the takeover time.
func (n *Node) expire(now time.Time) {
	for _, m := range n.members {
		if m.in.State == declarer.Gone || now.Sub(m.ackedAt) <= n.takeover() {
			continue
		}
		m.expired = true
	}
}

// takeover returns the takeover time by this node's clock, lengthened by the most
// that the clocks of two daemons may drift apart in it.
func (n *Node) takeover() time.Duration {
	if n.cfg.faults.has(noDrift) {
		return n.cfg.Takeover
	}
	return n.cfg.Takeover + n.cfg.Takeover/driftPart
}

// settle ends and excludes the members that may be, and brings the voters up to
// date.
func (n *Node) settle(now time.Time) {
	for _, m := range n.members {
		if m.missing && !m.endedAt.IsZero() && now.Sub(m.endedAt) > n.takeover() {
			m.end()
		}
		if m.expired && counted(m) && n.excludable(now, m) {
			m.missing = true
		}
	}
	n.renewVoters()
}

// excludable reports whether every other live member has expired the membership
// too, or is expired itself.
func (n *Node) excludable(now time.Time, m *member) bool {
	if n.cfg.faults.has(noReports) {
		return true
	}
	after := now.Add(-n.cfg.Fence)
	for _, other := range n.members {
		if other == m || !counted(other) || other.expired || other.in.State == declarer.Leaving {
			continue
		}
		if !other.reportsExpired(m, after) {
			return false
		}
	}
	return true
}

// expired returns the memberships that this node never acks again, ordered by
// ID.
func (n *Node) expired() []Membership {
	var all []Membership
	for _, m := range n.members {
		if m.expired && m.in.State != declarer.Gone {
			all = append(all, membershipOf(&m.in))
		}
	}
	slices.SortFunc(all, func(a, b Membership) int { return strings.Compare(a.ID, b.ID) })
	return all
}
