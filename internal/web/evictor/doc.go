// Package evictor bounds the connections of a process's listeners, and the memory of requests that clients have sent in part and of
// answers that they do not read.
//
// An Evictor holds the memory budget of the process, a Group the connections of one listener. When a bound is reached, a
// connection gives way or a new one waits; policy.go decides which, without input or output. Start with Conn in conn.go, which counts
// what is read and written; body.go ends bodies that are late or not wanted, and turns.go shares the processors.
// docs/design/client-limits.md has the reasons.
package evictor
