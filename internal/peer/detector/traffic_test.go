package detector

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/assigner"
)

// inFlight returns Config.InFlight of a daemon. It may admit more work under the published permit
// before the count is used, as concurrent requests do.
func (w *simulation) inFlight(d *daemon, id string, leaving bool) int {
	n := 0
	for _, v := range d.work {
		pair := []declarer.Instance{{ID: d.self.ID}, {ID: id}}
		if leaving || assigner.Owner(v.key, pair) == 1 {
			n++
		}
	}
	if d.permit != nil && w.chance(50) {
		w.admit(d, 80)
	}
	return n
}

// share returns what a daemon may admit to an upstream, and updates its ownership of the upstream.
func (w *simulation) share(d *daemon, key string) exchanger.Share {
	s := d.permit.Share(w.now(d), key)
	if s.Scale(s.Den, w.now(d)) == 0 {
		d.ownerships[key] = ownership{}
	} else if !d.ownerships[key].held {
		d.ownerships[key] = ownership{held: true}
	}
	return s
}

// admit offers work to a daemon, each time with a probability of load percent.
func (w *simulation) admit(d *daemon, load int) {
	for _, key := range w.keys {
		s := w.share(d, key)
		t := d.ownerships[key]
		for t.held && w.chance(load) {
			mine := w.inFlightAt(key, d)
			if t.warm && mine >= s.Scale(limit, w.now(d)) || !t.warm && (!s.AllowCold || mine >= coldLimit) {
				break
			}
			end := s.ValidUntil.Add(takeover - fence)
			if w.longWork {
				end = end.Add(fence)
			} else if w.chance(20) {
				end = w.now(d).Add(time.Duration(w.rng.IntN(6)) * step)
			}
			d.work = append(d.work, work{key, end})
			w.checkCold(d, key, s, t)
		}
	}
}

// inFlightAt returns the number of sub-requests in flight at an upstream, from the given daemons or
// from all.
func (w *simulation) inFlightAt(key string, of ...*daemon) int {
	if len(of) == 0 {
		of = w.daemons
	}
	n := 0
	for _, d := range of {
		for _, v := range d.work {
			if v.key == key {
				n++
			}
		}
	}
	return n
}

// checkCold fails when a cold upstream gets work beside other work. While the group is divided into
// halves, one half may have the upstream warm and the other half cold.
func (w *simulation) checkCold(d *daemon, key string, s exchanger.Share, t ownership) {
	if t.warm || w.inFlightAt(key) <= coldLimit {
		return
	}
	for _, o := range w.daemons {
		if s.Num < s.Den && o != d && w.inFlightAt(key, o) > 0 && o.ownerships[key].warm {
			return
		}
	}
	w.fail("%s sends work to the cold upstream %s, which then has %d in flight", d.self.ID, key, w.inFlightAt(key))
}
