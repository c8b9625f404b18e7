package relayer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/control/follower"
)

// modelStore is a store with a history. Its revisions start at 1.
type modelStore struct {
	revision uint64
	objects  map[string]uint64
	history  []follower.Change[string]
	// changedAt holds the revision of each change in history; that of a removal is not always in the change.
	changedAt []uint64
	// compacted is the revision before which the history is gone.
	compacted uint64
	// statesLast is true when the event of a removal has the revision of the object's last change, not that of its removal.
	statesLast bool
}

func (s *modelStore) set(name string) {
	s.revision++
	s.objects[name] = s.revision
	s.history = append(s.history, changed(name, s.revision, fmt.Sprint(s.revision)))
	s.changedAt = append(s.changedAt, s.revision)
}

func (s *modelStore) remove(name string) {
	last, exists := s.objects[name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects, name)
	if !s.statesLast {
		last = s.revision
	}
	s.history = append(s.history, removed(name, last))
	s.changedAt = append(s.changedAt, s.revision)
}

// stateAt returns the objects as of a revision.
func (s *modelStore) stateAt(revision uint64) string {
	objects := make(map[string]uint64)
	for i, ch := range s.history {
		switch {
		case s.changedAt[i] > revision:
		case ch.Removed:
			delete(objects, ch.Name)
		default:
			objects[ch.Name] = ch.Revision
		}
	}
	return formatObjects(objects)
}

