package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/signaler"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/time/sentry"
	"cornelwood.example/internal/time/sleeper"
)

// callPoll is the name of the call by which a peer polls another.
const callPoll = "Poll"

// Config holds the settings of a Relayer.
type Config struct {
	// PollWait is how long a peer holds a poll while it has no change to return.
	PollWait time.Duration
	// PollMargin is how much longer than its wait a poll may take.
	PollMargin time.Duration
	// MaxAge is the age above which a source's state counts as stale.
	MaxAge time.Duration
	// PollPause is the pause between the answer to a poll and the next poll.
	PollPause time.Duration
	// PeerBackoff is how long a member that did not answer is not polled.
	PeerBackoff time.Duration
	// StartupTime is how long a daemon that starts waits for its sources, and
	// StartupRetry the pause between two polls meanwhile.
	StartupTime, StartupRetry time.Duration
	// LeaderPause is the pause after a zone's leader has polled the other leaders.
	LeaderPause time.Duration
	// DirectReadTime is how long a daemon without a usable source reads the store itself
	// before it polls its sources again.
	DirectReadTime time.Duration
	// MaxSources is the number of sources that are polled in one round.
	MaxSources int
	// MaxReaders is the number of daemons of a zone that read the store themselves while their
	// sources answer with stale state, because the store does not answer those. As many
	// more do with each ReadersInterval, since the store may turn some machines away and serve
	// others.
	MaxReaders      int
	ReadersInterval time.Duration
	// StaleBackoff is how long a source with stale state is polled after the others.
	StaleBackoff time.Duration
	// StalePause is the pause between two polls of a daemon that waits for those.
	StalePause time.Duration
	// Clock dates the state of caches whose age is limited. It goes on while the machine is suspended.
	Clock sentry.Clock
}

// Default returns the settings that keep the cached state at most 3 s old.
func Default() Config {
	return Config{
		PollWait:       300 * time.Millisecond,
		PollMargin:     400 * time.Millisecond,
		MaxAge:         2600 * time.Millisecond,
		PollPause:      50 * time.Millisecond,
		PeerBackoff:    4 * time.Second,
		StartupTime:    900 * time.Millisecond,
		StartupRetry:   100 * time.Millisecond,
		LeaderPause:    300 * time.Millisecond,
		DirectReadTime: 1500 * time.Millisecond,
		MaxSources:     3,

		MaxReaders:      3,
		ReadersInterval: 1200 * time.Millisecond,
		StaleBackoff:    time.Second,
		StalePause:      300 * time.Millisecond,
		Clock:           sentry.BootClock,
	}
}

// Caller makes calls to peers. Its errors are those of linker.Linker.Call.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error
}

// cache is a Cache of any type.
type cache interface {
	name() string
	Revision() (uint64, bool)
	hasNewerThan(revision uint64) bool
	isOutdatedFor(revision uint64) bool
	isFresh(maxAge time.Duration) bool
	isCurrent(maxAge time.Duration) bool
	isLost() bool
	isNeverStale() bool
	invalidate()
	updateSince(revision uint64) (update, error)
	acceptsAge(u *update) bool
	applyUpdate(u *update, answered time.Duration) error
}

// pollRequest asks a peer for the changes after the revisions that the sender knows.
type pollRequest struct {
	// From is the sender's ID, and Zone its zone.
	From string `json:"from"`
	Zone string `json:"zone"`
	// Revisions holds the known revision of each kind that has been listed.
	Revisions map[string]uint64 `json:"revisions"`
	// Wait is how long the peer holds the request while it has no change to return.
	Wait time.Duration `json:"wait"`
	// Observations holds the sender's own observations, and LastBatch the LastBatch of
	// the peer's last response.
	Observations []exchanger.Observation `json:"seen,omitempty"`
	LastBatch    uint64                  `json:"number,omitempty"`
	// CutOff is the CutOff of the last response.
	CutOff bool `json:"cutoff,omitempty"`
}

