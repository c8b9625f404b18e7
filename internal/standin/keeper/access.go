package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cornelwood.example/platform"
)

// repeatedEvents is the number of old events in a repeated watch answer.
const repeatedEvents = 4

// access is the way to a Keeper's objects, with its faults.
type access struct {
	k *Keeper
}

var _ platform.ObjectStore = (*access)(nil)

// List returns the objects of a kind as reads show them.
func (a *access) List(kind string) ([]platform.Object, uint64) {
	if kind == platform.KindDaemons {
		a.k.count(&a.k.counts.Instances)
		return a.k.registered(), a.k.shelf.Revision()
	}
	a.k.count(&a.k.counts.List)
	return a.k.shelf.At(kind, a.revision())
}

// Get returns one object as reads show it.
func (a *access) Get(kind, name string) (platform.Object, bool) {
	a.k.count(&a.k.counts.Get)
	objects, _ := a.k.shelf.At(kind, a.revision())
	for _, ob := range objects {
		if ob.Name == name {
			return ob, true
		}
	}
	return platform.Object{}, false
}

// revision returns the revision that reads are served from.
func (a *access) revision() uint64 {
	revision := a.k.shelf.Revision()
	if old := a.k.Faults().OldReads; old > 0 {
		revision = min(old, revision)
	}
	return revision
}

// Watch waits for changes; an outage cuts it off.
func (a *access) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.ObjectChange, uint64, bool) {
	a.k.count(&a.k.counts.Watch)
	end := time.NewTimer(wait)
	defer end.Stop()
	late := false
	for {
		j := a.k.shelf.read(kind)
		out, next, visible, faults := a.events(&j, from)
		if from < j.floor || len(out) > 0 || late {
			return out, visible, from >= j.floor
		}
		from = next
		select {
		case <-j.changed:
		case <-faults:
			if a.k.Faults().Outage != Up {
				panic(http.ErrAbortHandler)
			}
		case <-end.C:
			late = true
		case <-a.k.closed:
			return nil, from, true
		case <-ctx.Done():
			return nil, from, true
		}
	}
}

// events returns the events above from that are shown, the revision up to which
// others were skipped, the one that is shown, and a channel that tells of other
// faults.
func (a *access) events(j *journal, from uint64) (out []platform.ObjectChange, next, visible uint64, faults <-chan struct{}) {
	k := a.k
	k.mu.Lock()
	defer k.mu.Unlock()
	visible = j.revision
	if old := k.faults.OldReads; old > 0 {
		visible = min(old, visible)
	}
	old := 0
	for _, ch := range j.changes {
		switch {
		case ch.Revision <= min(from, visible):
			old++
		case ch.Revision > visible || ch.Revision <= from:
		case k.faults.Miss > 0:
			k.faults.Miss--
			from = ch.Revision
		default:
			out = append(out, ch)
		}
	}
	if k.faults.Repeat > 0 && old > 0 {
		k.faults.Repeat--
		out = append(j.changes[max(0, old-repeatedEvents):old:old], out...)
	}
	return out, from, visible, k.changed
}

// Create writes an object that is not there.
func (a *access) Create(kind, name string, spec json.RawMessage) (platform.Object, bool) {
	ob, ok := a.k.shelf.Create(kind, name, spec)
	return ob, a.wrote(ok)
}

// Replace writes an object that is there.
func (a *access) Replace(kind, name string, spec json.RawMessage, revision uint64) (platform.Object, bool) {
	ob, ok := a.k.shelf.Replace(kind, name, spec, revision)
	return ob, a.wrote(ok)
}

// Delete removes an object.
func (a *access) Delete(kind, name string) bool {
	return a.wrote(a.k.shelf.Delete(kind, name))
}

// wrote counts a write, and closes the connection of one whose answer is lost.
func (a *access) wrote(ok bool) bool {
	k := a.k
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Put++
	if !ok {
		k.counts.Conflicts++
		return false
	}
	k.counts.Written++
	if k.faults.Lose > 0 {
		k.faults.Lose--
		k.counts.Lost++
		// The standard way to close a connection without an answer.
		panic(http.ErrAbortHandler)
	}
	return true
}
