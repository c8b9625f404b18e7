// Package assembler assembles one daemon from its settings: the links to peers, the control goroutine, the
// dispatcher of sub-requests to the upstreams that the daemon owns, the gatherer of callers' queries, and the HTTP
// services for callers and operators, under one suture supervisor.
//
// The order of a graceful shutdown is in shutdown.go.
package assembler
