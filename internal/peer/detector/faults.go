package detector

// faults are rules left out on purpose, for tests of the model check.
type faults uint

const (
	noFence faults = 1 << iota
	noReports
	noDrain
	noExpiry
	noShare
	// noSupport counts voters that have not reported the missing members expired.
	noSupport
	// noLeaveFence admits beside a leaving member that is silent.
	noLeaveFence
	// noDrift takes over after the bare takeover time.
	noDrift
	// noKnown accepts members that do not know all others.
	noKnown
	// noTold does not tell members what they lack.
	noTold
	// noAgreement gives new members their vote before all know them.
	noAgreement
	// noMourning takes the vote of ended incarnations at once.
	noMourning
	// noPublication accepts members that the published permit does not count in.
	noPublication
	// noWait makes starters admit at once.
	noWait
	// noPause expires members after a pause of this process.
	noPause
	// noDelay takes missing members for ended as soon as it is told.
	noDelay
	// oldDrain takes an ack from before the leave for its having drained.
	oldDrain
	// oldTerm takes acks of this node's earlier terms.
	oldTerm
	// lateFence reckons the fence from the arrival of an ack.
	lateFence
)

func (f faults) has(g faults) bool {
	return f&g != 0
}
