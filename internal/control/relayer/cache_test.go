package relayer

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/control/follower"
)

// memory is a Sink that keeps what it is told as text.
type memory struct {
	held map[string]string
	lost bool
}

func (m *memory) Replace(items []follower.Item[string], _ uint64) {
	m.held = make(map[string]string)
	for _, it := range items {
		m.held[it.Name] = it.Value
	}
}

func (m *memory) Apply(changes []follower.Change[string], _ uint64) {
	for _, c := range changes {
		if c.Removed {
			delete(m.held, c.Name)
			continue
		}
		m.held[c.Name] = c.Value
	}
}

func (m *memory) Lost(error)             { m.lost = true }
func (m *memory) Regained(time.Duration) { m.lost = false }

func item(name string, revision uint64, value string) follower.Item[string] {
	return follower.Item[string]{Name: name, Revision: revision, Value: value}
}

func changed(name string, revision uint64, value string) follower.Change[string] {
	return follower.Change[string]{Item: item(name, revision, value)}
}

func removed(name string, revision uint64) follower.Change[string] {
	return follower.Change[string]{Item: follower.Item[string]{Name: name, Revision: revision}, Removed: true}
}

func newTestCache() (*Cache[string], *memory) {
	m := &memory{}
	return NewCache[string]("test", m, &Relayer{}), m
}

func assertHeld(t *testing.T, m *memory, want string) {
	t.Helper()
	var got []string
	for name, value := range m.held {
		got = append(got, name+"="+value)
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, strings.Join(got, " ")); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
}

func TestCacheOrder(t *testing.T) {
	tests := []struct {
		name    string
		changes []follower.Change[string]
		want    string
	}{
		{"newer value", []follower.Change[string]{changed("a", 5, "new")}, "a=new b=2"},
		{"older value", []follower.Change[string]{changed("a", 1, "old")}, "a=1 b=2"},
		{"removal", []follower.Change[string]{removed("a", 3)}, "b=2"},
		{"removal of an older object", []follower.Change[string]{removed("a", 2)}, "a=1 b=2"},
		{"late value of a removed object", []follower.Change[string]{removed("a", 3), changed("a", 3, "late")}, "b=2"},
		{"created again", []follower.Change[string]{removed("a", 3), changed("a", 8, "again")}, "a=again b=2"},
		{"removal of an unknown object", []follower.Change[string]{removed("z", 9)}, "a=1 b=2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, m := newTestCache()
			c.Replace([]follower.Item[string]{item("a", 3, "1"), item("b", 4, "2")}, 4)
			c.Apply(tt.changes, 9)
			assertHeld(t, m, tt.want)
		})
	}
}

func TestCacheListAgain(t *testing.T) {
	c, m := newTestCache()
	c.Replace([]follower.Item[string]{item("a", 3, "1"), item("b", 4, "2")}, 4)
	c.Apply([]follower.Change[string]{changed("new", 12, "3")}, 12)
	// A list of an earlier moment proves nothing about what was created later.
	c.Replace([]follower.Item[string]{item("b", 6, "4")}, 10)
	assertHeld(t, m, "b=4 new=3")
}

// relay brings what one cache knows to another.
func relay(t *testing.T, from, to *Cache[string]) {
	t.Helper()
	revision, _ := to.Revision()
	u, err := from.since(revision)
	if err == nil {
		err = to.take(&u)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestCacheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, _ := newTestCache()
		target, m := newTestCache()
		source.Replace([]follower.Item[string]{item("a", 3, "1"), {Name: "bad", Revision: 4, Err: errors.New("no json")}}, 4)
		relay(t, source, target)
		assertHeld(t, m, "a=1 bad=")
		if err := target.items["bad"].Err; err == nil || err.Error() != "no json" {
			t.Errorf("fault of the relayed entry: %v", err)
		}

		source.Apply([]follower.Change[string]{removed("a", 3), changed("c", 6, "3")}, 7)
		if !source.newer(4) || source.newer(7) {
			t.Errorf("newer than 4: %v, than 7: %v", source.newer(4), source.newer(7))
		}
		relay(t, source, target)
		assertHeld(t, m, "bad= c=3")

		// A peer that was away for longer than removals are kept gets everything.
		source.Apply([]follower.Change[string]{removed("c", 6)}, 9)
		time.Sleep(removalTime + time.Second)
		source.Apply(nil, 10)
		relay(t, source, target)
		assertHeld(t, m, "bad=")
	})
}

// TestCacheLost covers the loss of the store's mark: clyde-shine's hunted day
// fresh-b9a2 had searchers kept for 3.2 s after they had left.
func TestCacheLost(t *testing.T) {
	down := errors.New("down")
	t.Run("a successful read clears the mark", func(t *testing.T) {
		c, m := newTestCache()
		c.Replace(nil, 4)
		c.Lost(down)
		c.Apply(nil, 4)
		if m.lost {
			t.Error("still lost after a successful read")
		}
	})
	t.Run("a peer that lost the store proves nothing", func(t *testing.T) {
		source, _ := newTestCache()
		target, m := newTestCache()
		source.Replace(nil, 4)
		target.Replace(nil, 4)
		source.Lost(down)
		relay(t, source, target)
		if m.lost {
			t.Error("lost, since a peer is")
		}
	})
	t.Run("a peer that reads the store clears the mark", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			source, _ := newTestCache()
			target, m := newTestCache()
			target.Replace(nil, 4)
			target.Lost(down)
			time.Sleep(time.Second)
			source.Replace(nil, 5)
			relay(t, source, target)
			if m.lost {
				t.Error("still lost after a peer's fresh answer")
			}
		})
	})
}

func TestCacheFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, _ := newTestCache()
		target, _ := newTestCache()
		if source.fresh(time.Hour) {
			t.Error("an empty cache is fresh")
		}
		source.Replace(nil, 4)
		time.Sleep(time.Second)
		relay(t, source, target)
		time.Sleep(time.Second)
		if target.fresh(1500*time.Millisecond) || !target.fresh(2500*time.Millisecond) {
			t.Error("want an age of 2 s, the source's age counted")
		}
		source.Lost(errors.New("down"))
		if source.fresh(time.Hour) {
			t.Error("fresh although the store does not answer")
		}
	})
}
