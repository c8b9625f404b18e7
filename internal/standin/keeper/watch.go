package keeper

import (
	"net/http"
	"strconv"
	"time"

	"cornelwood.example/internal/standin/responder"
)

const (
	defaultWait = 30 * time.Second
	maxWait     = 5 * time.Minute
	// repeatedEvents is the number of old events in a repeated watch answer.
	repeatedEvents = 4
)

func (k *Keeper) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		responder.Refuse(w, http.StatusBadRequest, "from: want a revision, got %q", q.Get("from"))
		return
	}
	wait := defaultWait
	if text := q.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
	}
	if err != nil || wait < 0 || wait > maxWait {
		responder.Refuse(w, http.StatusBadRequest, "wait: want 0s to %s, got %q", maxWait, q.Get("wait"))
		return
	}
	k.serveWatch(w, r, from, wait)
}

// serveWatch answers with the events above from as soon as there are some, and
// with none after the wait.
func (k *Keeper) serveWatch(w http.ResponseWriter, r *http.Request, from uint64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	late := false
	for {
		batch, next, changed := k.events(from)
		from = next
		if len(batch.Objects) > 0 || late {
			responder.Write(w, http.StatusOK, batch)
			return
		}
		select {
		case <-changed:
			if k.isDown(w, r) {
				return
			}
		case <-t.C:
			late = true
		case <-r.Context().Done():
			return
		case <-k.closed:
			return
		}
	}
}

// events returns the events above from, the revision up to which events were
// skipped, and the channel that tells of further ones.
func (k *Keeper) events(from uint64) (Batch, uint64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	revision, view := k.viewLocked()
	objects := after(view, from)
	for len(objects) > 0 && k.faults.Miss > 0 {
		k.faults.Miss--
		from = objects[0].Version
		objects = objects[1:]
	}
	if old := k.store.before(min(from, revision), repeatedEvents); k.faults.Repeat > 0 && len(old) > 0 {
		k.faults.Repeat--
		objects = append(old, objects...)
	}
	return Batch{Revision: revision, Objects: objects}, from, k.changed
}
