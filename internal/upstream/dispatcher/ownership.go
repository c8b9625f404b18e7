package dispatcher

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/upstream/limiter"
)

// renewOwnership updates the upstream from the placement and the share, and reports
// whether this daemon may admit work to it now. The upstream becomes cold after a gap in
// the ownership: a fence, an expired share, another owner, a time for which it was taken
// out, or a new incarnation or term of this instance.
func (u *upstream) renewOwnership(now time.Time, p *placement, share exchanger.Share) bool {
	if u.removed || !p.declared || !p.owned || p.takenOut || share.Num == 0 || !now.Before(share.ValidUntil) {
		u.ownership.held = false
		return false
	}
	u.configure(now, p)
	self := &p.view.Self
	t := &u.ownership
	if !t.held || now.After(t.until) || t.incarnation != self.Incarnation || t.term != self.Term {
		u.markCold(now)
	}
	*t = ownership{held: true, until: share.ValidUntil, incarnation: self.Incarnation, term: self.Term}
	return true
}

// configure applies changes of the declared capacity and address. At a new address the
// upstream is cold, because it is another process in an unknown state.
func (u *upstream) configure(now time.Time, p *placement) {
	if u.lim == nil {
		u.lim = limiter.New[*job](u.limiterConfig(p), now)
	}
	if u.cap != p.capacity {
		u.lim.Configure(u.limiterConfig(p))
	}
	if u.client != nil && u.addr == p.upstream.Addr && u.cap == p.capacity {
		return
	}
	if u.addr != p.upstream.Addr {
		u.markCold(now)
	}
	u.addr, u.cap = p.upstream.Addr, p.capacity
	if u.closeClient != nil {
		u.closeClient()
	}
	u.client, u.closeClient = u.d.dial(u.addr, u.cap, &connEvents{u})
}

func (u *upstream) limiterConfig(p *placement) limiter.Config {
	cfg := limiter.FromCapacity(p.capacity)
	cfg.SlowStart = u.d.cfg.SlowStart
	cfg.EarlyRefusal = u.d.cfg.EarlyRefusal
	return cfg
}

// markCold makes the upstream cold.
func (u *upstream) markCold(now time.Time) {
	cold := u.lim.IsCold()
	u.lim.MarkCold(now)
	u.countColdChange(cold)
}

// countColdChange counts and logs a change between cold and warm.
func (u *upstream) countColdChange(wasCold bool) {
	if u.lim.IsCold() == wasCold {
		return
	}
	u.counts.coldChanges.Inc()
	u.d.log.Info("upstream changed between cold and warm", "upstream", u.key, "cold", !wasCold)
}

// sweep updates the upstream from the view and the share, and starts or refuses waiting
// jobs. It reports whether the upstream can be removed.
func (u *upstream) sweep(now time.Time, v *viewer.View) bool {
	p := u.placementIn(v)
	u.mu.Lock()
	share := u.share()
	if u.lim == nil {
		u.removed = !p.declared
		defer u.mu.Unlock()
		return u.removed
	}
	refusal := u.renewOrRefuse(now, p, share)
	var refused []*job
	if refusal != nil {
		refused = u.lim.Flush()
	}
	u.publishCounts()
	idle := u.idle()
	if idle && !p.owned {
		u.disconnect()
	}
	removable := idle && !p.declared
	u.removed = u.removed || removable
	u.mu.Unlock()
	for _, j := range refused {
		j.stopWatch()
		r := *refusal
		r.ID = j.task.ID
		j.refuse(&r)
	}
	if refusal == nil {
		u.processQueue()
	}
	return removable
}

// renewOrRefuse renews the ownership. When the upstream may be given no work, it returns
// the Result, without an ID, for all waiting jobs.
func (u *upstream) renewOrRefuse(now time.Time, p *placement, share exchanger.Share) *exchanger.Result {
	held := u.renewOwnership(now, p, share)
	if r := p.refusal(0); r != nil {
		return r
	}
	if !held {
		return fencedResult(0)
	}
	return u.admissionRefusal(now, share, 0)
}

// close closes the connections once their requests have ended, and admits no more work.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removed = true
	u.disconnect()
}

// disconnect closes the connections once their requests have ended. The next task that
// this daemon may run opens new ones.
func (u *upstream) disconnect() {
	if u.closeClient == nil {
		return
	}
	u.closeClient()
	u.client, u.closeClient = nil, nil
}
