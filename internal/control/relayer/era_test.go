package relayer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/peer/linker"
)

// at returns the position of a revision in an era.
func at(era, revision uint64) uint64 {
	p, err := declarer.Position(era, revision)
	if err != nil {
		panic(err)
	}
	return p
}

// TestCacheNewEra guards against state of the history that the store has left: a list of a new era replaces it although its revisions
// are lower, and nothing of the earlier era changes that again.
func TestCacheNewEra(t *testing.T) {
	c, m := newTestCache()
	var eras []uint64
	c.onEra = func(era uint64) { eras = append(eras, era) }
	c.Replace([]follower.Item[string]{item("a", 3, "1"), item("b", 40, "2"), item("gone", 41, "3")}, 41)
	c.Replace([]follower.Item[string]{item("a", at(1, 3), "1"), item("b", at(1, 20), "old")}, at(1, 20))
	assertValues(t, m, "a=1 b=old")
	c.Apply([]follower.Change[string]{changed("b", 50, "late"), changed("new", 51, "late"), removed("a", 52)}, 52)
	c.Replace([]follower.Item[string]{item("b", 60, "late")}, 60)
	assertValues(t, m, "a=1 b=old")
	c.Apply([]follower.Change[string]{changed("gone", at(1, 21), "again")}, at(1, 21))
	assertValues(t, m, "a=1 b=old gone=again")
	if diff := cmp.Diff([]uint64{0, 1}, eras); diff != "" {
		t.Errorf("eras (-want +got):\n%s", diff)
	}
}

// TestRelayNewEra guards against a daemon that keeps state which a restored store does not have, because its peer sends it changes only, or
// takes state from a peer that has not noticed the new era.
func TestRelayNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, _ := newTestCache()
		target, m := newTestCache()
		source.Replace([]follower.Item[string]{item("a", 3, "1"), item("b", 40, "2")}, 41)
		transferUpdate(t, source, target)
		source.Replace([]follower.Item[string]{item("a", at(1, 3), "1")}, at(1, 10))
		if !source.hasNewerThan(41) || !target.isOutdatedFor(at(1, 10)) || target.isOutdatedFor(5) {
			t.Error("a poll across eras does not get an answer at once")
		}
		for _, known := range []uint64{41, at(2, 1)} {
			if u, err := source.updateSince(known); err != nil || !u.Whole {
				t.Errorf("update for position %d: whole %t, error %v", known, u.Whole, err)
			}
		}
		transferUpdate(t, source, target)
		assertValues(t, m, "a=1")

		// A peer of the earlier era: not applied, not fresh, not a sign of an answer from the store.
		behind, _ := newTestCache()
		behind.Replace([]follower.Item[string]{item("a", 90, "late"), item("b", 91, "late")}, 91)
		target.Lost(errors.New("away"))
		confirmedAt := target.confirmedAt
		time.Sleep(time.Second)
		behind.Apply(nil, 92)
		u, err := behind.updateSince(0)
		if err != nil {
			t.Fatal(err)
		}
		if target.acceptsAge(&u) {
			t.Error("state of an earlier era counts as fresh")
		}
		if err := target.applyUpdate(&u, 0); err != nil {
			t.Fatal(err)
		}
		assertValues(t, m, "a=1")
		if !target.isLost() || !target.confirmedAt.Equal(confirmedAt) {
			t.Error("a peer of an earlier era confirmed the state")
		}
	})
}

