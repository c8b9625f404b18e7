// Package detector is the group protocol of docs/PROTOCOL.md as a state machine:
// which members of an owner group live, and what this daemon may admit.
//
// A Node does no I/O and holds no goroutine. The control goroutine calls it with
// the time, sends the pings that Tick returns, and hands over what arrives:
//
//	node.go     Node, New, what is learned from outside
//	member.go   what a Node holds of each other member
//	ping.go     pings and acks
//	exclude.go  expiry and exclusion of silent members
//	voters.go   which members count when some are missing
//	permit.go   Permit, the immutable value that traffic reads
//	message.go  the wire types
package detector
