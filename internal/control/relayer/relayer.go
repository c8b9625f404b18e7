package relayer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
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
	// Settle is how long a daemon that starts waits for others that start at the same
	// time to register; it reads the store itself meanwhile.
	Settle time.Duration
	// Hold is how long a daemon reads the store itself before it asks its sources again.
	Hold time.Duration
	// Sources is the number of members ranked before this one that it asks.
	Sources int
}

// Default returns the pace for bounds of 3 s on knowledge.
func Default() Config {
	return Config{
		Wait:    time.Second,
		Slack:   400 * time.Millisecond,
		MaxAge:  2200 * time.Millisecond,
		Pause:   50 * time.Millisecond,
		Silence: 4 * time.Second,
		Settle:  500 * time.Millisecond,
		Hold:    1500 * time.Millisecond,
		Sources: 2,
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
	since(from uint64) (update, error)
	take(u *update) error
}

// poll asks for what changed after the revisions that a peer knows.
type poll struct {
	Revisions map[string]uint64 `json:"revisions"`
	Wait      time.Duration     `json:"wait"`
}

// Check returns the fault of a poll, or nil.
func (p *poll) Check() error {
	if p.Wait < 0 || p.Wait > time.Minute {
		return &declarer.FieldError{Field: "wait", Reason: "want 0 to one minute, got " + p.Wait.String()}
	}
	return nil
}

// news is the answer to a poll.
type news struct {
	Updates []update `json:"updates"`
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
	// members returns the known members.
	members func() []declarer.Member
	// silent holds until when a member that did not answer is passed over.
	silent map[string]time.Time

	direct  atomic.Bool
	changed signal
}

// New returns a Relayer without caches; add them with NewCache before Serve.
func New(cfg Config, self declarer.Member, members func() []declarer.Member, caller Caller, log hclog.Logger) *Relayer {
	return &Relayer{cfg: cfg, self: self, members: members, caller: caller, log: log, silent: make(map[string]time.Time)}
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

func (r *Relayer) setDirect(direct bool, reason string) {
	if r.direct.Swap(direct) == direct {
		return
	}
	r.log.Info("source of knowledge changed", "direct", direct, "reason", reason)
	r.changed.raise()
}

// Serve keeps the caches fresh until ctx ends.
func (r *Relayer) Serve(ctx context.Context) error {
	r.setDirect(true, "just started")
	r.pause(ctx, r.cfg.Settle)
	for ctx.Err() == nil {
		sources := ranked(r.self, r.members())
		switch {
		case len(sources) == 0:
			r.setDirect(true, "first of its zone")
			r.pause(ctx, r.cfg.Wait)
		case r.ask(ctx, sources):
			r.setDirect(false, "a peer relays the store")
			r.pause(ctx, r.cfg.Pause)
		default:
			r.setDirect(true, "no peer knows the store's state")
			r.pause(ctx, r.cfg.Hold)
		}
	}
	return ctx.Err()
}

// pause sleeps; the end of ctx is seen by the caller's loop.
func (r *Relayer) pause(ctx context.Context, d time.Duration) {
	_ = sleeper.Sleep(ctx, d)
}

// ask polls the sources in order until one has fresh knowledge.
func (r *Relayer) ask(ctx context.Context, sources []declarer.Member) bool {
	asked := 0
	for i := range sources {
		if time.Now().Before(r.silent[sources[i].ID]) {
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

// pollOne polls one source, and reports whether the caches are fresh then.
func (r *Relayer) pollOne(ctx context.Context, m *declarer.Member) bool {
	in := poll{Revisions: make(map[string]uint64), Wait: r.cfg.Wait}
	for _, k := range r.kinds {
		if revision, known := k.Revision(); known {
			in.Revisions[k.name()] = revision
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Wait+r.cfg.Slack)
	defer cancel()
	var out news
	if err := r.caller.Call(ctx, m.Peer, callPoll, &in, &out); err != nil {
		r.log.Debug("peer relays nothing", "peer", m.ID, "error", err)
		r.silent[m.ID] = time.Now().Add(r.cfg.Silence)
		return false
	}
	for i := range out.Updates {
		r.take(m, &out.Updates[i])
	}
	for _, k := range r.kinds {
		if !k.fresh(r.cfg.MaxAge) {
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
	var out news
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
