package limiter

import (
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// BenchmarkAdmission measures one task from Offer to Release: with a slot free, or through
// a queue of 40.
func BenchmarkAdmission(b *testing.B) {
	for name, waiting := range map[string]int{"slot": 0, "queue": 40} {
		b.Run(name, func(b *testing.B) {
			cfg := FromCapacity(declarer.Capacity{Slots: 3, ColdSlots: 1})
			l := New[int](cfg, epoch)
			share := fullShare(epoch)
			for i := range waiting {
				l.Offer(epoch, share, -i, 0, epoch.Add(time.Hour))
			}
			b.ReportAllocs()
			for i := range b.N {
				l.Offer(epoch, share, i, 0, epoch.Add(time.Hour+time.Duration(i%7)))
				l.Observe(epoch, Sample{Latency: time.Millisecond})
				l.Release()
				l.Next(epoch, share)
			}
		})
	}
}