func formatObjects(objects map[string]uint64) string {
	var out []string
	for name, revision := range objects {
		out = append(out, fmt.Sprintf("%s@%d", name, revision))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// model is a few caches that read the store or poll each other in any order.
type model struct {
	t      *testing.T
	store  *modelStore
	caches []*Cache[string]
	// inFlight holds the answers to polls that have not arrived, by the daemon that polled; nil is none.
	inFlight []*update
	// listing holds the first page of a list whose second one has not been read, by the daemon that reads it.
	listing []*firstPage
	steps   []string
}

// firstPage is the part of a list with the objects named a, as of a revision.
type firstPage struct {
	items    []follower.Item[string]
	revision uint64
}

func newModel(t *testing.T, daemons int, statesLast bool) *model {
	m := &model{t: t, store: &modelStore{revision: 1, objects: make(map[string]uint64), statesLast: statesLast}, inFlight: make([]*update, daemons), listing: make([]*firstPage, daemons)}
	for range daemons {
		c, _ := newTestCache()
		m.caches = append(m.caches, c)
	}
	return m
}

// items returns the objects whose name isWanted.
func (m *model) items(isWanted func(name string) bool) []follower.Item[string] {
	var items []follower.Item[string]
	for name, revision := range m.store.objects {
		if isWanted(name) {
			items = append(items, item(name, revision, fmt.Sprint(revision)))
		}
	}
	return items
}

func (m *model) list(i int) {
	m.caches[i].Replace(m.items(func(string) bool { return true }), m.store.revision)
}

// listPage makes daemon i read the next page of a list that takes two calls.
func (m *model) listPage(i int) {
	first := m.listing[i]
	if first == nil {
		m.listing[i] = &firstPage{m.items(func(name string) bool { return name == "a" }), m.store.revision}
		return
	}
	m.listing[i] = nil
	m.caches[i].Replace(append(first.items, m.items(func(name string) bool { return name != "a" })...), first.revision)
}

// watch reads what follows the cached revision, or a list when there is none or the store has no history since then.
func (m *model) watch(i int) {
	since, listed := m.caches[i].Revision()
	if !listed || since < m.store.compacted {
		m.list(i)
		return
	}
	n, _ := slices.BinarySearch(m.store.changedAt, since+1)
	m.caches[i].Apply(m.store.history[n:], m.store.revision)
}

// poll makes daemon j answer a poll of daemon i.
func (m *model) poll(i, j int) {
	if _, listed := m.caches[j].Revision(); !listed {
		return
	}
	revision, _ := m.caches[i].Revision()
	u, err := m.caches[j].updateSince(revision)
	if err != nil {
		m.t.Fatal(err)
	}
	m.inFlight[i] = &u
}

// receive makes daemon i apply the answer to its last poll.
func (m *model) receive(i int) {
	u := m.inFlight[i]
	if m.inFlight[i] = nil; u == nil {
		return
	}
	if err := m.caches[i].applyUpdate(u, 0); err != nil {
		m.t.Fatal(err)
	}
}

func (m *model) restart(i int) {
	m.caches[i], _ = newTestCache()
	m.inFlight[i], m.listing[i] = nil, nil
}

// step runs one random step. With pages set, some lists take two calls.
func (m *model) step(rnd *rand.Rand, pages bool) {
	i, j := rnd.IntN(len(m.caches)), rnd.IntN(len(m.caches)-1)
	if j >= i {
		j++
	}
	name := string(rune('a' + rnd.IntN(2)))
	what := ""
	switch rnd.IntN(16) {
	case 0, 1:
		what = "set " + name
		m.store.set(name)
	case 2, 3:
		what = "remove " + name
		m.store.remove(name)
	case 4:
		if pages {
			what = fmt.Sprintf("daemon %d reads a page of a list", i)
			m.listPage(i)
			break
		}
		fallthrough
	case 5, 6:
		what = fmt.Sprintf("daemon %d reads the store", i)
		m.watch(i)
	case 7, 8, 9:
		what = fmt.Sprintf("daemon %d polls %d", i, j)
		m.poll(i, j)
		m.receive(i)
	case 10, 11:
		what = fmt.Sprintf("daemon %d polls %d, the answer is late", i, j)
		m.poll(i, j)
	case 12, 13:
		what = fmt.Sprintf("daemon %d receives", i)
		m.receive(i)
	case 14:
		what = fmt.Sprintf("daemon %d restarts", i)
		m.restart(i)
	case 15:
		what = "the store forgets its history"
		m.store.compacted = m.store.revision
		if rnd.IntN(3) == 0 {
			what = "the daemons forget removals"
			time.Sleep(removalRetention + time.Second)
			for _, c := range m.caches {
				c.Apply(nil, 0)
			}
		}
	}
	m.steps = append(m.steps, what)
}

// check returns how a cache differs from the store as of the revision that the cache states.
func (m *model) check() string {
	for i, c := range m.caches {
		revision, listed := c.Revision()
		if !listed {
			continue
		}
		objects := make(map[string]uint64)
		for name, it := range c.items {
			objects[name] = it.Revision
		}
		if diff := cmp.Diff(m.store.stateAt(revision), formatObjects(objects)); diff != "" {
			return fmt.Sprintf("daemon %d at revision %d (-store +daemon):\n%s", i, revision, diff)
		}
	}
	return ""
}

// settle lets daemon 0 read the store and the others poll it.
func (m *model) settle() {
	m.watch(0)
	for i := 1; i < len(m.caches); i++ {
		m.poll(i, 0)
		m.receive(i)
	}
}

// TestModelOfRelay guards against a change that is lost for good in a daemon that states a revision after it: each cache must have
// exactly what the store had at the revision that the cache states, whoever it learned it from. Three daemons read the store or
// poll each other, with answers that are late, restarts, and histories that are forgotten, in random orders. A list whose pages are
// read one after the other shows no single revision; what it leaves must be right once all daemons are at the same one.
func TestModelOfRelay(t *testing.T) {
	const runs, steps = 4000, 24
	for _, tt := range []struct{ statesLast, pages bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("removals state the last change %t, pages %t", tt.statesLast, tt.pages), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(runs) {
					rnd := rand.New(rand.NewPCG(seed, 42))
					m := newModel(t, 3, tt.statesLast)
					for n := range steps {
						if m.step(rnd, tt.pages); n == steps-1 {
							m.settle()
						}
						if tt.pages && n < steps-1 {
							continue
						}
						if diff := m.check(); diff != "" {
							t.Fatalf("seed %d: %s\n%s", seed, strings.Join(m.steps, "\n"), diff)
						}
					}
				}
			})
		})
	}
}
