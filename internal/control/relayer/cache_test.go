package relayer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/control/follower"
)

// memorySink is a Sink that holds the values of the objects in memory.
type memorySink struct {
	values map[string]string
	isLost bool
	// confirmed holds the revisions that were confirmed, each with the number of values at that moment.
	confirmed []string
}

func (m *memorySink) Replace(items []follower.Item[string], _ uint64) {
	m.values = make(map[string]string)
	for _, it := range items {
		m.values[it.Name] = it.Value
	}
}

func (m *memorySink) Apply(changes []follower.Change[string], _ uint64) {
	for _, c := range changes {
		if c.Removed {
			delete(m.values, c.Name)
			continue
		}
		m.values[c.Name] = c.Value
	}
}

func (m *memorySink) Confirm(revision uint64) {
	m.confirmed = append(m.confirmed, fmt.Sprintf("%d:%d", revision, len(m.values)))
}

func (m *memorySink) Lost(error)             { m.isLost = true }
func (m *memorySink) Regained(time.Duration) { m.isLost = false }

func item(name string, revision uint64, value string) follower.Item[string] {
	return follower.Item[string]{Name: name, Revision: revision, Value: value}
}

func changed(name string, revision uint64, value string) follower.Change[string] {
	return follower.Change[string]{Item: item(name, revision, value)}
}

func removed(name string, revision uint64) follower.Change[string] {
	return follower.Change[string]{Item: follower.Item[string]{Name: name, Revision: revision}, Removed: true}
}

func newTestCache() (*Cache[string], *memorySink) {
	m := &memorySink{}
	return NewCache[string]("test", m, &Relayer{}), m
}

func assertValues(t *testing.T, m *memorySink, want string) {
	t.Helper()
	var got []string
	for name, value := range m.values {
		got = append(got, name+"="+value)
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, strings.Join(got, " ")); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
}

// TestConfirm checks that the sink learns up to which revision the state is known, also without a change, and after the changes.
func TestConfirm(t *testing.T) {
	c, m := newTestCache()
	c.Replace([]follower.Item[string]{item("a", 1, "x")}, 3)
	c.Apply(nil, 5)
	c.Apply([]follower.Change[string]{changed("b", 7, "y")}, 8)
	c.Apply(nil, 4)
	if diff := cmp.Diff([]string{"3:1", "5:1", "8:2", "8:2"}, m.confirmed); diff != "" {
		t.Errorf("confirmed revisions (-want +got):\n%s", diff)
	}
}

func TestCacheChangeOrder(t *testing.T) {
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
			assertValues(t, m, tt.want)
		})
	}
}

func TestCacheRelist(t *testing.T) {
	c, m := newTestCache()
	c.Replace([]follower.Item[string]{item("a", 3, "1"), item("b", 4, "2")}, 4)
	c.Apply([]follower.Change[string]{changed("new", 12, "3")}, 12)
	// A list of an earlier revision does not remove what was created later.
	c.Replace([]follower.Item[string]{item("b", 6, "4")}, 10)
	assertValues(t, m, "b=4 new=3")
}

// transferUpdate brings one cache up to date from another.
func transferUpdate(t *testing.T, from, to *Cache[string]) {
	t.Helper()
	revision, _ := to.Revision()
	u, err := from.updateSince(revision)
	if err == nil {
		err = to.applyUpdate(&u, 0)
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
		transferUpdate(t, source, target)
		assertValues(t, m, "a=1 bad=")
		if err := target.items["bad"].Err; err == nil || err.Error() != "no json" {
			t.Errorf("error of the relayed item: %v", err)
		}

		source.Apply([]follower.Change[string]{removed("a", 3), changed("c", 6, "3")}, 7)
		if !source.hasNewerThan(4) || source.hasNewerThan(7) {
			t.Errorf("newer than 4: %v, than 7: %v", source.hasNewerThan(4), source.hasNewerThan(7))
		}
		transferUpdate(t, source, target)
		assertValues(t, m, "bad= c=3")

		// A peer that was away for longer than tombstones are kept gets the full list.
		source.Apply([]follower.Change[string]{removed("c", 6)}, 9)
		time.Sleep(removalRetention + time.Second)
		source.Apply(nil, 10)
		transferUpdate(t, source, target)
		assertValues(t, m, "bad=")
	})
}