// Check validates the request. It returns the first error, or nil.
func (p *pollRequest) Check() error {
	if p.Wait < 0 || p.Wait > time.Minute {
		return &declarer.FieldError{Field: "wait", Reason: "want 0 to one minute, got " + p.Wait.String()}
	}
	return checkObservations(p.Observations)
}

// pollResponse is the answer to a pollRequest.
type pollResponse struct {
	Updates []update `json:"updates"`
	// Held is how long the sender has held the poll, by its Config.Clock.
	Held time.Duration `json:"held,omitempty"`
	// Observations holds the observations that the sender of the request lacks, and
	// LastBatch the number of the newest batch.
	Observations []exchanger.Observation `json:"seen,omitempty"`
	LastBatch    uint64                  `json:"number,omitempty"`
	// CutOff is true while the sender's zone is cut off from the others and from the store.
	CutOff bool `json:"cutoff,omitempty"`
	// answered is the time of the receiver's Config.Clock at or before which the response was made: that of sending the
	// poll, and Held.
	answered time.Duration
}

// Check validates the response. It returns the first error, or nil.
func (p *pollResponse) Check() error {
	return checkObservations(p.Observations)
}

func checkObservations(observations []exchanger.Observation) error {
	for i := range observations {
		if err := observations[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Relayer is the service that updates the caches from peers, and decides when this
// daemon reads the store itself. It is the follower.Gate of the followers.
type Relayer struct {
	cfg    Config
	self   declarer.Member
	caller Caller
	log    hclog.Logger
	// onEra is called with the era of the store's state when a cache has reached a later one; nil means that nothing is.
	onEra func(era uint64)
	// cacheChanged is raised when a cache changes or the store stops answering.
	cacheChanged signaler.Signal
	caches       []cache
	// recent holds the observations for the peers that poll this daemon.
	recent   observationBuffer
	observer Observer
	// lastBatches holds the LastBatch of each peer's last response, by the peer's ID.
	lastBatches map[string]uint64
	// sentBatch is the number of the newest batch that a source was sent.
	sentBatch uint64
	// members returns the known members.
	members func() []declarer.Member
	// skippedUntil holds, by ID, until when a member that did not answer is not polled, and
	// staleUntil until when one whose state was stale is polled after the others.
	skippedUntil, staleUntil map[string]time.Time

	started time.Time
	// checkStore reports whether the store answers. isCutOff is true while the zone is cut off
	// from the others and from the store.
	checkStore func(ctx context.Context) bool
	isCutOff   atomic.Bool
	// acceptsStale is true when this daemon has no state and the store does not answer it.
	acceptsStale bool
	// staleSince is when the sources were first found to have stale state only; zero while
	// one has fresh state.
	staleSince time.Time
	// readsStore is true while this daemon reads the store itself, readsMembers while
	// it reads the list of members: at the start, and as the leader of its zone unless
	// the leader of another zone relays the store's state.
	readsStore   atomic.Bool
	readsMembers atomic.Bool
	// gatesChanged is raised when readsStore or readsMembers changes.
	gatesChanged signaler.Signal
}

// New returns a Relayer without caches; add them with NewCache before Serve. checkStore reports
// whether the store answers this daemon now, within some tenths of a second.
func New(cfg Config, self declarer.Member, members func() []declarer.Member, caller Caller, checkStore func(ctx context.Context) bool, observer Observer, log hclog.Logger) *Relayer {
	return &Relayer{
		cfg: cfg, self: self, members: members, caller: caller, checkStore: checkStore, observer: observer, log: log,
		skippedUntil: make(map[string]time.Time), staleUntil: make(map[string]time.Time), lastBatches: make(map[string]uint64),
	}
}

// OnEra sets a function that is called with each era of the store that a cache reaches, which a peer may have relayed, or that a polling
// peer knows. It may be called several times with the same one, from several goroutines. Call it before Serve.
func (r *Relayer) OnEra(f func(era uint64)) {
	r.onEra = f
}

func (r *Relayer) observeEra(era uint64) {
	if r.onEra != nil && era > 0 {
		r.onEra(era)
	}
}

// String names the service for its supervisor.
func (r *Relayer) String() string {
	return "relayer"
}

// Open reports whether this daemon reads the store itself, and returns a channel that is
// closed when that may have changed.
func (r *Relayer) Open() (bool, <-chan struct{}) {
	ch := r.gatesChanged.Wait()
	return r.readsStore.Load(), ch
}

// MemberGate returns the gate of the follower of the members.
func (r *Relayer) MemberGate() follower.Gate {
	return memberGate{r}
}

// memberGate is open while the relayer reads the list of members.
type memberGate struct {
	r *Relayer
}

// Open reports whether this daemon reads the list of members, and returns a channel that
// is closed when that may have changed.
func (g memberGate) Open() (bool, <-chan struct{}) {
	ch := g.r.gatesChanged.Wait()
	return g.r.readsMembers.Load(), ch
}

func (r *Relayer) setReadsMembers(reads bool) {
	if r.readsMembers.Swap(reads) != reads {
		r.gatesChanged.Raise()
	}
}

func (r *Relayer) setReadsStore(reads bool, reason string) {
	if r.readsStore.Swap(reads) == reads {
		return
	}
	r.log.Info("source of the store's state changed", "direct", reads, "reason", reason)
	r.gatesChanged.Raise()
}

// Serve updates the caches until ctx ends, and returns the error of ctx.
func (r *Relayer) Serve(ctx context.Context) error {
	r.started = time.Now()
	r.setReadsMembers(true)
	for ctx.Err() == nil {
		if len(r.members()) == 0 && r.isStarting() {
			r.pause(ctx, r.cfg.StartupRetry)
			continue
		}
		sources := spreadSources(&r.self, rankedBefore(r.self, r.members()))
		if len(sources) > 0 {
			r.setReadsMembers(false)
		}
		if len(sources) == 0 {
			r.leadZone(ctx)
			r.pause(ctx, r.cfg.LeaderPause)
			continue
		}
		r.pause(ctx, r.followSources(ctx, sources))
	}
	return ctx.Err()
}

func (r *Relayer) hasOtherZones() bool {
	return slices.ContainsFunc(r.members(), func(m declarer.Member) bool { return m.Zone != r.self.Zone })
}

// IsCutOff reports whether this daemon's zone is cut off from the other zones and from the store,
// as its leader has found.
func (r *Relayer) IsCutOff() bool {
	return r.isCutOff.Load()
}

func (r *Relayer) setCutOff(cutOff bool) {
	if r.isCutOff.Swap(cutOff) != cutOff {
		r.log.Warn("connection of the zone to the other zones and to the store changed", "zone", r.self.Zone, "cutoff", cutOff)
		// The polls that wait tell it to the other daemons of the zone.
		r.cacheChanged.Raise()
	}
}

// followSources runs one round of a daemon that is not its zone's leader, and returns the
// pause until the next.
func (r *Relayer) followSources(ctx context.Context, sources []declarer.Member) time.Duration {
	state := r.pollSources(ctx, sources)
	if state != fresh && r.isLost() {
		state = max(state, r.pollSources(ctx, rankedAfter(r.self, r.members())))
	}
	if state == fresh {
		r.staleSince = time.Time{}
		r.setReadsStore(false, "a peer relays the store's state")
		return r.cfg.PollPause
	}
	if state == stale && !r.hasState() {
		return r.startBesideStalePeers(ctx)
	}
	if r.isStarting() {
		return r.cfg.StartupRetry
	}
	if state != silent && !r.mayRead(sources) {
		r.setReadsStore(false, "daemons ranked before this one read the store")
		return r.cfg.StalePause
	}
	r.setReadsStore(ctx.Err() == nil, "no peer has fresh state of the store")
	return r.cfg.DirectReadTime
}

// startBesideStalePeers decides where a daemon without any state takes it from when its sources
// have only stale state, which may hold what has been removed since: from the store if that
// answers this daemon, and from the peers otherwise. It returns the pause until the next round.
func (r *Relayer) startBesideStalePeers(ctx context.Context) time.Duration {
	if r.checkStore(ctx) {
		r.setReadsStore(ctx.Err() == nil, "no state yet, and only stale state at the peers")
	} else {
		r.acceptsStale = true
	}
	return r.cfg.StartupRetry
}

// mayRead reports whether this daemon reads the store itself while its sources answer with
// stale state.
//
// Load pattern: an outage of the store, in which a whole fleet would call it again and again.
func (r *Relayer) mayRead(sources []declarer.Member) bool {
	now := time.Now()
	if r.staleSince.IsZero() {
		r.staleSince = now
	}
	before := 0
	for i := range sources {
		if !r.isSkipped(sources[i].ID) {
			before++
		}
	}
	return before < r.cfg.MaxReaders*(1+int(now.Sub(r.staleSince)/r.cfg.ReadersInterval))
}

// leadZone runs one round of a zone's leader: it reads the store itself unless the
// leader of another zone that is ranked before it has fresh state.
func (r *Relayer) leadZone(ctx context.Context) {
	if !r.hasState() {
		// The daemons of the zone wait for this one's state.
		r.setReadsStore(true, "no state yet")
	}
	relayed := r.pollLeaders(ctx)
	if !relayed && !r.hasState() {
		r.acceptsStale = !r.checkStore(ctx)
	}
	if r.isLost() {
		// The store may turn this daemon away and serve others of its zone.
		r.pollSources(ctx, rankedAfter(r.self, r.members()))
	}
	r.setReadsMembers(!relayed)
	if relayed {
		r.setReadsStore(false, "the leader of another zone relays the store's state")
		return
	}
	r.setReadsStore(true, "no leader ranked before this one has fresh state of the store")
}

// isLost reports whether the store does not answer this daemon, and no peer that it answers
// has relayed its state since.
func (r *Relayer) isLost() bool {
	return slices.ContainsFunc(r.caches, cache.isLost)
}

// hasState reports whether every kind has been listed.
func (r *Relayer) hasState() bool {
	for _, c := range r.caches {
		if _, listed := c.Revision(); !listed && !c.isNeverStale() {
			return false
		}
	}
	return true
}

// isStarting reports whether the daemon has just started. Its sources may then be
// starting, too, and have no state yet.
func (r *Relayer) isStarting() bool {
	return time.Since(r.started) < r.cfg.StartupTime
}

// pause sleeps until d has passed or ctx ends. The caller's loop checks ctx.
func (r *Relayer) pause(ctx context.Context, d time.Duration) {
	_ = sleeper.Sleep(ctx, d)
}

// sourceState is what polls of sources found.
type sourceState int

const (
	// silent: no source answered.
	silent sourceState = iota
	// empty: one answered, but has no state yet, as after the start of all daemons.
	empty
	// stale: one has state, but none has fresh state.
	stale
	// fresh: one has fresh state.
	fresh
)

// pollSources polls up to MaxSources sources until one has fresh state: in order, but those
// that had stale state a moment ago last.
func (r *Relayer) pollSources(ctx context.Context, sources []declarer.Member) sourceState {
	polled, best := 0, silent
	// first is the source of the highest rank that answered. Daemons ranked after this one
	// have from it what they say about a cut.
	first, cutOff := &r.self, false
	defer func() {
		if first != &r.self {
			r.setCutOff(cutOff)
		}
	}()
	now := time.Now()
	slices.SortStableFunc(sources, func(a, b declarer.Member) int {
		return compareBool(now.Before(r.staleUntil[a.ID]), now.Before(r.staleUntil[b.ID]))
	})
	for i := range sources {
		if r.isSkipped(sources[i].ID) {
			continue
		}
		in := r.newPoll(&sources[i], r.cfg.PollWait)
		in.Observations = r.unsentObservations()
		out := r.poll(ctx, &sources[i], in)
		if out != nil && compareRanks(&sources[i], first) < 0 {
			first, cutOff = &sources[i], out.CutOff
		}
		best = max(best, r.applyPoll(&sources[i], out))
		if best == fresh {
			return fresh
		}
		if polled++; polled == r.cfg.MaxSources {
			break
		}
	}
	return best
}

// pollLeaders polls the leader of each other zone. It reports whether one that is ranked
// before this daemon has fresh state.
func (r *Relayer) pollLeaders(ctx context.Context) bool {
	r.publishObservations()
	relayed := false
	leaders := zoneLeaders(r.self.Zone, r.members(), r.isSkipped)
	answers := make([]*pollResponse, len(leaders))
	var polls sync.WaitGroup
	for i := range leaders {
		in := r.newPoll(&leaders[i], 0)
		polls.Go(func() { answers[i] = r.poll(ctx, &leaders[i], in) })
	}
	polls.Wait()
	isAlone := r.hasOtherZones() && !slices.ContainsFunc(answers, func(a *pollResponse) bool { return a != nil })
	r.setCutOff(isAlone && !r.checkStore(ctx))
	for i := range leaders {
		if r.applyPoll(&leaders[i], answers[i]) == fresh && compareRanks(&leaders[i], &r.self) < 0 {
			relayed = true
		}
	}
	return relayed
}

// unsentObservations returns the observations of this daemon, and of those that poll it, that
// no source has been sent.
func (r *Relayer) unsentObservations() []exchanger.Observation {
	r.publishObservations()
	out, number := r.recent.ownSince(r.sentBatch)
	r.sentBatch = number
	return out
}

// publishObservations makes this daemon's observations available to its peers.
func (r *Relayer) publishObservations() {
	r.recent.add(batch{source: r.self.ID, zone: r.self.Zone, observations: r.observer.Drain()})
}

func (r *Relayer) isSkipped(id string) bool {
	return time.Now().Before(r.skippedUntil[id])
}

// newPoll returns a request to a peer, without observations.
func (r *Relayer) newPoll(m *declarer.Member, wait time.Duration) *pollRequest {
	in := &pollRequest{From: r.self.ID, Zone: r.self.Zone, Revisions: make(map[string]uint64), Wait: wait, LastBatch: r.lastBatches[m.ID], CutOff: r.isCutOff.Load()}
	for _, c := range r.caches {
		if revision, known := c.Revision(); known {
			in.Revisions[c.name()] = revision
		}
	}
	return in
}

// poll sends a request to a peer and returns the response, nil when there is none. It may
// be called from several goroutines.
func (r *Relayer) poll(ctx context.Context, m *declarer.Member, in *pollRequest) *pollResponse {
	ctx, cancel := context.WithTimeout(ctx, in.Wait+r.cfg.PollMargin)
	defer cancel()
	var out pollResponse
	sent := r.cfg.Clock()
	if err := r.caller.Call(ctx, m.Peer, callPoll, in, &out); err != nil {
		r.log.Debug("poll of peer failed", "peer", m.ID, "error", err)
		return nil
	}
	// A response cannot have been held for longer than the poll took.
	out.answered = sent + max(0, min(out.Held, r.cfg.Clock()-sent))
	return &out
}

// applyPoll applies the response of a peer, nil when it did not answer. It returns whether
// the peer's state is fresh; the caches cannot show that, as they may be fresh because this
// daemon reads the store itself.
func (r *Relayer) applyPoll(m *declarer.Member, out *pollResponse) sourceState {
	if out == nil {
		backoff := r.cfg.PeerBackoff
		if r.isStarting() {
			backoff = r.cfg.StartupRetry
		}
		r.skippedUntil[m.ID] = time.Now().Add(backoff)
		return silent
	}
	for i := range out.Updates {
		r.applyUpdate(m, &out.Updates[i], out.answered)
	}
	r.lastBatches[m.ID] = out.LastBatch
	r.observer.Merge(out.Observations)
	r.recent.add(batch{source: m.ID, zone: m.Zone, isRelayed: true, observations: out.Observations})
	if r.hasFreshState(out) {
		return fresh
	}
	if !r.hasWholeState(out) {
		return empty
	}
	r.staleUntil[m.ID] = time.Now().Add(r.cfg.StaleBackoff)
	return stale
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// hasWholeState reports whether a peer has state of every kind that can become stale.
func (r *Relayer) hasWholeState(resp *pollResponse) bool {
	for _, c := range r.caches {
		if !c.isNeverStale() && !slices.ContainsFunc(resp.Updates, func(u update) bool { return u.Kind == c.name() }) {
			return false
		}
	}
	return true
}

// hasFreshState reports whether a peer's state is fresh for every kind that can
// become stale.
func (r *Relayer) hasFreshState(resp *pollResponse) bool {
	for _, c := range r.caches {
		if c.isNeverStale() {
			continue
		}
		i := slices.IndexFunc(resp.Updates, func(u update) bool { return u.Kind == c.name() })
		if i < 0 || resp.Updates[i].Lost || resp.Updates[i].Age > r.cfg.MaxAge || !c.acceptsAge(&resp.Updates[i]) {
			return false
		}
	}
	return true
}

func (r *Relayer) applyUpdate(m *declarer.Member, u *update, answered time.Duration) {
	for _, c := range r.caches {
		if c.name() != u.Kind {
			continue
		}
		isStale := u.Lost || u.Age > r.cfg.MaxAge
		if _, listed := c.Revision(); !listed && isStale && !c.isNeverStale() && !r.acceptsStale {
			r.log.Info("stale state of a peer not taken for now", "peer", m.ID, "kind", u.Kind, "age", u.Age, "lost", u.Lost)
			continue
		}
		if err := c.applyUpdate(u, answered); err != nil {
			r.log.Warn("update from peer not readable", "peer", m.ID, "kind", u.Kind, "error", err)
		}
	}
}

// Handle answers the polls of peers. Register it with linker.Linker.Handle under the
// name that CallName returns.
func (r *Relayer) Handle(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	received := r.cfg.Clock()
	var in pollRequest
	if err := linker.Decode(body, &in); err != nil {
		return nil, err
	}
	for _, revision := range in.Revisions {
		r.observeEra(declarer.Era(revision))
	}
	r.observer.Merge(in.Observations)
	r.recent.add(batch{source: in.From, zone: in.Zone, observations: in.Observations})
	timeout := time.NewTimer(in.Wait)
	defer timeout.Stop()
	for {
		changed := r.cacheChanged.Wait()
		if r.mustAnswerNow(&in) {
			return r.answer(&in, received)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return r.answer(&in, received)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Invalidate makes the cached state count as stale until it is confirmed again: after a pause of the process, its age is
// not known. The clock does not even count a pause of the whole machine.
func (r *Relayer) Invalidate() {
	for _, c := range r.caches {
		c.invalidate()
	}
}

// IsCurrent reports whether the cached state is fresh, or as fresh as it can be while the store does not answer.
func (r *Relayer) IsCurrent() bool {
	for _, c := range r.caches {
		if !c.isCurrent(r.cfg.MaxAge) {
			return false
		}
	}
	return true
}

// CallName returns the name of the call that Handle answers.
func CallName() string {
	return callPoll
}

// mustAnswerNow reports whether a poll is answered without a wait: there is a change for
// the peer, or the state here is stale and the peer should ask another source.
func (r *Relayer) mustAnswerNow(in *pollRequest) bool {
	if in.CutOff != r.isCutOff.Load() {
		return true
	}
	for _, c := range r.caches {
		if c.hasNewerThan(in.Revisions[c.name()]) || c.isOutdatedFor(in.Revisions[c.name()]) || !c.isFresh(r.cfg.MaxAge) {
			return true
		}
	}
	return false
}

func (r *Relayer) answer(in *pollRequest, received time.Duration) (any, error) {
	r.publishObservations()
	out := pollResponse{Held: r.cfg.Clock() - received, CutOff: r.isCutOff.Load()}
	out.Observations, out.LastBatch = r.recent.since(in.LastBatch, in.From, in.Zone, r.self.Zone)
	for _, c := range r.caches {
		if _, known := c.Revision(); !known {
			continue
		}
		u, err := c.updateSince(in.Revisions[c.name()])
		if err != nil {
			return nil, err
		}
		out.Updates = append(out.Updates, u)
	}
	return &out, nil
}
