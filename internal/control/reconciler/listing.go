package reconciler

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// absentReads is the number of consecutive reads of the platform's list without an
// instance after which its absence proves that it has ended.
const absentReads = 2

// neverListedTimeout is how long an instance that was never listed has to be missing
// before its absence from the list proves that it has ended.
const neverListedTimeout = 5 * time.Minute

// listing holds what the reads of the platform's list of instances have shown. Its maps
// are keyed by instance ID.
type listing struct {
	// hasRead is true after the first read.
	hasRead bool
	// listed holds the instances that were in a read.
	listed map[string]bool
	// missing holds the instances of the own zone whose state is Missing.
	missing map[string]missingInstance
}

// missingInstance holds what is known of an instance in state Missing.
type missingInstance struct {
	// since is when a read first found it missing.
	since time.Time
	// absent is the number of consecutive reads without it.
	absent int
}

func newListing() listing {
	return listing{listed: make(map[string]bool), missing: make(map[string]missingInstance)}
}

// record stores a read of the list and returns the IDs in it.
func (l *listing) record(instances []declarer.Instance) map[string]bool {
	l.hasRead = true
	current := make(map[string]bool, len(instances))
	for i := range instances {
		current[instances[i].ID] = true
		l.listed[instances[i].ID] = true
	}
	return current
}

// hasEnded records a read for the missing instance with an ID, and reports whether the
// reads so far prove that the instance has ended. isListed is true when it was in the read.
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
	isProof := l.listed[id] || now.Sub(m.since) >= neverListedTimeout
	return isProof && m.absent >= absentReads
}

// handleListing applies a read of the platform's list, which lags. It adds unknown
// instances of the own zone with no more than their address, and marks as gone those
// that are missing and no longer listed.
func (r *Reconciler) handleListing(now time.Time, instances []declarer.Instance) {
	isListed := r.listing.record(instances)
	r.peers.setListed(instances)
	r.merge(now, nil, r.unknownInstances(instances))
	for _, in := range r.state.Instances() {
		switch {
		case in.State == declarer.Gone:
			delete(r.listing.listed, in.ID)
			delete(r.listing.missing, in.ID)
		case in.State != declarer.Missing || in.Zone != r.cfg.Self.Zone:
			delete(r.listing.missing, in.ID)
		case r.listing.hasEnded(now, in.ID, isListed[in.ID]):
			r.confirmGone(now, in)
		}
	}
	for id := range r.listing.listed {
		if _, ok := r.state.Instance(id); !ok && !isListed[id] {
			delete(r.listing.listed, id)
		}
	}
}

// unknownInstances returns the valid listed instances of the own zone that this daemon
// does not know.
func (r *Reconciler) unknownInstances(instances []declarer.Instance) []declarer.Instance {
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
