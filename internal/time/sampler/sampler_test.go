package sampler

import (
	"testing"
	"time"
)

// TestWindow guards against estimates from too few samples, and against old samples that still count.
func TestWindow(t *testing.T) {
	w, now := NewWindow(0.95), time.Unix(1000, 0)
	for i := range minSamples - 1 {
		w.Record(time.Duration(i)*time.Millisecond, now)
	}
	if _, ok := w.Estimate(now); ok {
		t.Error("estimate from too few samples")
	}
	for i := range 2 * size {
		w.Record(time.Duration(i)*time.Millisecond, now)
	}
	now = now.Add(estimateInterval)
	if d, ok := w.Estimate(now); !ok || d < 120*time.Millisecond || d > 127*time.Millisecond {
		t.Errorf("estimate %s, %t, want the 95th percentile of 64 to 127 ms", d, ok)
	}
	if _, ok := w.Estimate(now.Add(maxAge)); ok {
		t.Error("estimate from old samples")
	}
}
