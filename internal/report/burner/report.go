package burner

import (
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/report/recorder"
)

// Report is the service-level burn of the daemons asked.
type Report struct {
	// Asked and Answered count daemons, each once.
	Asked    int      `json:"asked"`
	Answered int      `json:"answered"`
	Daemons  []Daemon `json:"daemons"`
	// Windows says how much of each window the data covers.
	Windows  []Cover   `json:"windows"`
	Services []Service `json:"services"`
	// Untracked counts queries of services that daemons had no room for.
	Untracked uint64 `json:"untracked,omitempty"`
	// Scale is that of every History.
	Scale Scale `json:"-"`
}

// Daemon is one daemon asked.
type Daemon struct {
	URL      string `json:"url"`
	Instance string `json:"instance,omitempty"`
	// Recorded is the time since the daemon began to record.
	Recorded declarer.Duration `json:"recorded"`
	// Same is the URL under which the instance's series is in the report, when it
	// was asked under several.
	Same string `json:"same,omitempty"`
	// Error says why there is no series; empty when there is.
	Error string `json:"error,omitempty"`
}

// Cover is the share of a window, over all daemons asked, that was recorded.
type Cover struct {
	Window declarer.Duration `json:"window"`
	Share  float64           `json:"share"`
}

// Service is the service level of one service.
type Service struct {
	Name string `json:"name"`
	// Contract is the one that most daemons held; nil when none knew any.
	Contract *recorder.Objectives `json:"contract,omitempty"`
	// Contracts is the number of different contracts that daemons held; above 1
	// while a change is on its way.
	Contracts int `json:"contracts"`
	// Counts is the sum over the longest window.
	Counts Counts `json:"counts"`
	// Objectives is empty without a contract.
	Objectives []Objective `json:"objectives"`
	// History is the level over time, oldest first; empty without a contract.
	History []Point `json:"-"`
}

// Counts counts queries.
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

// Objective is the level of one objective of a service. Shares and rates mean
// nothing where no query was counted.
type Objective struct {
	Kind Kind `json:"kind"`
	// Target is the share of queries that must be good.
	Target float64 `json:"target"`
	// GoodShare is the share that was, over the longest window.
	GoodShare float64 `json:"good"`
	// BudgetLeft is the share of the error budget left, over the longest window; below
	// 0 when more was spent.
	BudgetLeft float64 `json:"budget"`
	Burns      []Burn  `json:"burns"`
	Alerts     []Alert `json:"alerts"`
}

// Burn is the burn rate over one window.
type Burn struct {
	Window declarer.Duration `json:"window"`
	Total  uint64            `json:"total"`
	Bad    uint64            `json:"bad"`
	Rate   float64           `json:"rate"`
}

// Severity says how soon someone must act.
type Severity string

// Severities of alerts.
const (
	Page   Severity = "page"
	Ticket Severity = "ticket"
)

// Alert says that the burn rate lies above a limit over a short and a long window.
type Alert struct {
	Severity Severity          `json:"severity"`
	Limit    float64           `json:"limit"`
	Short    declarer.Duration `json:"short"`
	Long     declarer.Duration `json:"long"`
	// Few marks an alert that rests on few bad queries.
	Few bool `json:"few,omitempty"`
}
