package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/time/sleeper"
)

// callPoll is the name of the call between peers.
const callPoll = "Poll"

// Config holds the pace of a Relayer.
type Config struct {
	// Wait is how long a peer holds a call that has nothing to tell.
	Wait time.Duration
	// Slack is how much longer than its wait a call may take.
	Slack time.Duration
	// MaxAge is the age of knowledge above which a source is not relied on.
	MaxAge time.Duration
	// Pause is the time between an answer and the next call.
	Pause time.Duration
	// Silence is how long a member that did not answer is passed over.
	Silence time.Duration
	// Patience is how long a daemon that starts waits for its sources, and Retry the
	// pause between two questions meanwhile.
	Patience, Retry time.Duration
	// Consult is the time between two questions to the first daemons of other zones.
	Consult time.Duration
	// Hold is how long a daemon reads the store itself before it asks its sources again.
	Hold time.Duration
	// Sources is the number of members ranked before this one that it asks.
	Sources int
}

// Default returns the pace for bounds of 3 s on knowledge.
func Default() Config {
	return Config{
		Wait:     300 * time.Millisecond,
		Slack:    400 * time.Millisecond,
		MaxAge:   2600 * time.Millisecond,
		Pause:    50 * time.Millisecond,
		Silence:  4 * time.Second,
		Patience: 900 * time.Millisecond,
		Retry:    100 * time.Millisecond,
		Consult:  300 * time.Millisecond,
		Hold:     1500 * time.Millisecond,
		Sources:  2,
	}
}

// Caller makes calls to peers. Its errors are those of linker.Linker.Call.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
}

// kind is a Cache of any type.
type kind interface {
	name() string
	Revision() (uint64, bool)
	newer(from uint64) bool
	fresh(age time.Duration) bool
	isTimeless() bool
	since(from uint64) (update, error)
	take(u *update) error
}

// poll asks for what changed after the revisions that a peer knows.
type poll struct {
	// From and Zone name the daemon that asks.
	From      string            `json:"from"`
	Zone      string            `json:"zone"`
	Revisions map[string]uint64 `json:"revisions"`
	Wait      time.Duration     `json:"wait"`
	// Seen is what the daemon has seen of the searchers, and Number the last note of
	// others that it knows.
	Seen   []exchanger.Observation `json:"seen,omitempty"`
	Number uint64                  `json:"number,omitempty"`
}

// Check returns the fault of a poll, or nil.
func (p *poll) Check() error {
	if p.Wait < 0 || p.Wait > time.Minute {
		return &declarer.FieldError{Field: "wait", Reason: "want 0 to one minute, got " + p.Wait.String()}
	}
	return checkSeen(p.Seen)
}

// news is the answer to a poll.
type news struct {
	Updates []update                `json:"updates"`
	Seen    []exchanger.Observation `json:"seen,omitempty"`
	Number  uint64                  `json:"number,omitempty"`
}

// Check returns the fault of an answer, or nil.
func (n *news) Check() error {
	return checkSeen(n.Seen)
}

