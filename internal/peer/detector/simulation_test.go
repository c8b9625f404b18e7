package detector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Times are whole steps, so that clock drift shows at the limits.
const (
	step     = 50 * time.Millisecond
	interval = 2 * step
	fence    = 6 * step
	takeover = 14 * step

	// limit and coldLimit are the numbers of sub-requests that a warm and a cold upstream run at
	// once.
	limit     = 3
	coldLimit = 1
	// horizon is the number of steps with events, after which all faults end.
	horizon = 150
	// maxListLag is the largest number of steps for which the platform still lists an instance that
	// has ended.
	maxListLag = 20
	// rebootSteps is the least number of steps until a lost machine starts again.
	rebootSteps = int(takeover/step) + 2
)

// work is a sub-request in flight at an upstream, until a time of its daemon's clock.
type work struct {
	key string
	end time.Time
}

// ownership is the state in which a daemon holds an upstream.
type ownership struct{ held, warm bool }

// daemon is a process, or its instance after the process ended.
type daemon struct {
	i               int
	self            declarer.Instance
	node            *Node
	permit          *Permit
	alive, lost     bool
	frozen, stalled bool
	endedAt         int // step at which the process ended
	work            []work
	ownerships      map[string]ownership
	inbox           []func()
}

// message is a delivery that is due at a step.
type message struct {
	at int
	do func()
}

// simulation runs a plan.
type simulation struct {
	plan
	rng     *rand.Rand
	step    int
	daemons []*daemon
	cuts    map[[2]int]bool
	queue   []message
	keys    []string
	failure string
}

