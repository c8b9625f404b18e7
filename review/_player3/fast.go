package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/platform"
)

// fastStore answers lists and watches from a store without encoding the objects anew, so that large answers take milliseconds.
type fastStore struct {
	store *keeper.MemoryStore
}

// ServeHTTP answers a call.
func (f *fastStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, platform.ObjectsPath)
	if r.Method != http.MethodGet || strings.Contains(kind, "/") {
		f.store.ServeHTTP(w, r)
		return
	}
	platform.WriteEra(w.Header(), f.store.Era())
	q := r.URL.Query()
	if !q.Has("watch") {
		objects, revision := f.store.List(kind)
		b := f.begin(w)
		fmt.Fprintf(b, `{"as_of":%d,"has_more":false,"items":[`, revision)
		for i := range objects {
			writeObject(b, i, &objects[i])
		}
		fmt.Fprint(b, "]}")
		b.Flush()
		return
	}
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	changes, revision, ok := f.store.Watch(r.Context(), kind, since, time.Duration(ms)*time.Millisecond)
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	b := f.begin(w)
	fmt.Fprintf(b, `{"as_of":%d,"events":[`, revision)
	for i := range changes {
		if i > 0 {
			fmt.Fprint(b, ",")
		}
		fmt.Fprintf(b, `{"removed":%t,"object":`, changes[i].Removed)
		writeObject(b, 0, &changes[i].Object)
		fmt.Fprint(b, "}")
	}
	fmt.Fprint(b, "]}")
	b.Flush()
}

func (f *fastStore) begin(w http.ResponseWriter) *bufio.Writer {
	w.Header().Set("Content-Type", "application/json")
	return bufio.NewWriterSize(w, 256<<10)
}

// writeObject writes the nth object of a list.
func writeObject(b *bufio.Writer, n int, o *platform.Object) {
	if n > 0 {
		fmt.Fprint(b, ",")
	}
	status := o.Status
	if status == nil {
		status = []byte("null")
	}
	fmt.Fprintf(b, `{"meta":{"name":%q,"revision":%d,"finalizers":[],"deleting":false},"spec":%s,"status":%s}`, o.Name, o.Revision, o.Spec, status)
}
