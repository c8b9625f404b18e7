package burner

import "time"

// Windows over which burn rates are computed. Error budgets apply to the longest.
const (
	Window5m = 5 * time.Minute
	Window1h = time.Hour
	Window6h = 6 * time.Hour
	Window3d = 72 * time.Hour
)

// windows holds all windows, shortest first.
var windows = [...]time.Duration{Window5m, Window1h, Window6h, Window3d}

// suffixSums holds the cumulative counts of one service: sums[i] counts the queries
// of all minutes whose age is i minutes or more; the last element is 0.
type suffixSums struct {
	sums []Counts
}

// newSuffixSums returns the sums of minutes, which is indexed by age in minutes.
func newSuffixSums(minutes []Counts) *suffixSums {
	sums := make([]Counts, len(minutes)+1)
	for i := len(minutes) - 1; i >= 0; i-- {
		sums[i] = sums[i+1]
		sums[i].add(minutes[i])
	}
	return &suffixSums{sums: sums}
}

// window returns the counts of a window of the given length that ended at the given
// age.
func (s *suffixSums) window(age, length time.Duration) Counts {
	end := s.sums[s.index(age)]
	start := s.sums[s.index(age+length)]
	return Counts{
		Total:   end.Total - start.Total,
		Slow:    end.Slow - start.Slow,
		Partial: end.Partial - start.Partial,
		Refused: end.Refused - start.Refused,
	}
}

// index returns the index of an age in sums. Ages beyond the last minute have the
// index of the last element.
func (s *suffixSums) index(age time.Duration) int {
	return min(int(age/time.Minute), len(s.sums)-1)
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Slow += o.Slow
	c.Partial += o.Partial
	c.Refused += o.Refused
}

// bad returns the number of queries that were bad for an objective.
func (c *Counts) bad(kind Kind) uint64 {
	if kind == Latency {
		return c.Slow + c.Refused
	}
	return c.Partial + c.Refused
}
