package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// clockDriftDivisor gives the largest difference between two clocks as 1/clockDriftDivisor of the
// elapsed time, when each clock drifts by at most 1 in 100.
const clockDriftDivisor = 50

// advanceTime applies the passing of time. After a pause of this process, silence of the other
// members may be due to the pause, so the time since their last ack starts again.
func (n *Node) advanceTime(now time.Time) {
	if now.Sub(n.lastCallAt) > n.cfg.Fence && !n.cfg.faults.has(noPause) {
		n.waitingSince = now
		for _, m := range n.members {
			if !m.expired {
				m.ackedAt = now
			}
		}
	}
	n.lastCallAt = now
	n.expireMembers(now)
}

// expireMembers marks the memberships as expired that this node has not acked for the takeover
// time.
func (n *Node) expireMembers(now time.Time) {
	for _, m := range n.members {
		if m.instance.State == declarer.Gone || now.Sub(m.ackedAt) <= n.takeover() {
			continue
		}
		m.expired = true
	}
}

// takeover returns the takeover time by this node's clock, extended by the largest drift between
// the clocks of two daemons in that time.
func (n *Node) takeover() time.Duration {
	if n.cfg.faults.has(noDrift) {
		return n.cfg.Takeover
	}
	return n.cfg.Takeover + n.cfg.Takeover/clockDriftDivisor
}

// updateMembers marks members as ended or missing where the rules allow it, and updates the voters.
func (n *Node) updateMembers(now time.Time) {
	for _, m := range n.members {
		if m.missing && !m.endedAt.IsZero() && now.Sub(m.endedAt) > n.takeover() {
			m.markEnded()
		}
		if m.expired && isInGroup(m) && n.canExclude(now, m) {
			m.missing = true
		}
	}
	n.updateVoters()
}

// canExclude reports whether every other live member has expired the membership too, or is expired
// itself.
func (n *Node) canExclude(now time.Time, m *member) bool {
	if n.cfg.faults.has(noReports) {
		return true
	}
	after := now.Add(-n.cfg.Fence)
	for _, other := range n.members {
		if other == m || !isInGroup(other) || other.expired || other.instance.State == declarer.Leaving {
			continue
		}
		if !other.reportsExpired(m, after) {
			return false
		}
	}
	return true
}

// expiredMemberships returns the memberships that this node will not ack again, ordered by ID.
func (n *Node) expiredMemberships() []Membership {
	var all []Membership
	for _, m := range n.members {
		if m.expired && m.instance.State != declarer.Gone {
			all = append(all, membershipOf(&m.instance))
		}
	}
	slices.SortFunc(all, func(a, b Membership) int { return strings.Compare(a.ID, b.ID) })
	return all
}
