package reconciler

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// absentReadings is the number of readings in a row of the platform's list that
// lack an instance before the list counts as proof that it has ended.
const absentReadings = 2

// missingTimeout is how long an instance that was never listed has to be missing
// before its absence from the list counts as proof.
const missingTimeout = 5 * time.Minute

// listing remembers the readings of the platform's list of instances.
type listing struct {
	// isRead is true after the first reading.
	isRead bool
	listed map[string]bool
	// missing holds what is known of the missing instances of the own zone.
	missing map[string]missing
}

// missing is an instance that is missing.
type missing struct {
	since time.Time
	// absent counts the readings in a row that lack it.
	absent int
}

func newListing() listing {
	return listing{listed: make(map[string]bool), missing: make(map[string]missing)}
}

// read notes a reading.
func (l *listing) read(instances []declarer.Instance) map[string]bool {
	l.isRead = true
	now := make(map[string]bool, len(instances))
	for i := range instances {
		now[instances[i].ID] = true
		l.listed[instances[i].ID] = true
	}
	return now
}

// hasEnded reports whether a reading proves that a missing instance has ended.
func (l *listing) hasEnded(now time.Time, id string, isListed bool) bool {
	m, ok := l.missing[id]
	if !ok {
		m.since = now
	}
	m.absent++
	if isListed {
		m.absent = 0
	}
	l.missing[id] = m
	isProof := l.listed[id] || now.Sub(m.since) >= missingTimeout
	return isProof && m.absent >= absentReadings
}

// readListing takes a reading of the platform's lagging list. Instances of the
// own zone become known by it, though nothing more than their address; those
// that are missing and no longer listed have ended.
func (r *Reconciler) readListing(now time.Time, instances []declarer.Instance) {
	isListed := r.listing.read(instances)
	r.peers.setListed(instances)
	r.merge(now, nil, r.unknown(instances))
	for _, in := range r.state.Instances() {
		switch {
		case in.State == declarer.Gone:
			delete(r.listing.listed, in.ID)
			delete(r.listing.missing, in.ID)
		case in.State != declarer.Missing || in.Zone != r.cfg.Self.Zone:
			delete(r.listing.missing, in.ID)
		case r.listing.hasEnded(now, in.ID, isListed[in.ID]):
			r.confirm(now, in)
		}
	}
	for id := range r.listing.listed {
		if _, ok := r.state.Instance(id); !ok && !isListed[id] {
			delete(r.listing.listed, id)
		}
	}
}

// unknown returns the instances of the own zone that this daemon does not know.
func (r *Reconciler) unknown(instances []declarer.Instance) []declarer.Instance {
	var found []declarer.Instance
	for _, in := range instances {
		if _, ok := r.state.Instance(in.ID); ok || in.Zone != r.cfg.Self.Zone {
			continue
		}
		in.Region = r.cfg.Self.Region
		if in.Check() == nil {
			found = append(found, in)
		}
	}
	return found
}