func checkSeen(seen []exchanger.Observation) error {
	for i := range seen {
		if err := seen[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Relayer is the service that keeps the caches fresh from peers, and decides
// when this daemon reads the store itself. It is the gate of the followers.
type Relayer struct {
	cfg    Config
	self   declarer.Member
	caller Caller
	log    hclog.Logger
	news   signal
	kinds  []kind
	board  board
	// observer holds what this daemon has seen of the searchers.
	observer Observer
	// numbers holds the last note known of each peer that relays.
	numbers map[string]uint64
	// members returns the known members.
	members func() []declarer.Member
	// silent holds until when a member that did not answer is passed over.
	silent map[string]time.Time

	started time.Time
	// direct is true while this daemon reads the store itself, leading while it reads
	// the list of members: at the start and as the first of its zone.
	direct  atomic.Bool
	leading atomic.Bool
	changed signal
}

// New returns a Relayer without caches; add them with NewCache before Serve.
func New(cfg Config, self declarer.Member, members func() []declarer.Member, caller Caller, observer Observer, log hclog.Logger) *Relayer {
	return &Relayer{
		cfg: cfg, self: self, members: members, caller: caller, observer: observer, log: log,
		silent: make(map[string]time.Time), numbers: make(map[string]uint64),
	}
}

// String names the service for its supervisor.
func (r *Relayer) String() string {
	return "relayer"
}

// Open reports whether this daemon reads the store itself.
func (r *Relayer) Open() (bool, <-chan struct{}) {
	ch := r.changed.wait()
	return r.direct.Load(), ch
}

// MemberGate returns the gate of the follower of the members.
func (r *Relayer) MemberGate() follower.Gate {
	return memberGate{r}
}

// memberGate is open while the relayer reads the list of members.
type memberGate struct {
	r *Relayer
}

// Open reports whether this daemon reads the list of members.
func (g memberGate) Open() (bool, <-chan struct{}) {
	ch := g.r.changed.wait()
	return g.r.leading.Load(), ch
}

func (r *Relayer) setLeading(leading bool) {
	if r.leading.Swap(leading) != leading {
		r.changed.raise()
	}
}

func (r *Relayer) setDirect(direct bool, reason string) {
	if r.direct.Swap(direct) == direct {
		return
	}
	r.log.Info("source of knowledge changed", "direct", direct, "reason", reason)
	r.changed.raise()
}

// Serve keeps the caches fresh until ctx ends.
func (r *Relayer) Serve(ctx context.Context) error {
	r.started = time.Now()
	r.setLeading(true)
	for ctx.Err() == nil {
		if len(r.members()) == 0 && r.isStarting() {
			r.pause(ctx, r.cfg.Retry)
			continue
		}
		sources := ranked(r.self, r.members())
		if len(sources) > 0 {
			r.setLeading(false)
		}
		switch {
		case len(sources) == 0:
			r.lead(ctx)
			r.pause(ctx, r.cfg.Consult)
		case r.ask(ctx, sources):
			r.setDirect(false, "a peer relays the store")
			r.pause(ctx, r.cfg.Pause)
		case r.isStarting():
			r.pause(ctx, r.cfg.Retry)
		default:
			r.setDirect(ctx.Err() == nil, "no peer knows the store's state")
			r.pause(ctx, r.cfg.Hold)
		}
	}
	return ctx.Err()
}

// lead is a turn of the first daemon of a zone: it reads the store itself unless
// the first of another zone, which ranks before it, knows the store's state.
func (r *Relayer) lead(ctx context.Context) {
	relayed := r.consult(ctx)
	r.setLeading(!relayed)
	if relayed {
		r.setDirect(false, "the first of another zone relays the store")
		return
	}
	r.setDirect(true, "first of all that answer")
}

// isStarting reports whether the daemon has just started, when its sources may
// have, too.
func (r *Relayer) isStarting() bool {
	return time.Since(r.started) < r.cfg.Patience
}

// pause sleeps; the end of ctx is seen by the caller's loop.
func (r *Relayer) pause(ctx context.Context, d time.Duration) {
	_ = sleeper.Sleep(ctx, d)
}

// ask polls the sources in order until one has fresh knowledge.
func (r *Relayer) ask(ctx context.Context, sources []declarer.Member) bool {
	asked := 0
	for i := range sources {
		if r.isSilent(sources[i].ID) {
			continue
		}
		if r.pollOne(ctx, &sources[i]) {
			return true
		}
		if asked++; asked == r.cfg.Sources {
			return false
		}
	}
	return false
}

// pollOne polls one source, and reports whether its knowledge is fresh.
func (r *Relayer) pollOne(ctx context.Context, m *declarer.Member) bool {
	in := r.poll(m, r.cfg.Wait)
	in.Seen = r.observer.Drain()
	return r.exchange(ctx, m, in)
}

// consult asks the first daemon of each other zone what was seen there. It reports
// whether one that ranks before this one knows the store's state.
func (r *Relayer) consult(ctx context.Context) bool {
	r.share()
	relayed := false
	for _, m := range firsts(r.self.Zone, r.members(), r.isSilent) {
		if r.exchange(ctx, &m, r.poll(&m, 0)) && rank(&m) < rank(&r.self) {
			relayed = true
		}
	}
	return relayed
}

// share puts what this daemon has seen up for its peers.
func (r *Relayer) share() {
	r.board.add(r.self.ID, r.self.Zone, r.observer.Drain())
}

func (r *Relayer) isSilent(id string) bool {
	return time.Now().Before(r.silent[id])
}

// poll returns what to ask a peer.
func (r *Relayer) poll(m *declarer.Member, wait time.Duration) *poll {
	in := &poll{From: r.self.ID, Zone: r.self.Zone, Revisions: make(map[string]uint64), Wait: wait, Number: r.numbers[m.ID]}
	for _, k := range r.kinds {
		if revision, known := k.Revision(); known {
			in.Revisions[k.name()] = revision
		}
	}
	return in
}

// exchange asks a peer, and takes over what it tells. It reports whether the
// peer's own knowledge is fresh: this daemon's may be so by its own reading.
func (r *Relayer) exchange(ctx context.Context, m *declarer.Member, in *poll) bool {
	ctx, cancel := context.WithTimeout(ctx, in.Wait+r.cfg.Slack)
	defer cancel()
	var out news
	if err := r.caller.Call(ctx, m.Peer, callPoll, in, &out); err != nil {
		r.log.Debug("peer relays nothing", "peer", m.ID, "error", err)
		silence := r.cfg.Silence
		if r.isStarting() {
			silence = r.cfg.Retry
		}
		r.silent[m.ID] = time.Now().Add(silence)
		return false
	}
	for i := range out.Updates {
		r.take(m, &out.Updates[i])
	}
	r.numbers[m.ID] = out.Number
	r.observer.Merge(out.Seen)
	r.board.add(m.ID, m.Zone, out.Seen)
	return r.isFresh(&out)
}

// isFresh reports whether a peer's answer shows knowledge that can be relied on.
func (r *Relayer) isFresh(n *news) bool {
	for _, k := range r.kinds {
		if k.isTimeless() {
			continue
		}
		i := slices.IndexFunc(n.Updates, func(u update) bool { return u.Kind == k.name() })
		if i < 0 || n.Updates[i].Lost || n.Updates[i].Age > r.cfg.MaxAge {
			return false
		}
	}
	return true
}

func (r *Relayer) take(m *declarer.Member, u *update) {
	for _, k := range r.kinds {
		if k.name() != u.Kind {
			continue
		}
		if err := k.take(u); err != nil {
			r.log.Warn("peer's state not readable", "peer", m.ID, "kind", u.Kind, "error", err)
		}
	}
}

// Handle answers the polls of peers; register it with linker.Linker.Handle under
// the name that Call returns.
func (r *Relayer) Handle(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var in poll
	if err := linker.Decode(body, &in); err != nil {
		return nil, err
	}
	r.observer.Merge(in.Seen)
	r.board.add(in.From, in.Zone, in.Seen)
	end := time.NewTimer(in.Wait)
	defer end.Stop()
	for {
		changed := r.news.wait()
		if r.hasNews(&in) {
			return r.answer(&in)
		}
		select {
		case <-changed:
		case <-end.C:
			return r.answer(&in)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// CallName returns the name of the call that Handle answers.
func CallName() string {
	return callPoll
}

// hasNews reports whether a poll is to be answered at once: something is newer,
// or the peer had better ask somebody else.
func (r *Relayer) hasNews(in *poll) bool {
	for _, k := range r.kinds {
		if k.newer(in.Revisions[k.name()]) || !k.fresh(r.cfg.MaxAge) {
			return true
		}
	}
	return false
}

func (r *Relayer) answer(in *poll) (any, error) {
	r.share()
	var out news
	out.Seen, out.Number = r.board.since(in.Number, in.From, in.Zone, r.self.Zone)
	for _, k := range r.kinds {
		if _, known := k.Revision(); !known {
			continue
		}
		u, err := k.since(in.Revisions[k.name()])
		if err != nil {
			return nil, err
		}
		out.Updates = append(out.Updates, u)
	}
	return &out, nil
}
