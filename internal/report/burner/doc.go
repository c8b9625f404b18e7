// Package burner computes how fast a fleet spends the error budgets of its
// services, from the series that its daemons recorded.
//
// A query is bad for the objective "latency" when it was slow or refused, and for
// the objective "coverage" when it was partial or refused. The contract's quantile
// is the share of queries that must be good for either. The error budget is the
// share that may be bad; a burn rate of 1 spends exactly the budget, 2 twice as much.
//
//	burner.go    sums the series of many daemons
//	window.go    sums over windows of minutes
//	objective.go good share, budget left, burn rates and alerts of one objective
//	history.go   the same over time, for plots
//	report.go    the types of the report
package burner
