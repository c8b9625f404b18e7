// Package promoter carries out roll-outs of a service's version: it bounds what the version under test gets, counts what
// each version answers, and decides whether the version is good.
//
// A [Gate] in each daemon chooses the version for each request to a service, and counts by version and route. While a
// roll-out is running, the [Promoter] of one daemon, the first-ranked that answers, collects the counts of all. [Decide]
// is the decision, a pure function of the counts, the order and the time. The stage is in the order's status in the store,
// which is only written under a condition on its revision; so any daemon can continue, and two that both decide do no harm.
package promoter