// TestCacheLost checks what ends an outage of the store. Caches that still counted the
// store as lost after it answered kept searchers for 3.2 s after these had left.
func TestCacheLost(t *testing.T) {
	down := errors.New("down")
	t.Run("a successful read ends the outage", func(t *testing.T) {
		c, m := newTestCache()
		c.Replace(nil, 4)
		c.Lost(down)
		c.Apply(nil, 4)
		if m.isLost {
			t.Error("still lost after a successful read")
		}
	})
	t.Run("an update from a peer that lost the store does not start an outage", func(t *testing.T) {
		source, _ := newTestCache()
		target, m := newTestCache()
		source.Replace(nil, 4)
		target.Replace(nil, 4)
		source.Lost(down)
		transferUpdate(t, source, target)
		if m.isLost {
			t.Error("the store counts as lost because a peer lost it")
		}
	})
	t.Run("an update from a peer that reads the store ends the outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			source, _ := newTestCache()
			target, m := newTestCache()
			target.Replace(nil, 4)
			target.Lost(down)
			time.Sleep(time.Second)
			source.Replace(nil, 5)
			transferUpdate(t, source, target)
			if m.isLost {
				t.Error("still lost after a fresh update from a peer")
			}
		})
	})
}

func TestCacheFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, _ := newTestCache()
		target, _ := newTestCache()
		if source.isFresh(time.Hour) {
			t.Error("an empty cache is fresh")
		}
		source.Replace(nil, 4)
		time.Sleep(time.Second)
		transferUpdate(t, source, target)
		time.Sleep(time.Second)
		if target.isFresh(1500*time.Millisecond) || !target.isFresh(2500*time.Millisecond) {
			t.Error("want an age of 2 s, including the age at the source")
		}
		source.Lost(errors.New("down"))
		if source.isFresh(time.Hour) {
			t.Error("fresh while the store does not answer")
		}
	})
}

// TestInvalidate checks that the state counts as stale after a pause of the process, also for peers, until a
// confirmation that was not read from what had arrived before.
func TestInvalidate(t *testing.T) {
	const maxAge = time.Second
	synctest.Test(t, func(t *testing.T) {
		c, _ := newTestCache()
		c.Replace([]follower.Item[string]{item("a", 1, "x")}, 1)
		got := []bool{c.isFresh(maxAge)}
		c.invalidate()
		got = append(got, c.isFresh(maxAge))
		c.Apply(nil, 1)
		got = append(got, c.isFresh(maxAge))
		u, err := c.updateSince(1)
		if err != nil || u.Age <= maxAge {
			t.Errorf("peers see an age of %s, %v, want more than %s", u.Age, err, maxAge)
		}
		time.Sleep(staleAnswerTime)
		c.Apply(nil, 1)
		got = append(got, c.isFresh(maxAge))
		if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
			t.Errorf("fresh before, after, after an old answer, after a new one (-want +got):\n%s", diff)
		}
	})
}

// TestOldListBringsNothingBack checks that an object which was removed stays so when a peer's older list arrives, at a
// daemon that saw the removal and at one that has started since.
func TestOldListBringsNothingBack(t *testing.T) {
	old, _ := newTestCache()
	old.Replace([]follower.Item[string]{item("a", 1, "x"), item("gone", 2, "x")}, 4)
	u, err := old.updateSince(0)
	if err != nil {
		t.Fatal(err)
	}
	for name, prepare := range map[string]func(c *Cache[string]){
		"saw the removal": func(c *Cache[string]) {
			c.Replace([]follower.Item[string]{item("a", 1, "x"), item("gone", 2, "x")}, 4)
			c.Apply([]follower.Change[string]{removed("gone", 2)}, 5)
		},
		"has started since": func(c *Cache[string]) { c.Replace([]follower.Item[string]{item("a", 1, "x")}, 6) },
	} {
		t.Run(name, func(t *testing.T) {
			c, m := newTestCache()
			prepare(c)
			if err := c.applyUpdate(&u, 0); err != nil {
				t.Fatal(err)
			}
			assertValues(t, m, "a=x")
		})
	}
}

// TestRemovalBeforeFirstList checks that a peer with older state learns from a daemon that has started since what was
// removed before.
func TestRemovalBeforeFirstList(t *testing.T) {
	peer, m := newTestCache()
	peer.Replace([]follower.Item[string]{item("a", 1, "x"), item("gone", 2, "x")}, 4)
	started, _ := newTestCache()
	started.Replace([]follower.Item[string]{item("a", 1, "x"), item("new", 6, "x")}, 6)
	u, err := started.updateSince(4)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.applyUpdate(&u, 0); err != nil {
		t.Fatal(err)
	}
	assertValues(t, m, "a=x new=x")
}
