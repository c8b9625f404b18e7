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

// Burner adds up the series of daemons.
type Burner struct {
	daemons  []Daemon
	services map[string]*service
	// urls holds the URL that each instance's series came from.
	urls      map[string]string
	untracked uint64
}

// service is the sum over daemons of one service.
type service struct {
	minutes   []Counts
	contracts map[recorder.Objectives]int
}

// New returns a Burner without any daemon.
func New() *Burner {
	return &Burner{services: make(map[string]*service), urls: make(map[string]string)}
}

// Add adds the series of the daemon at a URL. A series of an instance that was
// added before is listed but not added again.
func (b *Burner) Add(url string, s *recorder.Series) {
	d := Daemon{URL: url, Instance: s.Instance, Recorded: s.Recorded}
	if was, ok := b.urls[s.Instance]; ok && s.Instance != "" {
		d.Same = was
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

// AddFailed lists a daemon that gave no series, and why.
func (b *Burner) AddFailed(url, reason string) {
	// Each daemon takes one row.
	b.daemons = append(b.daemons, Daemon{URL: url, Error: strings.Join(strings.Fields(reason), " ")})
}

// Report returns the burn of what was added; daemons are ordered by URL, services
// by name.
func (b *Burner) Report() *Report {
	rep := &Report{
		Daemons:   slices.SortedFunc(slices.Values(b.daemons), func(x, y Daemon) int { return strings.Compare(x.URL, y.URL) }),
		Services:  []Service{},
		Untracked: b.untracked,
	}
	var longest time.Duration
	for _, d := range rep.Daemons {
		if d.Same != "" {
			continue
		}
		rep.Asked++
		if d.Error == "" {
			rep.Answered++
		}
		longest = max(longest, d.Recorded.Duration)
	}
	rep.Scale = newScale(longest)
	for _, w := range windows {
		rep.Windows = append(rep.Windows, Cover{Window: declarer.Duration{Duration: w}, Share: b.cover(w)})
	}
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		rep.Services = append(rep.Services, b.services[name].report(name, rep.Scale))
	}
	return rep
}

func (b *Burner) addService(s *recorder.ServiceSeries) {
	sum := b.services[s.Name]
	if sum == nil {
		sum = &service{minutes: make([]Counts, recorder.Minutes), contracts: make(map[recorder.Objectives]int)}
		b.services[s.Name] = sum
	}
	if s.Contract != nil {
		sum.contracts[*s.Contract]++
	}
	for _, k := range s.Buckets {
		sum.minutes[k.Ago].add(Counts{
			Total:   uint64(k.Total),
			Slow:    uint64(k.Slow),
			Partial: uint64(k.Partial),
			Refused: uint64(k.Refused),
		})
	}
}

// cover returns the share of a window that the daemons recorded.
func (b *Burner) cover(window time.Duration) float64 {
	var recorded, wanted time.Duration
	for _, d := range b.daemons {
		if d.Same != "" {
			continue
		}
		recorded += min(d.Recorded.Duration, window)
		wanted += window
	}
	if wanted == 0 {
		return 0
	}
	return round(float64(recorded) / float64(wanted))
}

func (s *service) report(name string, scale Scale) Service {
	t := newTrack(s.minutes)
	out := Service{
		Name:       name,
		Contracts:  len(s.contracts),
		Counts:     t.last(0, Window3d),
		Objectives: []Objective{},
	}
	if len(s.contracts) == 0 {
		return out
	}
	contract := s.contract()
	out.Contract = &contract
	for _, kind := range []Kind{Latency, Coverage} {
		out.Objectives = append(out.Objectives, newObjective(kind, contract.Quantile, t))
	}
	out.History = newHistory(contract.Quantile, t, scale)
	return out
}

// contract returns the contract that most daemons hold; of equals the strictest.
func (s *service) contract() recorder.Objectives {
	held := slices.Collect(maps.Keys(s.contracts))
	slices.SortFunc(held, func(x, y recorder.Objectives) int {
		return cmp.Or(
			cmp.Compare(s.contracts[y], s.contracts[x]),
			cmp.Compare(y.Quantile, x.Quantile),
			cmp.Compare(x.Latency.Duration, y.Latency.Duration),
			cmp.Compare(y.Coverage, x.Coverage),
		)
	})
	return held[0]
}
