// Package spreader implements the replicated state of the fleet without any I/O: the
// configuration objects and the instance records that a daemon knows, and the messages
// of the anti-entropy exchange by which two daemons synchronize.
//
// The state is a join semilattice. For an object key the higher version wins, for an
// instance the record that supersedes the other. So messages may be lost, repeated and
// reordered, and no record ever reverts to an older version.
//
// An exchange takes up to three calls, and starts again when a bound truncated a reply:
// StepRoot compares one hash of the whole state, StepSummaries lists the versions of the
// records in the buckets that differ, and StepPush carries the records that the peer
// lacks. New records are also pushed at once: small ones whole, large ones as a summary by
// which the peer requests them when it lacks them.
//
// Records of instances that are gone are not part of the digests. They are sent only to
// peers that hold an older record, and dropped after goneRetention.
package spreader
