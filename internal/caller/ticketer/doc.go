// Package ticketer issues the tickets under which requests run at most once,
// and runs them.
//
// A ticket names its issuer: instance, incarnation, number and age, with a
// keyed hash that only the issuing process can make. The issuer alone
// dispatches a ticket, once; every other daemon forwards to it. When the issuer's
// process has ended the outcome is unknown, never a second run.
package ticketer
