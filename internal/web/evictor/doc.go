// Package evictor bounds the connections of a process's listeners and the memory of requests that clients have sent in part.
//
// An Evictor holds the memory budget of the process, a Group the connections of one listener. When a bound is reached, a
// connection gives way; policy.go decides which, without input or output. docs/design/client-limits.md has the reasons.
package evictor
