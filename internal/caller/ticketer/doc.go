// Package ticketer issues the tickets under which requests run at most once,
// and runs them.
//
// A ticket names the instance that issued it, with its incarnation, the ticket's
// number and its time of issue, and carries a keyed hash that only the issuing
// process can compute. Only the issuer dispatches a ticket, and only once; every
// other daemon forwards the ticket to it. When the issuer's process has ended, the
// outcome is reported as unknown and the ticket is not run again.
package ticketer
