// Package detector implements the group protocol of docs/PROTOCOL.md as a state machine: failure
// detection in an owner group, and what this daemon may admit.
//
// A Node does no I/O and starts no goroutine. The control goroutine calls it with the current time,
// sends the pings that Tick returns, and passes on the messages that arrive:
//
//	node.go     Node, New, records of members from other sources
//	member.go   state of one other member
//	ping.go     pings and acks
//	exclude.go  expiry and exclusion of members that do not answer
//	voters.go   which members have a vote while some are missing
//	permit.go   Permit, the immutable value that the request path reads
//	message.go  the wire types
//	faults.go   rules that tests turn off
package detector
