package detector

import (
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// member is what a Node holds of another member's present membership.
type member struct {
	in declarer.Instance
	// key names the incarnation in pings.
	key uint32
	// known holds the keys of the members that it knew, by its latest ping.
	known []uint32
	// ackedAt is when this node last acked the membership, at first when it
	// learned of it.
	ackedAt time.Time
	// expired is true once this node never acks the membership again.
	expired bool
	// missing is true once the membership is excluded.
	missing bool

	// published is true once the published permit counts the membership in.
	published bool
	// endedAt is when this node learned that the membership, which was missing, has
	// ended.
	endedAt time.Time
	// accepted is true once the membership has accepted this node's present term.
	accepted bool
	// heardAt is the send time of this node's latest ping that was accepted.
	heardAt time.Time
	// drained is true once the membership, which leaves, has no work left at all.
	drained bool

	// reports holds the memberships that the member has expired, as it said at
	// reportedAt.
	reports    []Membership
	reportedAt time.Time

	// pingAt is when the next ping is due.
	pingAt time.Time
}

func newMember(in declarer.Instance, now time.Time) *member {
	return &member{in: in, key: voterKey(&in), ackedAt: now, pingAt: now}
}

// is reports whether the message of a membership is of the present one.
func (m *member) is(in *declarer.Instance) bool {
	return m.in.Incarnation == in.Incarnation && m.in.Term == in.Term
}

// takeState notes that the member leaves, and makes a ping due that tells when
// its work has drained.
func (m *member) takeState(s declarer.State, now time.Time) {
	if leavingOnly(s) == declarer.Leaving && m.in.State == declarer.Live {
		m.in.State = declarer.Leaving
		m.pingAt = now
	}
}

// reportsExpired reports whether the member said after the given time that it
// has expired another's membership.
func (m *member) reportsExpired(other *member, after time.Time) bool {
	return m.reportedAt.After(after) && slices.Contains(m.reports, membershipOf(&other.in))
}

// takeReport notes which memberships the member has expired.
func (m *member) takeReport(expired []Membership, now time.Time) {
	m.reports = expired
	m.reportedAt = now
}

// takeAccept notes that the member accepted the ping sent at the given time.
func (m *member) takeAccept(sentAt time.Time) {
	m.accepted = true
	if sentAt.After(m.heardAt) {
		m.heardAt = sentAt
	}
}

// end notes that the membership has ended, and its work too.
func (m *member) end() {
	m.in.State = declarer.Gone
	m.missing = false
}
