// Package spreader holds the replicated state of the fleet as pure data: the
// configuration objects and the instance records that a daemon knows, and the
// exchange of messages that makes two daemons agree.
//
// The state is a join semilattice. Per object key the higher version wins, per
// instance the record that supersedes the other. So messages may be lost,
// repeated and reordered, and nothing ever goes back to an older version.
//
// An exchange takes up to three calls: StepRoot compares one hash of the whole
// state, StepMarks lists what the differing buckets hold, and StepPush carries
// what the peer lacks. New information is also pushed at once: small records
// whole, large ones as an offer that the peer takes up when it lacks them.
//
// Records of instances that are gone take no part in the digests: they are told
// only to peers that still hold an older record, and dropped after a while.
package spreader
