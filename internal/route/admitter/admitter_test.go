package admitter

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// searcher runs requests in order of arrival in its slots.
type searcher struct {
	// slots holds when each slot is free, ends when each request in flight ends.
	slots []time.Time
	ends  []time.Time
	// slow is the factor by which its work takes longer; 0 for one that does not answer.
	slow float64
}

const (
	shards, replicas, slots = 12, 3, 4
	// needed is the number of shards that an answer needs, hang how long a request to a searcher that does not answer is in
	// flight.
	needed = 11
	hang   = 400 * time.Millisecond
	// skipLoad is that of package forwarder.
	skipLoad = 5
)

// inFlight returns the number of requests in flight.
func (s *searcher) inFlight(now time.Time) int {
	s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !end.After(now) })
	return len(s.ends)
}

// run starts a request and returns when its answer comes, zero if never.
func (s *searcher) run(work time.Duration, now time.Time) time.Time {
	if s.slow == 0 {
		s.ends = append(s.ends, now.Add(hang))
		return time.Time{}
	}
	free := &s.slots[0]
	for i := range s.slots {
		if s.slots[i].Before(*free) {
			free = &s.slots[i]
		}
	}
	if free.Before(now) {
		*free = now
	}
	*free = free.Add(time.Duration(float64(work) * s.slow))
	s.ends = append(s.ends, *free)
	return *free
}

// kind is a kind of request.
type kind struct {
	name          string
	priority      int
	account       string
	perSecond     float64
	work          time.Duration
	goal, timeout time.Duration
}

// model is a daemon with an Admitter and the searchers of a query.
type model struct {
	*Admitter
	now       time.Time
	rnd       *rand.Rand
	searchers [][]*searcher
	// offered, inTime and refused count the requests by kind, slowRefusals those refused later than 20 ms.
	offered, inTime, refused map[string]int
	slowRefusals             int
	retryAfter               []time.Duration
	pending                  []*arrival
}

// arrival is a request, or its repetition after a refusal.
type arrival struct {
	kind    *kind
	at      time.Time
	repeats bool
	ticket  *Ticket
}

func newModel() *model {
	m := &model{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 2)), offered: map[string]int{}, inTime: map[string]int{}, refused: map[string]int{}}
	m.Admitter = New(func() time.Time { return m.now })
	for range shards {
		var rs []*searcher
		for range replicas {
			rs = append(rs, &searcher{slots: make([]time.Time, slots), slow: 0.8 + 0.5*m.rnd.Float64()})
		}
		m.searchers = append(m.searchers, rs)
	}
	return m
}

// lose makes a part of the searchers answer no more, and slows another part down by the factor.
func (m *model) lose(dark, slow int, factor float64) {
	for i := range dark + slow {
		s := m.searchers[i*5%shards][i%replicas]
		if s.slow *= factor; i < dark {
			s.slow = 0
		}
	}
}

// loadOf returns the load of a searcher relative to its slots; a slow one handles fewer requests well.
func (m *model) loadOf(s *searcher) float64 {
	limit := float64(slots)
	if s.slow > 0 {
		limit = max(1, min(limit, limit*1.3/s.slow))
	}
	return float64(s.inFlight(m.now)) / limit
}

// load returns the load of the most loaded shard that an answer needs.
func (m *model) load() float64 {
	loads := make([]float64, shards)
	for i, rs := range m.searchers {
		loads[i] = m.loadOf(m.least(rs))
	}
	slices.Sort(loads)
	return loads[needed-1]
}

func (m *model) least(rs []*searcher) *searcher {
	return slices.MinFunc(rs, func(a, b *searcher) int { return cmp.Compare(m.loadOf(a), m.loadOf(b)) })
}

