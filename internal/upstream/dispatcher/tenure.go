package dispatcher

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/upstream/limiter"
)

// renew brings the upstream up to date with the placement and the share, and
// reports whether this daemon holds it now. The upstream is cold when it is held
// anew: after a fence, another owner, or an absence.
func (u *upstream) renew(now time.Time, p *placement, share exchanger.Share) bool {
	if u.dead || !p.known || !p.owned || p.out || share.Num == 0 || !now.Before(share.ValidUntil) {
		u.tenure.held = false
		return false
	}
	u.configure(now, p)
	self := &p.view.Self
	t := &u.tenure
	if !t.held || now.After(t.until) || t.incarnation != self.Incarnation || t.term != self.Term {
		u.cool(now)
	}
	*t = tenure{held: true, until: share.ValidUntil, incarnation: self.Incarnation, term: self.Term}
	return true
}

// configure follows changes of the declared capacity and address. A new address
// is another upstream, and unknown.
func (u *upstream) configure(now time.Time, p *placement) {
	if u.lim == nil {
		u.lim = limiter.New[*job](u.limits(p), now)
	}
	if u.cap != p.capacity {
		u.lim.Configure(u.limits(p))
	}
	if u.client != nil && u.addr == p.upstream.Addr && u.cap == p.capacity {
		return
	}
	if u.addr != p.upstream.Addr {
		u.cool(now)
	}
	u.addr, u.cap = p.upstream.Addr, p.capacity
	if u.hang != nil {
		u.hang()
	}
	u.client, u.hang = u.d.dial(u.addr, u.cap, &connEvents{u})
}

func (u *upstream) limits(p *placement) limiter.Config {
	cfg := limiter.FromCapacity(p.capacity)
	cfg.SlowStart = u.d.cfg.SlowStart
	cfg.EarlyRefusal = u.d.cfg.EarlyRefusal
	return cfg
}

// cool makes the upstream cold.
func (u *upstream) cool(now time.Time) {
	cold := u.lim.IsCold()
	u.lim.Cool(now)
	u.turned(cold)
}

// turned counts a change between cold and warm.
func (u *upstream) turned(wasCold bool) {
	if u.lim.IsCold() == wasCold {
		return
	}
	u.counts.turns.Inc()
	u.d.log.Info("upstream changed", "upstream", u.key, "cold", !wasCold)
}

// sweep follows the view and the share when no task does, and reports whether
// the upstream can be forgotten.
func (u *upstream) sweep(now time.Time, v *viewer.View) bool {
	p := u.placed(v)
	u.mu.Lock()
	share := u.share()
	if u.lim == nil {
		u.dead = !p.known
		defer u.mu.Unlock()
		return u.dead
	}
	refusal := u.refusal(now, p, share)
	var gone []*job
	if refusal != nil {
		gone = u.lim.Flush()
	}
	u.mirror()
	idle := u.idle()
	if idle && !p.owned {
		u.hangUp()
	}
	forget := idle && !p.known
	u.dead = u.dead || forget
	u.mu.Unlock()
	for _, j := range gone {
		j.unwatch()
		r := *refusal
		r.ID = j.task.ID
		j.refuse(&r)
	}
	if refusal == nil {
		u.pump()
	}
	return forget
}

// refusal renews the tenure and returns the Result, without an ID, of all that
// waits when the upstream may be given no work, or nil.
func (u *upstream) refusal(now time.Time, p *placement, share exchanger.Share) *exchanger.Result {
	held := u.renew(now, p, share)
	if r := p.refusal(0); r != nil {
		return r
	}
	if !held {
		return fenced(0)
	}
	return u.closed(now, share, 0)
}

// end closes the connections once their requests have ended, and admits no more.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead = true
	u.hangUp()
}

// hangUp closes the connections once their requests have ended. The next task
// that this daemon may run opens new ones.
func (u *upstream) hangUp() {
	if u.hang == nil {
		return
	}
	u.hang()
	u.client, u.hang = nil, nil
}
