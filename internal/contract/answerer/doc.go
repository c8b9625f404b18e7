// Package answerer defines the messages that callers send and receive: queries,
// answers with their coverage, at-most-once runs, and refusals.
//
// The Check methods validate decoded values.
package answerer
