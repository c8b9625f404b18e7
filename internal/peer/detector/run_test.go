package detector

import (
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// run simulates the plan and returns the violation it finds, or "".
func (p plan) run() string {
	w := newSimulation(p)
	for w.step = 0; w.step < horizon && w.failure == ""; w.step++ {
		for _, e := range p.events {
			if e.at == w.step {
				w.apply(e)
			}
		}
		w.advance()
		if !w.isCovered() {
			return ""
		}
	}
	w.healAll()
	if w.failure == "" && len(w.alive()) > 0 {
		w.awaitOwners()
	}
	return w.failure
}

// healAll ends all partitions, losses and pauses; a message then takes at most one step.
func (w *simulation) healAll() {
	clear(w.cuts)
	w.loss, w.delay = 0, min(w.delay, 1)
	for _, d := range w.daemons {
		w.resume(d)
	}
}

// awaitOwners checks that within the bound every upstream has an owner with the whole share.
func (w *simulation) awaitOwners() {
	end := w.step + healWithin
	for lasting := 0; lasting < 10 && w.failure == ""; w.step++ {
		w.advance()
		if len(w.alive()) == 0 || !w.isCovered() {
			return
		}
		lasting++
		for _, key := range w.keys {
			if !w.hasOwner(key) {
				lasting = 0
			}
		}
		if w.step > end && lasting == 0 {
			w.fail("not every upstream has an owner with the whole share")
		}
	}
}

func (w *simulation) hasOwner(key string) bool {
	return slices.ContainsFunc(w.alive(), func(d *daemon) bool {
		s := d.permit.Share(w.now(d), key)
		return s.Num == s.Den && s.AllowCold
	})
}

// isCovered reports whether the protocol covers the current state: the member lists connect all
// running daemons, directly or through others, and each daemon without voters reaches every daemon
// with voters through the members it lists.
func (w *simulation) isCovered() bool {
	all := w.alive()
	if len(all) > 0 && len(w.reachable(all[0], func(d, o *daemon) bool { return lists(d, o) || lists(o, d) })) < len(all) {
		return false
	}
	for _, d := range all {
		if len(d.node.voters) > 0 {
			continue
		}
		reached := w.reachable(d, lists)
		for _, o := range all {
			if len(o.node.voters) > 0 && !slices.Contains(reached, o) {
				return false
			}
		}
	}
	return true
}

// reachable returns the running daemons to which a daemon is linked, directly or through others.
func (w *simulation) reachable(d *daemon, linked func(d, o *daemon) bool) []*daemon {
	seen := []*daemon{d}
	for i := 0; i < len(seen); i++ {
		for _, o := range w.alive() {
			if !slices.Contains(seen, o) && linked(seen[i], o) {
				seen = append(seen, o)
			}
		}
	}
	return seen
}

// lists reports whether o is a member in the list of d that has not ended.
func lists(d, o *daemon) bool {
	m, ok := d.node.members[o.self.ID]
	return ok && m.instance.State != declarer.Gone
}

// advance simulates one step.
func (w *simulation) advance() {
	for _, d := range w.daemons {
		d.work = slices.DeleteFunc(d.work, func(v work) bool { return !w.now(d).Before(v.end) })
	}
	for _, i := range w.rng.Perm(w.size) {
		w.advanceDaemon(w.daemons[i])
	}
	w.deliver()
	for _, key := range w.keys {
		if n := w.inFlightAt(key); n > limit {
			w.fail("%d in flight at %s", n, key)
		}
	}
}

func (w *simulation) advanceDaemon(d *daemon) {
	if !d.alive || d.frozen {
		return
	}
	w.complete(d)
	w.admit(d, w.load)
	if d.stalled {
		return
	}
	w.call(d, func(now time.Time) { w.tick(d, now) })
	if w.chance(w.gossip) {
		w.sendRecords(d, w.daemons[w.rng.IntN(w.size)], append(d.node.Records(), d.node.Self())...)
	}
	if w.chance(20) {
		w.confirmEnded(d)
	}
	if d.node.Self().State == declarer.Leaving && len(d.work) == 0 && w.chance(30) {
		w.endDaemon(d)
	}
}

// complete ends some work early, which makes upstreams warm.
func (w *simulation) complete(d *daemon) {
	d.work = slices.DeleteFunc(d.work, func(v work) bool {
		done := w.chance(10)
		if t := d.ownerships[v.key]; done && t.held {
			d.ownerships[v.key] = ownership{held: true, warm: true}
		}
		return done
	})
}

// deliver delivers the messages that are due, also those sent in the meantime.
func (w *simulation) deliver() {
	for i := 0; i < len(w.queue); i++ {
		m := w.queue[i]
		if m.at <= w.step {
			m.do()
			w.queue = slices.Delete(w.queue, i, i+1)
			i--
		}
	}
}

// endDaemon ends a daemon that has left, after it has sent its own end to all others.
func (w *simulation) endDaemon(d *daemon) {
	self := d.node.Self()
	self.State = declarer.Gone
	for _, o := range w.daemons {
		w.sendRecords(d, o, self)
	}
	w.halt(d)
}

func (w *simulation) halt(d *daemon) {
	d.alive, d.frozen, d.stalled = false, false, false
	d.inbox = nil
	d.endedAt = w.step
}

func (w *simulation) resume(d *daemon) {
	d.frozen, d.stalled = false, false
	inbox := d.inbox
	d.inbox = nil
	if d.alive {
		w.admit(d, w.load) // requests may run before the control goroutine
	}
	for _, f := range inbox {
		f()
	}
}

// apply performs an event, unless the state of the daemon rules it out.
func (w *simulation) apply(e event) {
	if e.action <= heal {
		w.applyCut(e)
		return
	}
	d := w.daemons[e.target]
	switch {
	case e.action == start:
		if !d.alive && (!d.lost || w.step-d.endedAt >= rebootSteps) {
			w.boot(d)
			w.introduce(d)
		}
	case !d.alive:
	case e.action == freeze:
		d.frozen = true
	case e.action == stall:
		d.stalled = true
	case e.action == resume:
		w.resume(d)
	case e.action == leave:
		w.call(d, func(now time.Time) { d.node.Leave(now) })
	case e.action == kill:
		w.halt(d)
		d.work = nil
	case e.action == lose:
		w.halt(d)
		d.lost = true
	}
}

func (w *simulation) applyCut(e event) {
	if e.action == heal {
		clear(w.cuts)
		return
	}
	for a := range w.size {
		for b := range w.size {
			if e.target>>a&1 == 1 && e.target>>b&1 == 0 {
				w.cuts[[2]int{a, b}] = true
				w.cuts[[2]int{b, a}] = w.cuts[[2]int{b, a}] || e.action == cut
			}
		}
	}
}
