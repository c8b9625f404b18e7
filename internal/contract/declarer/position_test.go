package declarer

import (
	"errors"
	"testing"
)

// TestPosition guards against positions that are ordered by revision across eras, or whose parts spill into each other.
func TestPosition(t *testing.T) {
	last, err := Position(1, MaxRevision)
	if err != nil {
		t.Fatal(err)
	}
	first, err := Position(2, 0)
	if err != nil {
		t.Fatal(err)
	}
	if first <= last || Era(last) != 1 || Revision(last) != MaxRevision || Era(first) != 2 || Revision(first) != 0 {
		t.Errorf("positions %d and %d: eras %d and %d, revisions %d and %d", last, first, Era(last), Era(first), Revision(last), Revision(first))
	}
	if p, err := Position(0, 17); p != 17 || err != nil {
		t.Errorf("position of revision 17 in era 0: %d, %v", p, err)
	}
	for _, parts := range [][2]uint64{{MaxEra + 1, 0}, {0, MaxRevision + 1}} {
		var fe *FieldError
		if _, err := Position(parts[0], parts[1]); !errors.As(err, &fe) {
			t.Errorf("position of era %d, revision %d: want a FieldError, got %v", parts[0], parts[1], err)
		}
	}
}
