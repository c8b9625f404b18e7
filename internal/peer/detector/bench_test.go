package detector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGroup runs a settled group for one second of its own time in each
// iteration. It reports, for one daemon and second: the messages and their bytes
// in CBOR that it sends (pings and acks), and the processor time of its part
// with the control goroutine's Tick every 50 ms, its Permit after each call, and
// without encoding.
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
