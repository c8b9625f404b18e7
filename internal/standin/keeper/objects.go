package keeper

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/responder"
)

// MaxValueBytes bounds the value of an object.
const MaxValueBytes = 1 << 20

// Batch is the answer to a list and to a watch.
type Batch struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Written is the answer to a write: the version of the object after it.
type Written struct {
	Version uint64 `json:"version"`
}

// viewLocked returns the revision and the objects that reads are served from.
func (k *Keeper) viewLocked() (uint64, map[declarer.Key]Object) {
	revision := k.store.revision
	if old := k.faults.OldReads; old > 0 {
		revision = min(old, revision)
	}
	return revision, k.store.at(revision)
}

func (k *Keeper) list(w http.ResponseWriter, r *http.Request) {
	kind := declarer.Kind(r.URL.Query().Get("kind"))
	k.mu.Lock()
	revision, view := k.viewLocked()
	objects := after(view, 0)
	k.mu.Unlock()
	if kind != "" {
		objects = slices.DeleteFunc(objects, func(o Object) bool { return o.Kind != kind })
	}
	responder.Write(w, http.StatusOK, Batch{Revision: revision, Objects: objects})
}

func (k *Keeper) get(w http.ResponseWriter, r *http.Request) {
	key := pathKey(r)
	k.mu.Lock()
	_, view := k.viewLocked()
	o, ok := view[key]
	k.mu.Unlock()
	if !ok {
		responder.Refuse(w, http.StatusNotFound, "object %s does not exist", key)
		return
	}
	responder.Write(w, http.StatusOK, o)
}

func (k *Keeper) put(w http.ResponseWriter, r *http.Request) {
	key := pathKey(r)
	expect, err := expectedVersion(r.Header)
	if err != nil {
		responder.Refuse(w, http.StatusPreconditionRequired, "%v", err)
		return
	}
	value, ok := responder.ReadRaw(w, r, MaxValueBytes)
	if !ok {
		return
	}
	k.mu.Lock()
	version, ok := k.store.write(key, expect, value)
	lost := false
	if ok {
		lost = k.noteWriteLocked()
	} else {
		k.counts.Conflicts++
	}
	k.mu.Unlock()
	switch {
	case lost:
		// The standard way to close a connection without an answer.
		panic(http.ErrAbortHandler)
	case ok:
		responder.Write(w, http.StatusOK, Written{Version: version})
	default:
		responder.Write(w, http.StatusPreconditionFailed, Written{Version: version})
	}
}

// noteWriteLocked wakes watches and reports whether the answer is to be lost.
func (k *Keeper) noteWriteLocked() bool {
	k.counts.Written++
	k.wakeLocked()
	if k.faults.Lose == 0 {
		return false
	}
	k.faults.Lose--
	k.counts.Lost++
	return true
}

func pathKey(r *http.Request) declarer.Key {
	return declarer.Key{Kind: declarer.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

// expectedVersion returns the version that the precondition headers ask for, 0
// for an object that must not exist.
func expectedVersion(h http.Header) (uint64, error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case none == "*" && match == "":
		return 0, nil
	case match == "" || none != "":
		return 0, fmt.Errorf(`want either If-Match: "VERSION" or If-None-Match: *`)
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, fmt.Errorf(`If-Match: want a version above 0 in quotes, got %s`, match)
	}
	return v, nil
}