// send runs a request at its shards and counts it.
func (m *model) send(a *arrival) {
	var ends []time.Time
	for _, rs := range m.searchers {
		s := m.least(rs)
		if m.loadOf(s) > skipLoad {
			// forwarder leaves out a shard that the answer can do without.
			continue
		}
		if end := s.run(a.kind.work, m.now); !end.IsZero() {
			ends = append(ends, end)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) >= needed && ends[needed-1].Sub(a.at) <= a.kind.goal {
		m.inTime[a.kind.name]++
	}
}

// offer asks for the admission of a request.
func (m *model) offer(a *arrival) {
	a.ticket = m.Offer(&Request{
		Group: "g", Priority: a.kind.priority, Account: a.kind.account, Work: shards, Load: m.load, Latency: 2 * a.kind.work, Goal: a.kind.goal,
		WaitUntil: m.now.Add(15 * time.Millisecond),
	})
	m.pending = append(m.pending, a)
	m.settle()
}

// settle sends what is admitted, and lets clients return once.
func (m *model) settle() []*arrival {
	var again []*arrival
	m.pending = slices.DeleteFunc(m.pending, func(a *arrival) bool {
		select {
		case <-a.ticket.Done():
		default:
			return false
		}
		r := a.ticket.Refusal()
		if r == nil {
			m.send(a)
			return true
		}
		m.refused[a.kind.name]++
		m.retryAfter = append(m.retryAfter, r.RetryAfter)
		if m.now.Sub(a.at) > 20*time.Millisecond {
			m.slowRefusals++
		}
		if !a.repeats && r.RetryAfter < a.kind.timeout/3 {
			after := time.Duration(float64(r.RetryAfter) * (0.5 + m.rnd.Float64()))
			again = append(again, &arrival{kind: a.kind, at: m.now.Add(after), repeats: true})
		}
		return true
	})
	return again
}

// run offers the kinds for d in steps of one millisecond.
func (m *model) run(d time.Duration, kinds ...kind) {
	var returning []*arrival
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		m.Poll()
		returning = append(returning, m.settle()...)
		returning = slices.DeleteFunc(returning, func(a *arrival) bool {
			if a.at.After(m.now) {
				return false
			}
			m.offer(a)
			return true
		})
		for i := range kinds {
			for n := kinds[i].perSecond / 1000; n > m.rnd.Float64(); n-- {
				m.offered[kinds[i].name]++
				m.offer(&arrival{kind: &kinds[i], at: m.now})
			}
		}
	}
}

// capacity is the number of queries of the mix that the searchers run per second: twelve slots a shard, 16.7 ms a query.
const capacity = 12 / 0.0167

// mix returns the queries of quotes at a multiple of the capacity.
func mix(load float64) []kind {
	return []kind{
		{"flash", 0, "", load * capacity / 4, 6700 * time.Microsecond, 80 * time.Millisecond, 400 * time.Millisecond},
		{"quotes", 1, "", load * capacity * 3 / 4, 20 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond},
	}
}

// answersInTime returns the answers in time per second at a load.
func answersInTime(load float64, gone int) float64 {
	const d = 2 * time.Second
	m := newModel()
	m.lose(gone, 0, 1)
	m.run(d, mix(load)...)
	return float64(m.inTime["flash"]+m.inTime["quotes"]) / d.Seconds()
}

// TestCurve guards against answers in time that fall with the load beyond the knee, with and without a fifth of the searchers.
func TestCurve(t *testing.T) {
	for _, gone := range []int{0, shards * replicas / 5} {
		t.Run(fmt.Sprint(gone, " searchers gone"), func(t *testing.T) {
			peak := 0.0
			for _, load := range []float64{0.5, 1, 2, 4} {
				got := answersInTime(load, gone)
				t.Logf("load %.1f: %.0f answers in time a second", load, got)
				peak = max(peak, got)
				if got < 0.9*peak {
					t.Errorf("load %.1f: %.0f answers in time a second, want 0.9 of the peak of %.0f", load, got, peak)
				}
			}
		})
	}
}

