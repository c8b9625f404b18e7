package detector

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/assigner"
)

// group is a set of nodes whose messages arrive without delay.
type group struct {
	t        testing.TB
	now      time.Time
	nodes    map[string]*Node
	silent   map[string]bool // nodes that receive and send nothing
	inFlight map[string]int  // work of a node at upstreams for which others rank first
	// count is true while the group counts the messages and their bytes.
	count           bool
	messages, bytes int
}

func instance(id string) declarer.Instance {
	return declarer.Instance{
		ID: id, Zone: "addis-a", Region: "et-central", Incarnation: 1,
		Peer: netip.MustParseAddrPort("127.0.0.1:7000"),
	}
}

func newGroup(t testing.TB, ids ...string) *group {
	g := &group{
		t: t, now: time.Unix(1000, 0),
		nodes: make(map[string]*Node), silent: make(map[string]bool), inFlight: make(map[string]int),
	}
	for _, id := range ids {
		g.add(instance(id))
	}
	return g
}

// add starts a node that has the records of all others.
func (g *group) add(record declarer.Instance) {
	g.addWith(record, Config{Interval: interval, Fence: fence, Takeover: takeover})
}

func (g *group) addWith(record declarer.Instance, cfg Config) {
	cfg.InFlight = func(string, bool) int { return g.inFlight[record.ID] }
	n := New(cfg, record, g.now)
	for _, other := range g.nodes {
		n.HandleRecord(g.now, other.Self())
	}
	g.nodes[record.ID] = n
	n.Permit()
}

// run advances the time by d, in steps.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(step) {
		for id, n := range g.nodes {
			if !g.silent[id] {
				g.send(n)
			}
		}
	}
}

func (g *group) send(n *Node) {
	for _, out := range n.Tick(g.now) {
		to, ok := g.nodes[out.To.ID]
		if !ok || g.silent[out.To.ID] {
			continue
		}
		ack := to.HandlePing(g.now, out.Ping)
		to.Permit()
		n.HandleAck(g.now, ack)
		n.Permit()
		if g.count {
			g.messages += 2
			g.bytes += len(encode(g.t, &out.Ping)) + len(encode(g.t, &ack))
		}
	}
	n.Permit()
}

// keyOf returns an upstream key for which a node ranks first.
func (g *group) keyOf(id string) string {
	var all []declarer.Instance
	for id := range g.nodes {
		all = append(all, declarer.Instance{ID: id})
	}
	for key := "u"; ; key += "u" {
		if all[assigner.Owner(key, all)].ID == id {
			return key
		}
	}
}

// assertShare checks the share that a node has now at an upstream.
func (g *group) assertShare(id, key string, num, den int, cold bool) {
	g.t.Helper()
	want := exchanger.Share{Num: num, Den: den, AllowCold: cold}
	got := g.nodes[id].Permit().Share(g.now, key)
	if d := cmp.Diff(want, got, cmpopts.IgnoreFields(exchanger.Share{}, "ValidUntil")); d != "" {
		g.t.Errorf("share of %s at %s (-want +got):\n%s", key, id, d)
	}
}

// assertState checks the state of "b" in the records of node "a".
func (g *group) assertState(want declarer.State) {
	g.t.Helper()
	got := g.nodes["a"].Records()
	i := slices.IndexFunc(got, func(record declarer.Instance) bool { return record.ID == "b" })
	if d := cmp.Diff(want, got[i].State); d != "" {
		g.t.Errorf("state of b at a (-want +got):\n%s", d)
	}
}

