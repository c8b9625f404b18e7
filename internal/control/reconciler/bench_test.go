package reconciler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
)

// BenchmarkControl measures the parts of the control goroutine's work whose cost grows
// with the fleet. The fleets have 11 zones, owner groups of about 8 instances and 6.25
// upstreams per instance.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := largeReconciler(n)
		r.publish()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprintf("publish/%d", n), func(b *testing.B) {
			for b.Loop() {
				r.publish()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			now := time.Now()
			r.nextSpreadAt = now.Add(time.Hour)
			for b.Loop() {
				r.tick(context.Background(), now)
			}
		})
	}
}

// largeReconciler returns a synced Reconciler, which does not run, with the state of a
// fleet of n instances.
func largeReconciler(n int) *Reconciler {
	const zones, groupSize, replicas = 11, 8, 3
	self := instance("a", 1)
	reg := prometheus.NewRegistry()
	cfg := Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))}
	v := viewer.New(viewer.Build(self, nil, nil))
	r, _ := New(cfg, &testLinker{n: newNetwork(), self: self.Peer}, v, hclog.NewNullLogger(), NewMetrics(reg))
	now := time.Now()
	var objects []declarer.Object
	for z := range zones {
		o := zoneObject(false)
		o.Name = fmt.Sprintf("zone-%d", z)
		o.Zone = &declarer.Zone{Name: o.Name, Region: "r", Groups: max(1, n/zones/groupSize)}
		objects = append(objects, o)
	}
	upstreams := n * 25 / 4
	for s := range max(1, upstreams/430) {
		o := serviceObject()
		o.Name = fmt.Sprintf("service-%d", s)
		o.Service.Name = o.Name
		o.Service.Maps[0].Shards = nil
		for i := range 430 {
			sh := declarer.Shard{ID: i}
			for k := range replicas {
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(1000+s*replicas+k))
				zone := fmt.Sprintf("zone-%d", (i+k)%zones)
				sh.Replicas = append(sh.Replicas, declarer.Upstream{Name: fmt.Sprintf("u-%d-%d", s, (i+k*143)%430), Addr: addr, Zone: zone})
			}
			o.Service.Maps[0].Shards = append(o.Service.Maps[0].Shards, sh)
		}
		objects = append(objects, o)
	}
	for i := range objects {
		objects[i].Version = uint64(i + 1)
	}
	var instances []declarer.Instance
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
		instances = append(instances, declarer.Instance{ID: fmt.Sprintf("i-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r", Peer: addr, Incarnation: 1})
	}
	r.state.Merge(now, objects, instances)
	r.synced = true
	return r
}
