// Package assembler puts one daemon together from its settings: the peer links,
// the control goroutine, the owner's and the entry's side of traffic, and the
// HTTP services for callers and operators, under one suture supervisor.
//
// The order of a graceful shutdown stands in shutdown.go.
package assembler
