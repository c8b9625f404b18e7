package detector

import (
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// member is the state that a Node holds of the current membership of another instance.
type member struct {
	instance declarer.Instance
	// key identifies the incarnation in pings.
	key uint32
	// memberKeys holds the member keys of its latest ping.
	memberKeys []uint32
	// ackedAt is when this node last acked the membership, or first learned of it.
	ackedAt time.Time
	// expired is true once this node has stopped acking the membership for good.
	expired bool
	// missing is true once the membership is excluded.
	missing bool

	// inPublishedPermit is true once the published permit includes the membership.
	inPublishedPermit bool
	// endedAt is when this node learned that the membership, which was missing, has ended.
	endedAt time.Time
	// accepted is true once the membership has accepted this node's current term.
	accepted bool
	// acceptedPingAt is when this node sent its latest ping that was accepted.
	acceptedPingAt time.Time
	// drained is true once the leaving membership has no work left at any upstream.
	drained bool

	// reportedExpired holds the memberships that the member has expired, as it reported at
	// reportedAt.
	reportedExpired []Membership
	reportedAt      time.Time

	// pingAt is when the next ping is due.
	pingAt time.Time
}

func newMember(record declarer.Instance, now time.Time) *member {
	return &member{instance: record, key: incarnationKey(&record), ackedAt: now, pingAt: now}
}

// matches reports whether a record describes the current membership.
func (m *member) matches(record *declarer.Instance) bool {
	return m.instance.Incarnation == record.Incarnation && m.instance.Term == record.Term
}

// updateState records that the member is leaving, and schedules a ping whose ack reports whether
// its work has drained.
func (m *member) updateState(s declarer.State, now time.Time) {
	if liveOrLeaving(s) == declarer.Leaving && m.instance.State == declarer.Live {
		m.instance.State = declarer.Leaving
		m.pingAt = now
	}
}

// reportsExpired reports whether the member has reported, after the given time, that it has expired
// another's membership.
func (m *member) reportsExpired(other *member, after time.Time) bool {
	return m.reportedAt.After(after) && slices.Contains(m.reportedExpired, membershipOf(&other.instance))
}

// updateReport records which memberships the member has expired.
func (m *member) updateReport(expired []Membership, now time.Time) {
	m.reportedExpired = expired
	m.reportedAt = now
}

// recordAccept records that the member accepted the ping sent at the given time.
func (m *member) recordAccept(sentAt time.Time) {
	m.accepted = true
	if sentAt.After(m.acceptedPingAt) {
		m.acceptedPingAt = sentAt
	}
}

// markEnded records that the membership has ended, and its work as well.
func (m *member) markEnded() {
	m.instance.State = declarer.Gone
	m.missing = false
}