func newSimulation(p plan) *simulation {
	w := &simulation{plan: p, rng: rand.New(rand.NewPCG(p.seed, 1)), cuts: make(map[[2]int]bool)}
	for i := range p.upstreams {
		w.keys = append(w.keys, fmt.Sprintf("s/u%d", i))
	}
	for i := range p.size {
		d := &daemon{i: i, self: declarer.Instance{ID: fmt.Sprintf("d%d", i)}, endedAt: -rebootSteps}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons[:p.atStart] {
		w.boot(d)
	}
	for _, d := range w.daemons[:p.atStart] {
		w.introduce(d)
	}
	return w
}

// chance returns true with a probability of n percent.
func (w *simulation) chance(n int) bool { return w.rng.IntN(100) < n }

// now returns the time by a daemon's clock. Clocks differ by 1 in 100.
func (w *simulation) now(d *daemon) time.Time {
	rate := time.Duration(995 + 10*(w.fastClocks>>d.i&1))
	return time.Unix(0, 0).Add(time.Duration(w.step+1000) * step / 1000 * rate)
}

func (w *simulation) alive() []*daemon {
	return slices.DeleteFunc(slices.Clone(w.daemons), func(d *daemon) bool { return !d.alive })
}

func (w *simulation) boot(d *daemon) {
	*d = daemon{i: d.i, self: declarer.Instance{ID: d.self.ID, Incarnation: uint64(w.step + 1)}, alive: true, work: d.work}
	d.ownerships = make(map[string]ownership)
	cfg := Config{Interval: interval, Fence: fence, Takeover: takeover, faults: w.faults}
	cfg.InFlight = func(id string, leaving bool) int { return w.inFlight(d, id, leaving) }
	d.node = New(cfg, d.self, w.now(d))
	d.permit = d.node.Permit()
}

// introduce gives a new daemon the records of the running daemons, or of one of them with
// fewContacts.
func (w *simulation) introduce(d *daemon) {
	others := slices.DeleteFunc(w.alive(), func(o *daemon) bool { return o == d })
	w.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for i, o := range others {
		if i == 0 || !w.fewContacts {
			d.node.HandleRecord(w.now(d), o.node.Self())
		}
	}
	w.publish(d)
}

// publish makes the node's permit the one that the daemon's requests use.
func (w *simulation) publish(d *daemon) { d.permit = d.node.Permit() }

func (w *simulation) schedule(after int, do func()) {
	w.queue = append(w.queue, message{w.step + after, do})
}

// call runs f in the control goroutine of a daemon, if its process still runs. While the daemon is
// frozen or stalled, f waits in its inbox.
func (w *simulation) call(d *daemon, f func(now time.Time)) {
	inc := d.self.Incarnation
	run := func() {
		if d.alive && d.self.Incarnation == inc {
			f(w.now(d))
			w.publish(d)
			w.admit(d, w.load)
		}
	}
	if d.frozen || d.stalled {
		d.inbox = append(d.inbox, run)
		return
	}
	run()
}

func (w *simulation) randomDelay() int {
	if w.delay == 0 || w.chance(60) {
		return 0
	}
	return w.rng.IntN(w.delay + 1)
}

// isDelivered reports whether a message gets through along a path of daemons.
func (w *simulation) isDelivered(path ...*daemon) bool {
	for i := range len(path) - 1 {
		if w.cuts[[2]int{path[i].i, path[i+1].i}] || w.chance(w.loss) {
			return false
		}
	}
	return true
}

func (w *simulation) find(id string) *daemon { return w.daemons[id[1]-'0'] }

// ping sends a ping directly and, with relay and when no ack comes, through another daemon.
func (w *simulation) ping(d *daemon, out Outgoing) {
	to := w.find(out.To.ID)
	if !to.alive && !to.lost {
		if w.isDelivered(d, to) {
			w.schedule(w.randomDelay(), func() {
				w.call(d, func(now time.Time) { d.node.HandleEnded(now, out.To.ID, out.To.Incarnation) })
			})
		}
		return
	}
	if w.sendPing(d, to, out.Ping, d, to) || !w.relay {
		return
	}
	r := w.daemons[w.rng.IntN(w.size)]
	if r != d && r != to && r.alive && !r.frozen {
		w.sendPing(d, to, out.Ping, d, r, to)
	}
}

// sendPing sends a ping along a path and its ack back, and reports whether both get through.
func (w *simulation) sendPing(d, to *daemon, p Ping, path ...*daemon) bool {
	if !to.alive || !w.isDelivered(path...) {
		return false
	}
	slices.Reverse(path)
	back := w.isDelivered(path...)
	inc := d.self.Incarnation
	w.schedule(w.randomDelay(), func() {
		w.call(to, func(now time.Time) {
			ack := to.node.HandlePing(now, p)
			w.publish(to)
			w.tick(to, now)
			w.schedule(w.randomDelay(), func() {
				if back && d.self.Incarnation == inc {
					w.call(d, func(now time.Time) { d.node.HandleAck(now, ack) })
				}
			})
		})
	})
	return back
}

func (w *simulation) tick(d *daemon, now time.Time) {
	for _, out := range d.node.Tick(now) {
		w.ping(d, out)
	}
}

// sendRecords sends records to a daemon, as gossip does.
func (w *simulation) sendRecords(d, to *daemon, records ...declarer.Instance) {
	if d == to || !to.alive || !w.isDelivered(d, to) {
		return
	}
	w.schedule(w.randomDelay(), func() {
		w.call(to, func(now time.Time) {
			for _, record := range records {
				to.node.HandleRecord(now, record)
			}
		})
	})
}

// confirmEnded reports to a daemon the ends of missing members, as the platform's list of instances
// does.
func (w *simulation) confirmEnded(d *daemon) {
	for _, record := range d.node.Records() {
		o := w.find(record.ID)
		if record.State == declarer.Missing && !o.alive && w.step-o.endedAt >= w.listLag {
			w.call(d, func(now time.Time) { d.node.HandleEnded(now, record.ID, record.Incarnation) })
		}
	}
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("step %d: ", w.step) + fmt.Sprintf(format, args...)
	}
}
