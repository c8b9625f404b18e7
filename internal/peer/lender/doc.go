// Package lender enforces the limits of client accounts over all daemons together.
//
// One daemon, the lender, has a token bucket for each account and grants tokens to the others. It holds a lease on an
// object in the store, and names a successor in it: it grants only while the successor answers its pings, so that the
// successor can replace it within a second. Without a lender, two daemons of each zone grant a part of the tolerance.
//
// The decisions are separate from input and output: ledger (buckets), lease, tolerance (grants without a lender),
// holdings (tokens and refusals at the daemon that asks), and core, which joins the first three. Lender carries the
// calls and the store's writes. docs/design/allotments.md has the reasons.
package lender
