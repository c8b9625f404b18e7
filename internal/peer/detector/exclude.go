package detector

import (
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// observe notes that time has passed. After a pause of this process the silence
// of others is its own, so their clocks start anew.
func (n *Node) observe(now time.Time) {
	if now.Sub(n.seenAt) > n.cfg.Fence {
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
		if m.in.State == declarer.Gone || now.Sub(m.ackedAt) <= n.cfg.Takeover {
			continue
		}
		m.expired = true
		m.drained = true
	}
}

// settle excludes the members that may be excluded, and renews the basis while
// nobody is missing.
func (n *Node) settle(now time.Time) {
	for _, m := range n.members {
		if m.expired && counted(m) && n.excludable(now, m) {
			m.missing = true
		}
	}
	n.setBasis()
}

// excludable reports whether every other live member has expired the membership
// too, or is expired itself.
func (n *Node) excludable(now time.Time, m *member) bool {
	if n.cfg.faults.noReports {
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

// setBasis keeps the basis as it is while somebody is missing, less those that
// have ended.
func (n *Node) setBasis() {
	missing := false
	for _, m := range n.members {
		missing = missing || m.missing
	}
	if missing {
		n.basis = slices.DeleteFunc(n.basis, func(id string) bool {
			m, ok := n.members[id]
			return id != n.self.ID && (!ok || m.in.State == declarer.Gone)
		})
		return
	}
	n.basis = []string{n.self.ID}
	for id, m := range n.members {
		if m.in.State != declarer.Gone {
			n.basis = append(n.basis, id)
		}
	}
	slices.Sort(n.basis)
}
