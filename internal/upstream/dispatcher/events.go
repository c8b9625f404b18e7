package dispatcher

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// connEvents handles the events of an upstream's connections.
type connEvents struct {
	u *upstream
}

// Opened counts a new connection.
func (e *connEvents) Opened() {
	e.u.counts.opened.Inc()
}

// Closed makes the upstream cold unless this daemon closed the connection, because the
// upstream may have restarted.
func (e *connEvents) Closed(c dialer.Cause) {
	u := e.u
	switch c {
	case dialer.ClosedByClient:
		return
	case dialer.Reset:
		u.counts.resets.Inc()
	case dialer.Silent:
		u.counts.silent.Inc()
		u.d.log.Warn("connection closed because the upstream answered no pings", "upstream", u.key)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	cold := u.lim.IsCold()
	u.lim.Observe(time.Now(), limiter.Sample{Kind: limiter.Reset})
	u.countColdChange(cold)
}

// countOutcome counts the outcome of a task that ran.
func (u *upstream) countOutcome(out *dialer.Outcome) {
	switch out.Result.Status {
	case exchanger.Shed:
		u.counts.sheds.Inc()
	case exchanger.DeadlineExceeded:
		u.counts.late.Inc()
	case exchanger.Unreachable:
		u.counts.resets.Inc()
	}
	if out.Invalid {
		u.counts.invalid.Inc()
	}
	if out.Hold != nil || out.Invalid {
		u.counts.wasted.Inc()
	}
}
