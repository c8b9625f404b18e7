package burner

import "time"

// Windows of burn rates. The longest is the budget's.
const (
	Window5m = 5 * time.Minute
	Window1h = time.Hour
	Window6h = 6 * time.Hour
	Window3d = 72 * time.Hour
)

// windows holds every window, shortest first.
var windows = [...]time.Duration{Window5m, Window1h, Window6h, Window3d}

// track holds the running sums of one service: sums[i] counts the queries of all
// minutes whose age is i minutes or more; the last element is 0.
type track struct {
	sums []Counts
}

func newTrack(minutes []Counts) *track {
	sums := make([]Counts, len(minutes)+1)
	for i := len(minutes) - 1; i >= 0; i-- {
		sums[i] = sums[i+1]
		sums[i].add(minutes[i])
	}
	return &track{sums: sums}
}

// last returns the counts of a window that ends at age ago.
func (t *track) last(ago, window time.Duration) Counts {
	from := t.sums[t.index(ago)]
	to := t.sums[t.index(ago+window)]
	return Counts{
		Total:   from.Total - to.Total,
		Slow:    from.Slow - to.Slow,
		Partial: from.Partial - to.Partial,
		Refused: from.Refused - to.Refused,
	}
}

func (t *track) index(age time.Duration) int {
	return min(int(age/time.Minute), len(t.sums)-1)
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Slow += o.Slow
	c.Partial += o.Partial
	c.Refused += o.Refused
}

// bad returns the queries that were bad for an objective.
func (c *Counts) bad(kind Kind) uint64 {
	if kind == Latency {
		return c.Slow + c.Refused
	}
	return c.Partial + c.Refused
}
