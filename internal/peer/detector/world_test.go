package detector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Times are whole steps, so that a drift of clocks shows at the borders.
const (
	step     = 50 * time.Millisecond
	interval = 2 * step
	fence    = 6 * step
	takeover = 14 * step

	limit     = 3
	coldLimit = 1
	// horizon is the number of steps before everything is healed.
	horizon = 150
	// maxListLag is the steps after its end that the platform lists an instance.
	maxListLag = 20
	// rebootSteps is the least number of steps until a lost machine is back.
	rebootSteps = int(takeover/step) + 2
)

// work is a sub-request at an upstream, until a time of its daemon's clock.
type work struct {
	key string
	end time.Time
}

// tenure is how a daemon holds an upstream.
type tenure struct{ held, warm bool }

// daemon is a process, or its instance after it ended.
type daemon struct {
	i               int
	self            declarer.Instance
	node            *Node
	permit          *Permit
	alive, lost     bool
	frozen, stalled bool
	endedAt         int
	work            []work
	tenures         map[string]tenure
	inbox           []func()
}

type message struct {
	at int
	do func()
}

// world runs a plan.
type world struct {
	plan
	rng     *rand.Rand
	step    int
	daemons []*daemon
	cuts    map[[2]int]bool
	queue   []message
	keys    []string
	broken  string
}

func newWorld(p plan) *world {
	w := &world{plan: p, rng: rand.New(rand.NewPCG(p.seed, 1)), cuts: make(map[[2]int]bool)}
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

// chance is true in n of 100 cases.
func (w *world) chance(n int) bool { return w.rng.IntN(100) < n }

// now is the time by a daemon's clock. Clocks differ by 1 in 100.
func (w *world) now(d *daemon) time.Time {
	rate := time.Duration(995 + 10*(w.fast>>d.i&1))
	return time.Unix(0, 0).Add(time.Duration(w.step+1000) * step / 1000 * rate)
}

func (w *world) alive() []*daemon {
	return slices.DeleteFunc(slices.Clone(w.daemons), func(d *daemon) bool { return !d.alive })
}

func (w *world) boot(d *daemon) {
	*d = daemon{i: d.i, self: declarer.Instance{ID: d.self.ID, Incarnation: uint64(w.step + 1)}, alive: true, work: d.work}
	d.tenures = make(map[string]tenure)
	cfg := Config{Interval: interval, Fence: fence, Takeover: takeover, faults: w.faults}
	cfg.InFlight = func(id string, leaving bool) int { return w.inFlight(d, id, leaving) }
	d.node = New(cfg, d.self, w.now(d))
	d.permit = d.node.Permit()
}

// introduce tells a new daemon of those that run, or of one of them.
func (w *world) introduce(d *daemon) {
	others := slices.DeleteFunc(w.alive(), func(o *daemon) bool { return o == d })
	w.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for i, o := range others {
		if i == 0 || !w.fewContacts {
			d.node.HandleRecord(w.now(d), o.node.Self())
		}
	}
	w.publish(d)
}

// publish shows the traffic what the node permits.
func (w *world) publish(d *daemon) { d.permit = d.node.Permit() }

func (w *world) post(after int, do func()) {
	w.queue = append(w.queue, message{w.step + after, do})
}

// call runs f in a daemon's control goroutine, if the process still runs.
func (w *world) call(d *daemon, f func(now time.Time)) {
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

func (w *world) delayed() int {
	if w.delay == 0 || w.chance(60) {
		return 0
	}
	return w.rng.IntN(w.delay + 1)
}

// passes reports whether a message gets through a path of daemons.
func (w *world) passes(path ...*daemon) bool {
	for i := range len(path) - 1 {
		if w.cuts[[2]int{path[i].i, path[i+1].i}] || w.chance(w.loss) {
			return false
		}
	}
	return true
}

func (w *world) find(id string) *daemon { return w.daemons[id[1]-'0'] }

// ping sends a ping directly and, when no answer comes, through another daemon.
func (w *world) ping(d *daemon, out Outgoing) {
	to := w.find(out.To.ID)
	if !to.alive && !to.lost {
		if w.passes(d, to) {
			w.post(w.delayed(), func() {
				w.call(d, func(now time.Time) { d.node.HandleEnded(now, out.To.ID, out.To.Incarnation) })
			})
		}
		return
	}
	if w.try(d, to, out.Ping, d, to) || !w.relay {
		return
	}
	r := w.daemons[w.rng.IntN(w.size)]
	if r != d && r != to && r.alive && !r.frozen {
		w.try(d, to, out.Ping, d, r, to)
	}
}

// try sends a ping along a path and its ack back, and reports whether both get
// through.
func (w *world) try(d, to *daemon, p Ping, path ...*daemon) bool {
	if !to.alive || !w.passes(path...) {
		return false
	}
	slices.Reverse(path)
	back := w.passes(path...)
	inc := d.self.Incarnation
	w.post(w.delayed(), func() {
		w.call(to, func(now time.Time) {
			ack := to.node.HandlePing(now, p)
			w.publish(to)
			w.tick(to, now)
			w.post(w.delayed(), func() {
				if back && d.self.Incarnation == inc {
					w.call(d, func(now time.Time) { d.node.HandleAck(now, ack) })
				}
			})
		})
	})
	return back
}

func (w *world) tick(d *daemon, now time.Time) {
	for _, out := range d.node.Tick(now) {
		w.ping(d, out)
	}
}

// tell spreads records to a daemon, as gossip.
func (w *world) tell(d, to *daemon, records ...declarer.Instance) {
	if d == to || !to.alive || !w.passes(d, to) {
		return
	}
	w.post(w.delayed(), func() {
		w.call(to, func(now time.Time) {
			for _, in := range records {
				to.node.HandleRecord(now, in)
			}
		})
	})
}

// list confirms, as the platform's list does, missing members that have ended.
func (w *world) list(d *daemon) {
	for _, in := range d.node.Records() {
		o := w.find(in.ID)
		if in.State == declarer.Missing && !o.alive && w.step-o.endedAt >= w.listLag {
			w.call(d, func(now time.Time) { d.node.HandleEnded(now, in.ID, in.Incarnation) })
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("step %d: ", w.step) + fmt.Sprintf(format, args...)
	}
}