func TestStart(t *testing.T) {
	t.Run("a single node waits for the takeover time", func(t *testing.T) {
		g := newGroup(t, "a")
		g.run(takeover)
		g.assertShare("a", "u", 0, 1, false)
		g.run(2 * step)
		g.assertShare("a", "u", 1, 1, true)
	})
	t.Run("a joining node admits work within a few intervals", func(t *testing.T) {
		g := newGroup(t, "a")
		g.run(2 * takeover)
		g.add(instance("b"))
		g.run(4 * interval)
		g.assertShare("b", g.keyOf("b"), 1, 1, true)
		g.assertShare("a", g.keyOf("b"), 0, 1, false)
	})
	t.Run("a joining node waits for work that another still has", func(t *testing.T) {
		g := newGroup(t, "a")
		g.run(2 * takeover)
		g.inFlight["a"] = 1
		g.add(instance("b"))
		g.run(4 * interval)
		g.assertShare("b", g.keyOf("b"), 0, 1, false)
	})
	t.Run("a joining node that reaches no member admits nothing", func(t *testing.T) {
		g := newGroup(t, "a")
		g.run(2 * takeover)
		g.silent["a"] = true
		g.add(instance("b"))
		g.run(3 * takeover)
		g.assertShare("b", g.keyOf("b"), 0, 1, false)
	})
}

func TestSilence(t *testing.T) {
	stable := func(t *testing.T, ids ...string) *group {
		g := newGroup(t, ids...)
		g.run(2 * takeover)
		return g
	}
	t.Run("after the fence time nothing is admitted", func(t *testing.T) {
		g := stable(t, "a", "b")
		g.silent["b"] = true
		g.run(fence + step)
		g.assertShare("a", g.keyOf("a"), 0, 1, false)
		g.assertState(declarer.Live)
	})
	t.Run("one of two gets half of the share", func(t *testing.T) {
		g := stable(t, "a", "b")
		g.silent["b"] = true
		g.run(takeover + 2*interval)
		g.assertState(declarer.Missing)
		g.assertShare("a", g.keyOf("a"), 1, 2, true)
		g.assertShare("a", g.keyOf("b"), 1, 2, false)
	})
	t.Run("two of three take over", func(t *testing.T) {
		g := stable(t, "a", "b", "c")
		key := g.keyOf("b")
		g.silent["b"] = true
		g.run(takeover + 3*interval)
		owner := "a"
		if g.nodes["c"].Permit().Share(g.now, key).Num > 0 {
			owner = "c"
		}
		g.assertShare(owner, key, 1, 1, true)
	})
	t.Run("one of three admits nothing", func(t *testing.T) {
		g := stable(t, "a", "b", "c")
		g.silent["b"], g.silent["c"] = true, true
		g.run(2 * takeover)
		g.assertShare("a", g.keyOf("a"), 0, 1, false)
	})
	t.Run("a silent member rejoins with a higher term", func(t *testing.T) {
		g := stable(t, "a", "b")
		g.silent["b"] = true
		g.run(takeover + 2*interval)
		g.silent["b"] = false
		g.run(5 * interval)
		g.assertState(declarer.Live)
		g.assertShare("b", g.keyOf("b"), 1, 1, true)
		if g.nodes["a"].Self().Term+g.nodes["b"].Self().Term == 0 {
			t.Error("no node has started a new term")
		}
	})
	t.Run("the end of a member that is not missing takes effect at once", func(t *testing.T) {
		g := stable(t, "a", "b")
		key := g.keyOf("b")
		g.silent["b"] = true
		g.nodes["a"].HandleEnded(g.now, "b", 1)
		g.run(interval)
		g.assertShare("a", key, 1, 1, true)
	})
	t.Run("the end of a missing member takes effect after the takeover time", func(t *testing.T) {
		g := stable(t, "a", "b")
		key := g.keyOf("b")
		g.silent["b"] = true
		g.run(takeover + 2*interval)
		g.nodes["a"].HandleEnded(g.now, "b", 1)
		g.run(takeover)
		g.assertShare("a", key, 1, 2, false)
		g.run(2 * interval)
		g.assertShare("a", key, 1, 1, true)
	})
}

func TestLeave(t *testing.T) {
	g := newGroup(t, "a", "b")
	g.run(2 * takeover)
	g.inFlight["b"] = 1
	g.nodes["b"].Leave(g.now)
	g.nodes["b"].Permit()
	g.run(2 * interval)
	g.assertShare("b", g.keyOf("b"), 0, 1, false)
	g.assertShare("a", g.keyOf("b"), 0, 1, false)
	g.inFlight["b"] = 0
	g.run(2 * interval)
	g.assertState(declarer.Leaving)
	g.assertShare("a", g.keyOf("b"), 1, 1, true)
}