// TestCalm guards against requests that wait or are refused under normal conditions.
func TestCalm(t *testing.T) {
	m := newModel()
	m.run(5*time.Second, mix(0.5)...)
	if n := m.refused["flash"] + m.refused["quotes"]; n != 0 {
		t.Errorf("%d requests refused at half of the capacity, want none", n)
	}
}

// TestSlowShards guards against a collapse when searchers of many shards are slow.
func TestSlowShards(t *testing.T) {
	m := newModel()
	m.lose(0, shards*replicas/5, 7)
	m.run(5*time.Second, mix(1.5)...)
	if got := m.share("flash"); got < 0.7 {
		t.Errorf("%.2f of the most urgent kind answered in time, want 0.7", got)
	}
}

func (m *model) share(name string) float64 {
	return float64(m.inTime[name]) / float64(max(1, m.offered[name]))
}

// TestBurstOfLeastUrgent guards against an urgent kind that is served worse because of a burst of the least urgent one while
// a fifth of the searchers is lost, and against a less urgent kind that is starved.
func TestBurstOfLeastUrgent(t *testing.T) {
	m := newModel()
	m.lose(shards*replicas/5, 0, 1)
	kinds := mix(0.5)
	kinds[1].perSecond = 3 * capacity
	m.run(5*time.Second, kinds...)
	if got := m.share("flash"); got < 0.9 {
		t.Errorf("%.2f of the most urgent kind answered in time, want 0.9", got)
	}
	m = newModel()
	kinds = mix(0.5)
	kinds[0].perSecond = 8 * capacity
	m.run(5*time.Second, kinds...)
	if flash, quotes := m.inTime["flash"], m.inTime["quotes"]; quotes < flash/20 {
		t.Errorf("%d of the less urgent kind answered beside %d of the more urgent one, want a twentieth", quotes, flash)
	}
}

// TestAccountAtSixTimesItsRate guards against an account's load that is at the expense of the 81 others.
func TestAccountAtSixTimesItsRate(t *testing.T) {
	m := newModel()
	var kinds []kind
	for i := range 82 {
		k := mix(1)[1]
		k.name, k.account, k.perSecond = fmt.Sprint(i), fmt.Sprint(i), 0.5*capacity/82
		if i == 0 {
			k.perSecond = 1.2 * capacity
		}
		kinds = append(kinds, k)
	}
	m.run(5*time.Second, kinds...)
	served, offered := 0, 0
	for i := 1; i < 82; i++ {
		served += m.inTime[fmt.Sprint(i)]
		offered += m.offered[fmt.Sprint(i)]
	}
	if got := float64(served) / float64(offered); got < 0.98 {
		t.Errorf("%.3f of the requests of the other accounts answered in time, want 0.98", got)
	}
	// The searchers run 600 of these queries a second, 360 are from the others: 0.28 of the account's are left at most.
	if got := m.share("0"); got < 0.15 {
		t.Errorf("%.2f of the large account's requests answered in time, want more than half of what is left", got)
	}
}

// TestClientsReturnTogether guards against refused clients that are all asked to return at about the same time, and against
// refusals later than 20 ms.
func TestClientsReturnTogether(t *testing.T) {
	m := newModel()
	m.run(time.Second, mix(0.5)...)
	k := mix(1)[1]
	for range 2000 {
		m.offer(&arrival{kind: &k, at: m.now})
	}
	m.run(3*time.Second, mix(0.5)...)
	if len(m.retryAfter) < 1000 || m.slowRefusals > 0 {
		t.Fatalf("%d refusals, %d of them later than 20 ms, want 1,000 and none", len(m.retryAfter), m.slowRefusals)
	}
	slices.Sort(m.retryAfter)
	if first, last := m.retryAfter[len(m.retryAfter)/10], m.retryAfter[len(m.retryAfter)*9/10]; last < 4*first {
		t.Errorf("asked to return after %s to %s, want a wider spread", first, last)
	}
	before := m.inTime["flash"]
	m.run(time.Second, mix(0.5)...)
	if got := float64(m.inTime["flash"]-before) / (capacity / 8); got < 0.9 {
		t.Errorf("%.2f of the requests answered in time after the burst, want 0.9", got)
	}
}

