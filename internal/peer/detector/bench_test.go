package detector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGroup runs a stable group for one second of simulated time in each iteration. It
// reports, per daemon and second: the messages that it sends (pings and acks), their size in CBOR,
// and its processor time. The time includes a Tick every 50 ms and a Permit after each call, but no
// encoding.
func BenchmarkGroup(b *testing.B) {
	for _, every := range []time.Duration{250 * time.Millisecond, time.Second} {
		for _, size := range []int{2, 4, 8} {
			b.Run(fmt.Sprintf("interval=%s/size=%d", every, size), func(b *testing.B) {
				benchGroup(b, every, size)
			})
		}
	}
}

func benchGroup(b *testing.B, every time.Duration, size int) {
	g := newGroup(b)
	for i := range size {
		g.addWith(instance(fmt.Sprintf("addis-a-entry-%d", i)), Config{Interval: every, Fence: 4 * every, Takeover: 8 * every})
	}
	g.run(20 * every)
	g.count = true
	g.run(4 * time.Second)
	perSecond := 1 / float64(4*size)
	g.count = false
	b.ResetTimer()
	for b.Loop() {
		g.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/daemon-s")
	b.ReportMetric(float64(g.messages)*perSecond, "messages/daemon-s")
	b.ReportMetric(float64(g.bytes)*perSecond, "B/daemon-s")
}
