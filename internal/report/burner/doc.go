// Package burner works out how fast a fleet spends the error budgets of its
// services, from the series that its daemons recorded.
//
// A query is bad for the objective "latency" when it was slow or refused, and for
// the objective "coverage" when it was partial or refused. The contract's quantile
// is the share of queries that must be good for either. The error budget is the
// rest of that share; a burn rate of 1 spends exactly the budget, 2 twice of it.
//
//	burner.go    adds up the series of many daemons
//	window.go    sums over the last minutes
//	objective.go good share, budget, burn rates and alerts of one objective
//	history.go   the same over time, for plots
//	report.go    the outcome
package burner