// TestQueue guards against an unbounded queue, a client that has left and still waits, and a wait without end.
func TestQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	a, load := New(func() time.Time { return now }), 9.0
	offer := func(priority int) *Ticket {
		return a.Offer(&Request{Group: "g", Priority: priority, Work: 1, Load: func() float64 { return load }, WaitUntil: now.Add(15 * time.Millisecond)})
	}
	var tickets []*Ticket
	for range 2 * maxWaiting {
		tickets = append(tickets, offer(1))
	}
	if n := a.Waiting(); n != maxWaiting {
		t.Errorf("%d requests wait, want %d", n, maxWaiting)
	}
	urgent := offer(0)
	gone := offer(0)
	a.Cancel(gone)
	load = 0
	now = now.Add(PollInterval)
	a.Poll()
	if !isDone(urgent) || urgent.Refusal() != nil || isDone(gone) {
		t.Error("the most urgent request is not the first one that is admitted, or one that was cancelled was decided")
	}
	load = 9
	now = now.Add(time.Second)
	a.Poll()
	for _, tk := range tickets {
		if !isDone(tk) || tk.Refusal() == nil || tk.Refusal().RetryAfter <= 0 {
			t.Fatal("a request waits longer than it may, or its refusal has no time")
		}
	}
}

func isDone(tk *Ticket) bool {
	select {
	case <-tk.Done():
		return true
	default:
		return false
	}
}

// TestRoomsOfKinds guards against priorities that count by their number, not by what else is sent to the same searchers.
func TestRoomsOfKinds(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(func() time.Time { return now })
	room := func(priority int) float64 {
		a.Offer(&Request{Group: "g", Priority: priority, Work: 1, Load: func() float64 { return 0 }})
		return a.groups["g"].room(&Request{Priority: priority, Work: 1})
	}
	first, second := minRoom*classRooms[0], minRoom*classRooms[1]
	if got := room(7); got != first {
		t.Errorf("room %g of the only kind, want %g", got, first)
	}
	if a, b := room(5), room(7); a != first || b != second {
		t.Errorf("rooms %g and %g of two kinds, want %g and %g", a, b, first, second)
	}
	now = now.Add(time.Minute)
	if got := room(7); got != first {
		t.Errorf("room %g a minute after the other kind, want %g", got, first)
	}
	for i := range 2 * maxKinds {
		room(i)
	}
	if n := len(a.groups["g"].kinds); n > maxKinds {
		t.Errorf("%d kinds counted, want %d at most", n, maxKinds)
	}
}

// TestRoomOfGoals guards against requests that are refused although they could wait in the searchers' queues within their goal, and
// against a queue of requests with a long goal that makes those with a short one late.
func TestRoomOfGoals(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(func() time.Time { return now })
	room := func(priority int, latency, goal time.Duration) float64 {
		r := &Request{Group: "g", Priority: priority, Work: 1, Load: func() float64 { return 0 }, Latency: latency, Goal: goal}
		a.Offer(r)
		return a.groups["g"].room(r)
	}
	if got, want := room(1, 20*time.Millisecond, 100*time.Millisecond), 3*classRooms[0]; math.Abs(got-want) > 1e-9 {
		t.Errorf("room %g of a goal of five times the latency, want %g", got, want)
	}
	if got, want := room(0, 20*time.Millisecond, 50*time.Millisecond), 2*classRooms[0]; math.Abs(got-want) > 1e-9 {
		t.Errorf("room %g of a more urgent kind with a shorter goal, want %g", got, want)
	}
	if got, want := room(1, 20*time.Millisecond, 100*time.Millisecond), 2*classRooms[1]; math.Abs(got-want) > 1e-9 {
		t.Errorf("room %g of the less urgent kind beside it, want %g", got, want)
	}
}
