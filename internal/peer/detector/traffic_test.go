package detector

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/assigner"
)

// inFlight counts work, and lets the traffic go on under the published permit
// before the count is used.
func (w *world) inFlight(d *daemon, id string, leaving bool) int {
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

// share is what the traffic of a daemon may admit; the tenure follows it.
func (w *world) share(d *daemon, key string) exchanger.Share {
	s := d.permit.Share(w.now(d), key)
	if s.Scale(s.Den, w.now(d)) == 0 {
		d.tenures[key] = tenure{}
	} else if !d.tenures[key].held {
		d.tenures[key] = tenure{held: true}
	}
	return s
}

// admit offers work, of a load in 100, to the traffic of a daemon.
func (w *world) admit(d *daemon, load int) {
	for _, key := range w.keys {
		s := w.share(d, key)
		t := d.tenures[key]
		for t.held && w.chance(load) {
			mine := w.at(key, d)
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

// at counts the work at an upstream, of one daemon or of all.
func (w *world) at(key string, of ...*daemon) int {
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

// checkCold finds work given to a cold upstream beside other work. Only the half
// of a group may have the upstream warm while the other half has it cold.
func (w *world) checkCold(d *daemon, key string, s exchanger.Share, t tenure) {
	if t.warm || w.at(key) <= coldLimit {
		return
	}
	for _, o := range w.daemons {
		if s.Num < s.Den && o != d && w.at(key, o) > 0 && o.tenures[key].warm {
			return
		}
	}
	w.fail("%s gives work to %s, which is cold, beside other work: %d", d.self.ID, key, w.at(key))
}
