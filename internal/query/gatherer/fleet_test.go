package gatherer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/viewer"
)

var zones = []string{"addis-a", "adama-b", "dire-c"}

// reply is how a fake upstream handles a task; the result is delivered after delay.
type reply struct {
	result exchanger.Result
	delay  time.Duration
	// silent upstreams never answer.
	silent bool
	// duplicate delivers the result a second time, against the contract of Exchanger.
	duplicate bool
}

// fleet fakes everything outside the entry daemon's Gatherer: its own dispatcher, its connections to
// peers and the upstreams.
type fleet struct {
	viewer *viewer.Viewer
	// answer returns the reply to a task; owner is the daemon that received it.
	answer func(owner string, t exchanger.Task) reply

	mu        sync.Mutex
	tasks     []exchanger.Task
	cancelled []string
	probes    int
}

func (f *fleet) View() *viewer.View { return f.viewer.View() }

func (f *fleet) Do(ctx context.Context, t exchanger.Task, deliver func(exchanger.Result)) {
	f.serve(ctx, f.View().Self.ID, t, deliver)
}

func (f *fleet) Exchange(ctx context.Context, peer netip.AddrPort, tasks []exchanger.Task, deliver func(exchanger.Result)) {
	for _, in := range f.View().Instances {
		if in.Peer != peer {
			continue
		}
		for _, t := range tasks {
			f.serve(ctx, in.ID, t, deliver)
		}
	}
}

func (f *fleet) serve(ctx context.Context, owner string, t exchanger.Task, deliver func(exchanger.Result)) {
	f.mu.Lock()
	if t.Version == 0 && !t.AtMostOnce() {
		f.probes++
	} else {
		f.tasks = append(f.tasks, t)
	}
	r := f.answer(owner, t)
	f.mu.Unlock()
	r.result.ID = t.ID
	var once sync.Once
	stop := context.AfterFunc(ctx, func() {
		once.Do(func() {
			f.mu.Lock()
			f.cancelled = append(f.cancelled, t.Upstream)
			f.mu.Unlock()
			deliver(exchanger.Result{ID: t.ID, Status: exchanger.DeadlineExceeded, Sent: true})
		})
	})
	if r.silent {
		return
	}
	time.AfterFunc(r.delay, func() {
		stop()
		once.Do(func() { deliver(r.result) })
		if r.duplicate {
			deliver(r.result)
		}
	})
}

// withLock calls change with the fleet locked.
func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// probeCount returns the number of probes sent so far.
func (f *fleet) probeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// bubble runs a subtest in virtual time, in a synctest bubble.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// sentTasks returns the searches and runs sent so far, without probes.
func (f *fleet) sentTasks() []exchanger.Task {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]exchanger.Task(nil), f.tasks...)
}

// newService declares a service of shards, each with one upstream in each zone. The upstream "s3-b" is
// the replica of shard 3 in the second zone.
func newService(class declarer.Class, shards int) *declarer.Service {
	return &declarer.Service{
		Name:  "anomaly-finder",
		Class: class,
		Contract: declarer.Contract{
			Deadline: declarer.Duration{Duration: 200 * time.Millisecond},
			Latency:  declarer.Duration{Duration: 120 * time.Millisecond},
			Quantile: 0.99, Coverage: 1, Priority: 5, Hedge: true,
		},
		Capacity: declarer.Capacity{Slots: 3, ColdSlots: 1, Connections: 30},
		Maps:     []declarer.ShardMap{newShardMap(1, "s", shards)},
	}
}

func newShardMap(from uint64, prefix string, shards int) declarer.ShardMap {
	m := declarer.ShardMap{FromVersion: from}
	for i := range shards {
		sh := declarer.Shard{ID: i}
		for z, zone := range zones {
			sh.Replicas = append(sh.Replicas, declarer.Upstream{
				Name: fmt.Sprintf("%s%d-%c", prefix, i, 'a'+z),
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(z), byte(i >> 8), byte(i)}), 9000),
				Zone: zone,
			})
		}
		m.Shards = append(m.Shards, sh)
	}
	return m
}

func instances() []declarer.Instance {
	var ins []declarer.Instance
	for z, zone := range zones {
		for n := range 2 {
			ins = append(ins, declarer.Instance{
				ID: fmt.Sprintf("d%d%c", n, 'a'+z), Zone: zone, Region: "et-central",
				Peer:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(z), byte(n)}), 7000),
				Incarnation: 1,
			})
		}
	}
	return ins
}

// newView builds a view of a service with the named zones taken out.
func newView(s *declarer.Service, out ...string) *viewer.View {
	objects := []declarer.Object{{Key: declarer.Key{Kind: declarer.KindService, Name: s.Name}, Version: 1, Service: s}}
	for _, zone := range zones {
		z := &declarer.Zone{Name: zone, Region: "et-central", Groups: 1}
		for _, o := range out {
			z.Out = z.Out || o == zone
		}
		objects = append(objects, declarer.Object{Key: declarer.Key{Kind: declarer.KindZone, Name: zone}, Version: 2, Zone: z})
	}
	ins := instances()
	return viewer.Build(ins[0], objects, ins)
}

// healthy answers every task like an upstream that holds versions 1 to 5, after a delay.
func healthy(delay time.Duration) func(string, exchanger.Task) reply {
	return func(_ string, t exchanger.Task) reply {
		return reply{result: resultFor(t, 1, 5), delay: delay}
	}
}

// resultFor returns the result of an upstream that holds versions oldest to newest.
func resultFor(t exchanger.Task, oldest, newest uint64) exchanger.Result {
	if !t.AtMostOnce() && (t.Version < oldest || t.Version > newest) {
		return exchanger.Result{Status: exchanger.VersionUnavailable, Sent: true, Oldest: oldest, Newest: newest}
	}
	r := exchanger.Result{Sent: true, Version: t.Version, Documents: 10, Oldest: oldest, Newest: newest}
	if t.AtMostOnce() {
		r.Reply = json.RawMessage(`"sent"`)
		return r
	}
	r.Hits = []answerer.Hit{{ID: fmt.Sprintf("v%d-h%d", t.Version, t.Shard), Score: float64(t.Shard), Text: t.Request}}
	return r
}

func newFleet(s *declarer.Service, answer func(string, exchanger.Task) reply) *fleet {
	return &fleet{viewer: viewer.New(newView(s)), answer: answer}
}

// start returns a Gatherer over the fleet. Its seed is always 0, so that randomIndex returns the first
// index.
func (f *fleet) start(t testing.TB, change func(*Config)) *Gatherer {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Seed = func() uint64 { return 0 }
	if change != nil {
		change(&cfg)
	}
	g, clean := New(cfg, f, f, f, hclog.NewNullLogger(), prometheus.NewRegistry())
	t.Cleanup(clean)
	return g
}

func query() *answerer.Query {
	return &answerer.Query{Request: "q1", Service: "anomaly-finder", Terms: "metal loss"}
}
