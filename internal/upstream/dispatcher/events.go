package dispatcher

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/dialer"
	"cornelwood.example/internal/upstream/limiter"
)

// connEvents takes in what happens to the connections of an upstream.
type connEvents struct {
	u *upstream
}

// Opened counts a new connection.
func (e *connEvents) Opened() {
	e.u.counts.opened.Inc()
}

// Closed makes the upstream cold unless this daemon closed the connection: it
// may have been started anew.
func (e *connEvents) Closed(c dialer.Cause) {
	u := e.u
	switch c {
	case dialer.Dropped:
		return
	case dialer.Reset:
		u.counts.resets.Inc()
	case dialer.Silent:
		u.counts.silent.Inc()
		u.d.log.Warn("connection went silent", "upstream", u.key)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	cold := u.lim.IsCold()
	u.lim.Learn(time.Now(), limiter.Sample{Kind: limiter.Reset})
	u.turned(cold)
}

// count counts the outcome of a task that ran.
func (u *upstream) count(out *dialer.Outcome) {
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
