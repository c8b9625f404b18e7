// Package answerer holds what callers send and receive: queries, answers with
// their coverage, at-most-once runs, and refusals.
//
// Values check themselves when they are decoded.
package answerer
