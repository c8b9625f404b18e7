package burner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/report/recorder"
)

// Burner sums the series of daemons and reports the burn of their error budgets.
type Burner struct {
	daemons  []Daemon
	services map[string]*service
	// urls holds the URL that each instance's series came from, by instance name.
	urls      map[string]string
	untracked uint64
}

// service is the sum over daemons of one service.
type service struct {
	// minutes holds the counts of each minute, indexed by its age in minutes.
	minutes []Counts
	// contracts holds the number of daemons that reported each contract.
	contracts map[recorder.Objectives]int
}

// New returns a Burner without daemons.
func New() *Burner {
	return &Burner{services: make(map[string]*service), urls: make(map[string]string)}
}

// Add adds the series of the daemon at a URL. If a series of the same instance was
// added before, the daemon is listed as a duplicate and the series is ignored.
func (b *Burner) Add(url string, s *recorder.Series) {
	d := Daemon{URL: url, Instance: s.Instance, Recorded: s.Recorded}
	if first, ok := b.urls[s.Instance]; ok && s.Instance != "" {
		d.DuplicateOf = first
		b.daemons = append(b.daemons, d)
		return
	}
	b.urls[s.Instance] = url
	b.daemons = append(b.daemons, d)
	b.untracked += s.Untracked
	for i := range s.Services {
		b.addService(&s.Services[i])
	}
}

// AddFailed lists a daemon whose series could not be fetched, with the reason.
func (b *Burner) AddFailed(url, reason string) {
	// Tables have one line for each daemon, so line breaks become spaces.
	b.daemons = append(b.daemons, Daemon{URL: url, Error: strings.Join(strings.Fields(reason), " ")})
}

// Report returns the report of the daemons added so far, with daemons ordered by URL
// and services by name.
func (b *Burner) Report() *Report {
	rep := &Report{
		Daemons:   slices.SortedFunc(slices.Values(b.daemons), func(x, y Daemon) int { return strings.Compare(x.URL, y.URL) }),
		Services:  []Service{},
		Untracked: b.untracked,
	}
	var longestRecorded time.Duration
	for _, d := range rep.Daemons {
		if d.DuplicateOf != "" {
			continue
		}
		rep.Asked++
		if d.Error == "" {
			rep.Answered++
		}
		longestRecorded = max(longestRecorded, d.Recorded.Duration)
	}
	rep.Scale = newScale(longestRecorded)
	for _, w := range windows {
		rep.Windows = append(rep.Windows, WindowCoverage{Window: declarer.Duration{Duration: w}, Share: b.recordedShare(w)})
	}
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		rep.Services = append(rep.Services, b.services[name].report(name, rep.Scale))
	}
	return rep
}

func (b *Burner) addService(s *recorder.ServiceSeries) {
	sum := b.services[s.Name]
	if sum == nil {
		sum = &service{minutes: make([]Counts, recorder.RetentionMinutes), contracts: make(map[recorder.Objectives]int)}
		b.services[s.Name] = sum
	}
	if s.Contract != nil {
		sum.contracts[*s.Contract]++
	}
	for _, bucket := range s.Buckets {
		sum.minutes[bucket.AgeMinutes].add(Counts{
			Total:   uint64(bucket.Total),
			Slow:    uint64(bucket.Slow),
			Partial: uint64(bucket.Partial),
			Refused: uint64(bucket.Refused),
		})
	}
}

// recordedShare returns the share of a window that was recorded, over all daemons
// without duplicates; 0 without daemons.
func (b *Burner) recordedShare(window time.Duration) float64 {
	var recorded, total time.Duration
	for _, d := range b.daemons {
		if d.DuplicateOf != "" {
			continue
		}
		recorded += min(d.Recorded.Duration, window)
		total += window
	}
	if total == 0 {
		return 0
	}
	return round(float64(recorded) / float64(total))
}

// report returns the report of the service; without a contract it has only the counts.
func (s *service) report(name string, scale Scale) Service {
	sums := newSuffixSums(s.minutes)
	out := Service{
		Name:       name,
		Contracts:  len(s.contracts),
		Counts:     sums.window(0, Window3d),
		Objectives: []Objective{},
	}
	if len(s.contracts) == 0 {
		return out
	}
	contract := s.commonContract()
	out.Contract = &contract
	for _, kind := range []Kind{Latency, Coverage} {
		out.Objectives = append(out.Objectives, newObjective(kind, contract.Quantile, sums))
	}
	out.History = newHistory(contract.Quantile, sums, scale)
	return out
}

// commonContract returns the contract that most daemons reported. Among equally
// frequent ones it returns the strictest: the highest quantile, then the lowest
// latency, then the highest coverage.
func (s *service) commonContract() recorder.Objectives {
	contracts := slices.Collect(maps.Keys(s.contracts))
	slices.SortFunc(contracts, func(x, y recorder.Objectives) int {
		return cmp.Or(
			cmp.Compare(s.contracts[y], s.contracts[x]),
			cmp.Compare(y.Quantile, x.Quantile),
			cmp.Compare(x.Latency.Duration, y.Latency.Duration),
			cmp.Compare(y.Coverage, x.Coverage),
		)
	})
	return contracts[0]
}
