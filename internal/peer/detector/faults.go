package detector

// faults is a set of protocol rules that are turned off, so that tests can show that the model
// check finds the resulting errors.
type faults uint

const (
	// noFence lets this daemon admit work long after its fence time.
	noFence faults = 1 << iota
	// noReports excludes an expired member without the reports of the other members.
	noReports
	// noDrain accepts a member while this daemon still has work at upstreams for which the member
	// ranks before it.
	noDrain
	// noExpiry goes on acking expired memberships.
	noExpiry
	// noShare keeps the whole share while members are missing.
	noShare
	// noSupport counts voters that have not reported the missing members as expired.
	noSupport
	// noLeaveFence admits work without recent acks of a leaving member.
	noLeaveFence
	// noDrift takes over after the takeover time without the addition for clock drift.
	noDrift
	// noKnown accepts members whose ping lacks some of this node's member keys.
	noKnown
	// noRecords leaves out of acks the records that the other member lacks.
	noRecords
	// noAgreement gives new members a vote before all members know them.
	noAgreement
	// noVoteDelay removes the vote of ended incarnations at once.
	noVoteDelay
	// noPublication accepts members that the published permit does not include.
	noPublication
	// noWait lets a node that has just started admit work at once.
	noWait
	// noPause expires members after a pause of this process.
	noPause
	// noEndDelay treats missing members as ended as soon as their end is reported.
	noEndDelay
	// oldDrain treats an ack sent before the leave as proof that the member has drained.
	oldDrain
	// oldTerm accepts acks of pings from earlier terms of this node.
	oldTerm
	// lateFence starts the fence time at the arrival of an ack, not at the sending of its ping.
	lateFence
)

func (f faults) has(g faults) bool {
	return f&g != 0
}
