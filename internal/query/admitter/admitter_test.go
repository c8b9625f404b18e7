package admitter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAdmit checks that lower priorities are shed first, and that higher ones are still admitted then.
func TestAdmit(t *testing.T) {
	a := New(10)
	var admitted []int
	for _, priority := range []int{0, 4, 9} {
		n := 0
		for a.Admit(priority) {
			n++
		}
		admitted = append(admitted, n)
	}
	if diff := cmp.Diff([]int{5, 2, 3}, admitted); diff != "" {
		t.Errorf("admitted by priority 0, 4 and 9 (-want +got):\n%s", diff)
	}
	a.Release()
	if a.Admit(0) || !a.Admit(9) || a.Running() != 10 {
		t.Errorf("a released place was not kept for priority 9; %d queries running", a.Running())
	}
}
