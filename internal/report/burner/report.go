package burner

import (
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/report/recorder"
)

// Report is the burn of a fleet's error budgets.
type Report struct {
	// Asked and Answered count the daemons that were queried and those that answered,
	// without duplicates.
	Asked    int      `json:"asked"`
	Answered int      `json:"answered"`
	Daemons  []Daemon `json:"daemons"`
	// Windows holds the recorded share of each window.
	Windows  []WindowCoverage `json:"windows"`
	Services []Service        `json:"services"`
	// Untracked counts queries of services that daemons did not record, because they had no room for another service or
	// the name was invalid.
	Untracked uint64 `json:"untracked,omitempty"`
	// Scale is the time scale of all Histories.
	Scale Scale `json:"-"`
}

// Daemon is one daemon that was queried.
type Daemon struct {
	URL      string `json:"url"`
	Instance string `json:"instance,omitempty"`
	// Recorded is the time since the daemon began to record.
	Recorded declarer.Duration `json:"recorded"`
	// DuplicateOf is the URL under which the instance is counted, if it was queried
	// under several URLs; else empty.
	DuplicateOf string `json:"same,omitempty"`
	// Error is the reason why the daemon's series is missing; empty when it is not.
	Error string `json:"error,omitempty"`
}

// WindowCoverage is the share of a window that was recorded, over all daemons without
// duplicates.
type WindowCoverage struct {
	Window declarer.Duration `json:"window"`
	Share  float64           `json:"share"`
}

// Service is the burn of one service.
type Service struct {
	Name string `json:"name"`
	// Contract holds the objectives that most daemons reported; nil when none reported
	// any.
	Contract *recorder.Objectives `json:"contract,omitempty"`
	// Contracts is the number of different contracts that daemons reported; above 1
	// while a change propagates.
	Contracts int `json:"contracts"`
	// Counts holds the sums over the longest window.
	Counts Counts `json:"counts"`
	// Objectives holds one element for each Kind; empty without a contract.
	Objectives []Objective `json:"objectives"`
	// History holds the levels over time, oldest first; empty without a contract.
	History []Point `json:"-"`
}

// Counts counts queries, as recorder.Counts does, over several minutes and daemons.
type Counts struct {
	Total   uint64 `json:"total"`
	Slow    uint64 `json:"slow"`
	Partial uint64 `json:"partial"`
	Refused uint64 `json:"refused"`
}

// Kind names an objective.
type Kind string

// Kinds of objectives.
const (
	Latency  Kind = "latency"
	Coverage Kind = "coverage"
)

// Objective is the level of one objective of a service. Shares and rates are
// meaningless where no query was counted.
type Objective struct {
	Kind Kind `json:"kind"`
	// Target is the share of queries that must be good.
	Target float64 `json:"target"`
	// GoodShare is the share of queries that were good, over the longest window.
	GoodShare float64 `json:"good"`
	// BudgetLeft is the share of the error budget that is left, over the longest window;
	// below 0 when more was spent.
	BudgetLeft float64 `json:"budget"`
	// Burns holds the burn rates of all windows, shortest first.
	Burns []Burn `json:"burns"`
	// Alerts holds the raised alerts, the most severe first.
	Alerts []Alert `json:"alerts"`
}

// Burn is the burn rate over one window.
type Burn struct {
	Window declarer.Duration `json:"window"`
	Total  uint64            `json:"total"`
	Bad    uint64            `json:"bad"`
	Rate   float64           `json:"rate"`
}

// Severity is the urgency of an alert.
type Severity string

// Severities of alerts.
const (
	Page   Severity = "page"
	Ticket Severity = "ticket"
)

// Alert reports that the burn rate is above a limit over a short and a long window.
type Alert struct {
	Severity Severity          `json:"severity"`
	Limit    float64           `json:"limit"`
	Short    declarer.Duration `json:"short"`
	Long     declarer.Duration `json:"long"`
	// FewBad is set when the long window holds few bad queries, so that a single one may
	// have raised the alert.
	FewBad bool `json:"few,omitempty"`
}
