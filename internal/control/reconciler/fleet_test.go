package reconciler

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
	"cornelwood.example/internal/control/watcher"
	"cornelwood.example/internal/peer/detector"
)

// fleet is a set of daemons that share a simulated network and platform.
type fleet struct {
	t        *testing.T
	network  *network
	platform *platform
	daemons  []*daemon
	// interval is the ping interval of the group protocol.
	interval time.Duration
}

type daemon struct {
	*Reconciler
	self     declarer.Instance
	views    *viewer.Viewer
	cancel   context.CancelFunc
	done     chan struct{}
	inFlight atomic.Int64
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, network: newNetwork(), platform: newPlatform(), interval: 250 * time.Millisecond}
}

// regions holds the region of each zone.
var regions = []string{"north", "north", "south", "south"}

// instance returns the n-th instance of a zone; zones are named by a letter.
func instance(zone string, n int) declarer.Instance {
	z := zone[0] - 'a'
	return declarer.Instance{
		ID:          fmt.Sprintf("%s-%d", zone, n),
		Zone:        zone,
		Region:      regions[z],
		Peer:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, z, byte(n)}), 7000),
		Incarnation: 1,
	}
}

// start adds a daemon with the given seeds to the fleet and starts it.
func (f *fleet) start(self declarer.Instance, seeds ...netip.AddrPort) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", self.ID, self.Incarnation)
	d := &daemon{self: self, done: make(chan struct{})}
	d.views = viewer.New(viewer.Build(self, nil, nil))
	cfg := Config{
		Self:     self,
		Seeds:    seeds,
		Rand:     rand.New(rand.NewPCG(1, h.Sum64())),
		InFlight: func() int { return int(d.inFlight.Load()) },
		Detector: detector.Config{
			Interval: f.interval,
			Fence:    4 * f.interval,
			Takeover: 8 * f.interval,
			InFlight: func(string, bool) int { return int(d.inFlight.Load()) },
		},
	}
	reg := prometheus.NewRegistry()
	r, wait := New(cfg, &testLinker{n: f.network, self: self.Peer}, d.views, hclog.NewNullLogger(), NewMetrics(reg))
	d.Reconciler = r
	w := watcher.New(&platformClient{f.platform, self.ID}, r, rand.New(rand.NewPCG(2, h.Sum64())), hclog.NewNullLogger(), watcher.NewMetrics(reg))
	ctx, cancel := context.WithCancel(f.t.Context())
	d.cancel = cancel
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = w.Serve(ctx)
	}()
	go func() {
		defer close(d.done)
		_ = r.Serve(ctx)
		<-watched
		wait()
	}()
	f.daemons = append(f.daemons, d)
}

// startAll starts n daemons in each zone. Their seeds are the first daemons of the first
// and of the last zone.
func (f *fleet) startAll(n int, zones ...string) {
	seeds := []netip.AddrPort{instance(zones[0], 1).Peer, instance(zones[len(zones)-1], 1).Peer}
	for _, zone := range zones {
		for i := range n {
			f.start(instance(zone, i+1), seeds...)
		}
	}
}

// kill ends a daemon without a leave. Its address refuses calls from then on.
func (f *fleet) kill(d *daemon) {
	f.network.remove(d.self.Peer)
	d.cancel()
	<-d.done
	for i := range f.daemons {
		if f.daemons[i] == d {
			f.daemons = append(f.daemons[:i], f.daemons[i+1:]...)
			return
		}
	}
}

// listAll adds all daemons to the platform's list of instances.
func (f *fleet) listAll() {
	f.platform.set(func() {
		for _, d := range f.daemons {
			listed := declarer.Instance{ID: d.self.ID, Zone: d.self.Zone, Peer: d.self.Peer}
			f.platform.instances = append(f.platform.instances, listed)
		}
	})
}

// stop ends all daemons and waits for them.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.cancel()
	}
	for _, d := range f.daemons {
		<-d.done
	}
	synctest.Wait()
}

// await waits until every daemon satisfies ok, and returns how long that took. It fails
// the test after bound.
func (f *fleet) await(what string, bound time.Duration, ok func(d *daemon) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		var lacking []string
		for _, d := range f.daemons {
			if !ok(d) {
				lacking = append(lacking, d.self.ID)
			}
		}
		if len(lacking) == 0 {
			return time.Since(began)
		}
		if time.Since(began) > bound {
			f.t.Fatalf("%s: not within %s on daemons %v", what, bound, lacking)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// hasVersion returns a condition for await: the object's version, or a newer one, is in
// force.
func hasVersion(o declarer.Object) func(d *daemon) bool {
	return func(d *daemon) bool {
		got, ok := d.views.View().Objects[o.Key]
		return ok && got.Version >= o.Version
	}
}

// hasLive returns a condition for await: n instances are live.
func hasLive(n int) func(d *daemon) bool {
	return func(d *daemon) bool {
		live := 0
		for _, in := range d.views.View().Instances {
			if in.State == declarer.Live {
				live++
			}
		}
		return live == n
	}
}

// zoneObject declares zone a.
func zoneObject(out bool) declarer.Object {
	return declarer.Object{
		Key:  declarer.Key{Kind: declarer.KindZone, Name: "a"},
		Zone: &declarer.Zone{Name: "a", Region: "north", Groups: 1, Out: out},
	}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

const upstreams = 40

// serviceObject declares a service with upstreams in zone a.
func serviceObject() declarer.Object {
	s := &declarer.Service{
		Name:     "s",
		Class:    declarer.Search,
		Contract: declarer.Contract{Deadline: declarer.Duration{Duration: time.Second}, Latency: declarer.Duration{Duration: time.Second}, Quantile: 0.9, Coverage: 1},
		Capacity: declarer.Capacity{Slots: 2, ColdSlots: 1, Connections: 2},
		Maps:     []declarer.ShardMap{{FromVersion: 1}},
	}
	for i := range upstreams {
		u := declarer.Upstream{Name: strconv.Itoa(i), Addr: netip.MustParseAddrPort("10.9.0.1:1"), Zone: "a"}
		s.Maps[0].Shards = append(s.Maps[0].Shards, declarer.Shard{ID: i, Replicas: []declarer.Upstream{u}})
	}
	return declarer.Object{Key: declarer.Key{Kind: declarer.KindService, Name: "s"}, Service: s}
}

// admittedShare returns the sum of all daemons' shares of an upstream.
func (f *fleet) admittedShare(key string) float64 {
	sum := 0.0
	now := time.Now()
	for _, d := range f.daemons {
		if s := d.Share(key); s.Num > 0 && now.Before(s.ValidUntil) {
			sum += float64(s.Num) / float64(s.Den)
		}
	}
	return sum
}