// TestPollShowsEra guards against a source that learns of a new era from its own calls only, while its peers know it.
func TestPollShowsEra(t *testing.T) {
	r := New(Default(), declarer.Member{ID: "d"}, nil, nil, nil, &fakeObserver{}, hclog.NewNullLogger())
	c := NewCache[string]("test", &memorySink{}, r)
	c.Replace([]follower.Item[string]{item("a", 3, "1")}, 3)
	var eras []uint64
	r.OnEra(func(era uint64) { eras = append(eras, era) })
	body, err := linker.Encode(&pollRequest{From: "p", Revisions: map[string]uint64{"test": at(1, 4)}, Wait: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Handle(t.Context(), declarer.Member{}.Peer, body); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{1}, eras); diff != "" {
		t.Errorf("eras (-want +got):\n%s", diff)
	}
}

// keptCache is a cache that keeps the greater of two values across eras, with the last date.
type keptCache struct {
	*Cache[string]
	sink *memorySink
	date time.Duration
}

func newKeptCache() *keptCache {
	r := &Relayer{}
	r.cfg.Clock = func() time.Duration { return time.Hour }
	k := &keptCache{sink: &memorySink{}}
	k.Cache = NewCache[string]("test", k.sink, r)
	k.KeepNewer(func(value, than string) bool { return value < than })
	k.LimitAge(testMaxAge, func(at time.Duration) { k.date = at })
	return k
}

func (k *keptCache) assertDate(t *testing.T, what string, want time.Duration) {
	t.Helper()
	if k.date != want {
		t.Errorf("%s: date %s, want %s", what, k.date, want)
	}
}

// TestKeepNewer guards against a desired state that goes back to that of the copy, here or at a daemon that starts, so that keys that had
// been withdrawn are valid again; and against a date that is renewed by a store that confirms the older version.
func TestKeepNewer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		restored []follower.Item[string]
	}{
		{"older version", []follower.Item[string]{item("main", at(1, 5), "v5")}},
		{"none", nil},
		{"invalid version", []follower.Item[string]{{Name: "main", Revision: at(1, 5), Err: errors.New("invalid")}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeptCache()
				k.Replace([]follower.Item[string]{item("main", 10, "v6")}, 10)
				k.Confirm(time.Second)
				k.Replace(tt.restored, at(1, 8))
				k.Confirm(2 * time.Second)
				k.Apply(nil, at(1, 9))
				k.Confirm(3 * time.Second)
				assertValues(t, k.sink, "main=v6")
				k.assertDate(t, "older version confirmed", time.Second)

				// A daemon that starts, one of the earlier era, and one that has read the older version itself.
				started, before, read := newKeptCache(), newKeptCache(), newKeptCache()
				before.Replace([]follower.Item[string]{item("main", 4, "v5")}, 4)
				read.Replace([]follower.Item[string]{item("main", at(1, 5), "v5")}, at(1, 9))
				for _, peer := range []*keptCache{started, before, read} {
					transferUpdate(t, k.Cache, peer.Cache)
					assertValues(t, peer.sink, "main=v6")
					peer.Apply(nil, at(1, 9))
					peer.Confirm(4 * time.Second)
					if peer.date >= 4*time.Second {
						t.Errorf("a peer's date is renewed to %s by the store, which has the older version", peer.date)
					}
				}
				u, err := k.updateSince(at(1, 9))
				if err != nil || len(u.Entries) == 0 {
					t.Errorf("an answer at the start of an era has no kept object, error %v", err)
				}
				time.Sleep(heldRelayTime)
				if u, err := k.updateSince(at(1, 9)); err != nil || len(u.Entries) > 0 {
					t.Errorf("%d bytes of kept objects in each answer, error %v", len(u.Entries), err)
				}

				// Another older version, then the same one written again.
				k.Apply([]follower.Change[string]{changed("main", at(1, 11), "v4")}, at(1, 11))
				assertValues(t, k.sink, "main=v6")
				k.Apply([]follower.Change[string]{changed("main", at(1, 12), "v6")}, at(1, 12))
				k.Confirm(5 * time.Second)
				assertValues(t, k.sink, "main=v6")
				k.assertDate(t, "written again", 5*time.Second)
			})
		})
	}
}

// TestConfirmOfOlderState guards against a date that is renewed by an answer or a peer that lacks a change which is known here.
func TestConfirmOfOlderState(t *testing.T) {
	k := newKeptCache()
	k.Replace([]follower.Item[string]{item("main", 3, "v3")}, 3)
	k.Apply([]follower.Change[string]{changed("main", 10, "v4")}, 10)
	k.Confirm(time.Second)
	k.Replace([]follower.Item[string]{item("main", 3, "v3")}, 9)
	k.Confirm(2 * time.Second)
	k.assertDate(t, "older list", time.Second)
	if err := k.applyUpdate(&update{Kind: "test", Revision: 9, Asked: 1}, 3*time.Second); err != nil {
		t.Fatal(err)
	}
	k.assertDate(t, "peer with older state", time.Second)
	k.Apply(nil, 10)
	k.Confirm(4 * time.Second)
	k.assertDate(t, "current", 4*time.Second)
}
