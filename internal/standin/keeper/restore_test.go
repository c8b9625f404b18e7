package keeper

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/platform"
)

// TestRestore checks that the stand-in shows what daemons must cope with: what was written since the copy is gone, revisions are assigned
// again, watches beyond the copy get 410, and every answer states the era.
func TestRestore(t *testing.T) {
	s := NewMemoryStore()
	s.Set("k", "a", []byte(`1`))
	c := s.Copy()
	s.Set("k", "a", []byte(`2`))
	s.Set("k", "b", []byte(`3`))
	lost := s.Revision()
	waiting := make(chan bool)
	go func() {
		_, _, ok := s.Watch(t.Context(), "k", lost, 10*time.Second)
		waiting <- ok
	}()
	time.Sleep(20 * time.Millisecond)
	s.Restore(c)
	if <-waiting {
		t.Error("a watch that waits goes on in an era that has ended")
	}
	objects, revision := s.List("k")
	if diff := cmp.Diff([]platform.Object{{Name: "a", Revision: 1, Spec: []byte(`1`)}}, objects); diff != "" || revision != 1 {
		t.Errorf("revision %d, objects (-want +got):\n%s", revision, diff)
	}
	if _, _, ok := s.Watch(t.Context(), "k", lost, 0); ok {
		t.Error("a watch from a revision beyond the copy succeeded")
	}
	s.Set("k", "c", []byte(`4`))
	s.Set("k", "c", []byte(`5`))
	if s.Revision() != lost {
		t.Errorf("revision %d, want %d again", s.Revision(), lost)
	}
	for _, down := range []bool{false, true} {
		s.SetDown(down)
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete, http.MethodPatch} {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, platform.ObjectsPath+"k/none", http.NoBody))
			if era := w.Header().Get("Store-Era"); era != "1" {
				t.Errorf("%s, down %t: era %q", method, down, era)
			}
		}
	}
	// Nothing that was written since changes the copy.
	s.Restore(c)
	if objects, _ := s.List("k"); len(objects) != 1 || s.Era() != 2 {
		t.Errorf("restored again: %d objects, era %d", len(objects), s.Era())
	}
}
