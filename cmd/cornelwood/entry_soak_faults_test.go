package main_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/platform"
)

// soakFault is one planned fault with its random parameters.
type soakFault struct {
	name string
	// at is the time of the fault after the start of the injection.
	at time.Duration
	// duration is how long the fault lasts; some kinds use a fraction of it. rnd draws its targets.
	duration time.Duration
	rnd      *rand.Rand
}

// faultKinds returns the functions that inject each kind of fault, by name. injectAll draws from the sorted names, so
// a changed name can change the faults of every seed.
func (k *entrySoak) faultKinds() map[string]func(f *soakFault) {
	return map[string]func(f *soakFault){
		"kill":    func(f *soakFault) { k.kill(f, 1) },
		"herd":    func(f *soakFault) { k.kill(f, len(k.daemons)) },
		"term":    k.terminate,
		"freeze":  k.freeze,
		"hangup":  k.reloadSettings,
		"version": func(*soakFault) { k.declareVersion() },
		"storm": func(*soakFault) {
			for range 5 {
				k.declareVersion()
				time.Sleep(100 * time.Millisecond)
			}
		},
		"store down": func(f *soakFault) {
			k.store.SetDown(true)
			time.Sleep(f.duration)
			k.store.SetDown(false)
		},
		"store compacts": func(*soakFault) { k.store.Compact() },
		"store cuts watches": func(f *soakFault) {
			const interval = 300 * time.Millisecond
			for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(interval) {
				k.store.CutWatches()
			}
		},
		"store slow":   func(f *soakFault) { k.disturbStorePaths(f, false, false, 300*time.Millisecond) },
		"store silent": func(f *soakFault) { k.disturbStorePaths(f, true, true, 0) },
		"store answers lost": func(f *soakFault) {
			k.disturbStorePaths(f, false, true, 0)
		},
		"searchers reset":  func(f *soakFault) { k.disturbLinks(f, (*proxy).reset) },
		"searchers silent": func(f *soakFault) { k.disturbLinks(f, (*proxy).silence) },
		"searchers cut":    func(f *soakFault) { k.disturbSearcherPaths(f, true, true, false, 0) },
		"answers cut":      func(f *soakFault) { k.disturbSearcherPaths(f, false, true, false, 0) },
		"searchers refuse": func(f *soakFault) { k.disturbSearcherPaths(f, false, false, true, 0) },
		"searchers far":    func(f *soakFault) { k.disturbSearcherPaths(f, false, false, false, 80*time.Millisecond) },
		"searchers shed": func(f *soakFault) {
			k.changeSearchers(f, func(s *soakSearcher, on bool) { s.SetShedding(on) })
		},
		"searchers hold off": func(f *soakFault) {
			k.changeSearchers(f, func(s *soakSearcher, on bool) {
				s.SetHoldOff(f.duration / 2)
				s.SetShedding(on)
			})
		},
		"searchers slow": func(f *soakFault) {
			k.changeSearchers(f, func(s *soakSearcher, on bool) {
				s.SetDelay(searchDelay)
				if on {
					s.SetDelay(20 * searchDelay)
				}
			})
		},
		"entry lost": k.removeEntry,
		"replace":    k.replaceSearcher,
	}
}

// stopKinds returns the functions that inject the faults of TestEntrySoakStops, by name. Two kinds stop daemons.
func (k *entrySoak) stopKinds() map[string]func(f *soakFault) {
	delaySearchers := func(delay time.Duration) func(f *soakFault) {
		return func(f *soakFault) {
			k.changeSearchers(f, func(s *soakSearcher, on bool) {
				s.SetDelay(searchDelay)
				if on {
					s.SetDelay(delay)
				}
			})
		}
	}
	return map[string]func(f *soakFault){
		"term":              k.terminate,
		"term too":          k.terminate,
		"searchers late":    delaySearchers(k.options.timeout / 2),
		"searchers overdue": delaySearchers(2 * k.options.timeout),
	}
}

// outageKinds returns the functions that inject the faults of TestEntrySoakOutages, by name.
func (k *entrySoak) outageKinds() map[string]func(f *soakFault) {
	all := k.faultKinds()
	kinds := map[string]func(f *soakFault){"come and go": k.comeAndGo, "come and go too": k.comeAndGo}
	for _, name := range []string{"kill", "herd", "term", "store down", "store silent", "store answers lost", "store compacts", "entry lost"} {
		kinds[name] = all[name]
	}
	return kinds
}

// comeAndGo adds searchers and removes their entries some time after, without a report that they drain.
func (k *entrySoak) comeAndGo(f *soakFault) {
	const batch = 4
	for range batch {
		name := k.addSearcher("one", "a", nil)
		k.activeFaults.Go(func() {
			time.Sleep(f.duration / 3)
			k.mu.Lock()
			defer k.mu.Unlock()
			s := k.searchers[name]
			if i := slices.Index(k.liveSearchers[s.service], name); i >= 0 && s.drainingSince.IsZero() {
				k.liveSearchers[s.service] = slices.Delete(k.liveSearchers[s.service], i, i+1)
				k.store.Delete(platform.KindServers, name)
				k.departed = append(k.departed, s)
			}
		})
		time.Sleep(f.duration / batch / 2)
	}
}

// injectAll draws the faults of the whole run, and injects each at its time.
func (k *entrySoak) injectAll(total time.Duration) {
	const meanPause = 350 * time.Millisecond
	kinds := k.options.kinds(k)
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var plan []*soakFault
	for at := time.Duration(0); at < total; at += time.Duration(k.rnd.ExpFloat64() * float64(meanPause)) {
		plan = append(plan, &soakFault{
			name: names[k.rnd.IntN(len(names))], at: at,
			duration: time.Duration(300+k.rnd.IntN(3000)) * time.Millisecond,
			rnd:      rand.New(rand.NewPCG(k.rnd.Uint64(), 8)),
		})
	}
	started := time.Now()
	for _, f := range plan {
		time.Sleep(f.at - time.Since(started))
		k.injected = append(k.injected, fmt.Sprintf("%s at %s", f.name, f.at.Round(time.Millisecond)))
		k.activeFaults.Go(func() { kinds[f.name](f) })
	}
}

// claimDaemon draws a daemon and claims it for a fault. It returns nil when another fault has it.
func (k *entrySoak) claimDaemon(f *soakFault) *entryDaemon {
	d := k.daemons[f.rnd.IntN(len(k.daemons))]
	if !d.claimed.CompareAndSwap(false, true) {
		return nil
	}
	return d
}

func (k *entrySoak) kill(f *soakFault, n int) {
	var targets []*entryDaemon
	for range n {
		if d := k.claimDaemon(f); d != nil {
			d.markDisturbed()
			d.kill()
			targets = append(targets, d)
		}
	}
	time.Sleep(f.duration / 3)
	for _, d := range targets {
		k.runDaemon(d)
		d.markDisturbed()
		d.claimed.Store(false)
	}
}

// terminate stops a daemon gracefully and starts it again.
func (k *entrySoak) terminate(f *soakFault) {
	d := k.claimDaemon(f)
	if d == nil {
		return
	}
	defer d.claimed.Store(false)
	d.mu.Lock()
	d.terminating, d.terminatedAt = true, time.Now()
	d.mu.Unlock()
	d.signal(k.t, syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(soakGracePeriod):
		k.t.Errorf("%s still running %s after SIGTERM", d.id, soakGracePeriod)
		d.kill()
	}
	// Clients record what they observed of this process before the next one starts.
	time.Sleep(200 * time.Millisecond)
	k.runDaemon(d)
}

func (k *entrySoak) freeze(f *soakFault) {
	d := k.claimDaemon(f)
	if d == nil {
		return
	}
	defer d.claimed.Store(false)
	// The fault lasts until the process goes on: a request that was sent right after its start saw nothing else.
	d.markDisturbedFor(f.duration)
	d.signal(k.t, syscall.SIGSTOP)
	time.Sleep(f.duration)
	d.signal(k.t, syscall.SIGCONT)
	d.markDisturbed()
}

// reloadSettings makes a daemon reload changed or invalid settings, and then its former ones.
func (k *entrySoak) reloadSettings(f *soakFault) {
	d := k.claimDaemon(f)
	if d == nil {
		return
	}
	defer d.claimed.Store(false)
	// SIGHUP ends a process whose Go runtime has not started yet.
	if !d.responds() {
		return
	}
	original, err := os.ReadFile(d.settings)
	if err != nil {
		k.t.Error(err)
		return
	}
	changed := string(original) + "[extra]\nratio = 0.1\n"
	if f.rnd.IntN(2) == 0 {
		changed = "[daemon]\nid = \n"
	}
	for _, text := range []string{changed, string(original)} {
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			k.t.Error(err)
		}
		d.signal(k.t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
}

// disturbStorePaths configures the proxies between some daemons and the store for a time.
func (k *entrySoak) disturbStorePaths(f *soakFault, holdToServer, holdToClient bool, delay time.Duration) {
	for _, d := range k.daemons {
		if f.rnd.IntN(3) == 0 {
			k.activeFaults.Go(func() { configureFor(d.storeProxy, f.duration, holdToServer, holdToClient, false, delay) })
		}
	}
}

// configureFor configures a proxy for a time, and then ends its faults.
func configureFor(p *proxy, duration time.Duration, holdToServer, holdToClient, refusing bool, delay time.Duration) {
	p.configure(holdToServer, holdToClient, refusing, delay)
	if refusing {
		p.reset()
	}
	time.Sleep(duration)
	p.configure(false, false, false, 0)
}

// pickSearchers returns about one in three of the live searchers.
func (k *entrySoak) pickSearchers(f *soakFault) []*soakSearcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for _, live := range k.liveSearchers {
		names = append(names, live...)
	}
	slices.Sort(names)
	var out []*soakSearcher
	for _, name := range names {
		if f.rnd.IntN(3) == 0 {
			out = append(out, k.searchers[name])
		}
	}
	return out
}

func (k *entrySoak) disturbLinks(f *soakFault, do func(p *proxy)) {
	for _, s := range k.pickSearchers(f) {
		do(s.proxy)
	}
}

func (k *entrySoak) disturbSearcherPaths(f *soakFault, holdToServer, holdToClient, refusing bool, delay time.Duration) {
	for _, s := range k.pickSearchers(f) {
		k.activeFaults.Go(func() { configureFor(s.proxy, f.duration, holdToServer, holdToClient, refusing, delay) })
	}
}

func (k *entrySoak) changeSearchers(f *soakFault, set func(s *soakSearcher, on bool)) {
	targets := k.pickSearchers(f)
	for _, s := range targets {
		set(s, true)
	}
	time.Sleep(f.duration)
	for _, s := range targets {
		set(s, false)
	}
}

// removeEntry removes a searcher's entry from the store for a time.
func (k *entrySoak) removeEntry(f *soakFault) {
	if targets := k.pickSearchers(f); len(targets) > 0 {
		s := targets[0]
		k.setRegistered(s, true)
		time.Sleep(f.duration / 2)
		k.setRegistered(s, false)
	}
}

func (k *entrySoak) setRegistered(s *soakSearcher, removed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.nameOf(s)
	if !slices.Contains(k.liveSearchers[s.service], name) {
		// Another fault has replaced the searcher.
		return
	}
	if removed {
		k.store.Delete(platform.KindServers, name)
		return
	}
	k.store.Set(platform.KindServers, name, platform.EncodeSearcher(s.service, s.proxy.addr(), s.zone, 3, false))
}

// nameOf returns a searcher's name. The caller holds k.mu.
func (k *entrySoak) nameOf(s *soakSearcher) string {
	for name, other := range k.searchers {
		if other == s {
			return name
		}
	}
	return ""
}

// replaceSearcher drains a searcher and adds a new one of its service. Once the drain has ended, it removes the
// searcher and gives its address to a new searcher of another service.
func (k *entrySoak) replaceSearcher(f *soakFault) {
	targets := k.pickSearchers(f)
	if len(targets) == 0 {
		return
	}
	s := targets[0]
	if !k.drainSearcher(s) {
		return
	}
	k.addSearcher(s.service, s.zone, nil)
	time.Sleep(soakDrainLimit + f.duration/3)
	k.mu.Lock()
	k.store.Delete(platform.KindServers, k.nameOf(s))
	k.mu.Unlock()
	other := "one"
	if s.service == other {
		other = "s0"
	}
	k.addSearcher(other, s.zone, s.proxy)
}

// drainSearcher marks a searcher as draining. It returns false when the searcher is already draining.
func (k *entrySoak) drainSearcher(s *soakSearcher) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.nameOf(s)
	i := slices.Index(k.liveSearchers[s.service], name)
	if i < 0 {
		return false
	}
	k.liveSearchers[s.service] = slices.Delete(k.liveSearchers[s.service], i, i+1)
	k.store.Set(platform.KindServers, name, platform.EncodeSearcher(s.service, s.proxy.addr(), s.zone, 3, true))
	s.drainingSince = time.Now()
	return true
}

// assertAfterFaults checks the guarantees for connected daemons, after soakCalmTime without faults.
func (k *entrySoak) assertAfterFaults() {
	time.Sleep(soakCalmTime)
	for _, d := range k.daemons {
		k.eventually("ready: "+d.id, soakGracePeriod, d.isReady)
	}
	calmAt := time.Now()
	k.mu.Lock()
	firstCalm := len(k.requests)
	drained := k.searchers[k.liveSearchers["one"][0]]
	k.mu.Unlock()
	k.drainSearcher(drained)
	k.declareVersion()
	k.assertLatestApplied()
	time.Sleep(time.Until(drained.drainingSince.Add(soakDrainLimit + time.Second)))
	if late := drained.LastRun().Sub(drained.drainingSince); late > soakDrainLimit {
		k.t.Errorf("a searcher got work %s after the store had marked it as draining, want none after %s", late, soakDrainLimit)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.departed {
		if late := s.LastRun().Sub(calmAt); late > 0 {
			k.t.Errorf("searcher %s, whose entry was removed, got work %s after soakCalmTime without faults", k.nameOf(s), late)
		}
	}
	got := make(map[string]int)
	for _, a := range k.requests[firstCalm:] {
		if a.aborted || a.status != http.StatusOK && !strings.HasPrefix(a.violation, "version") && a.status != http.StatusNotFound {
			got[fmt.Sprintf("status %d, aborted %v", a.status, a.aborted)]++
		}
	}
	if diff := cmp.Diff(map[string]int{}, got); diff != "" {
		k.t.Errorf("requests not served after the faults (-want +got):\n%s", diff)
	}
}

// assertLatestApplied checks that the latest version is in force at every daemon within soakApplyLimit.
func (k *entrySoak) assertLatestApplied() {
	k.mu.Lock()
	version, at := k.latestVersion, k.declaredAt[k.latestVersion]
	k.mu.Unlock()
	for _, d := range k.daemons {
		k.eventually(fmt.Sprintf("in force: version %d at %s", version, d.id), time.Until(at.Add(soakApplyLimit)), func() bool {
			r, err := http.NewRequestWithContext(k.t.Context(), http.MethodGet, fmt.Sprintf("http://%s/v%d/x", d.callerAddr, version), http.NoBody)
			if err != nil {
				return false
			}
			r.Host = entryHost
			platform.WriteRequestHeaders(r.Header, fmt.Sprintf("r%d", k.requestCount.Add(1)), k.options.timeout)
			resp, err := httpClient.Do(r)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// assertGuarantees compares what clients observed of every request with what the searchers ran.
func (k *entrySoak) assertGuarantees() {
	k.mu.Lock()
	defer k.mu.Unlock()
	runs := make(map[string]int)
	// serviceRuns holds the runs of each request at each service, and excess the requests that ran more often at one than
	// its route allows.
	serviceRuns := make(map[[2]string]int)
	excess := make(map[string]bool)
	for _, s := range k.searchers {
		for id, n := range s.Runs() {
			runs[id] += n
			key := [2]string{s.service, id}
			if serviceRuns[key] += n; serviceRuns[key] > soakAttempts {
				excess[id] = true
			}
		}
	}
	if len(excess) > soakMaxExcess {
		k.t.Errorf("requests that ran more than %d times at one service, want at most %d of them: %v", soakAttempts, soakMaxExcess, excess)
	}
	aborted, overdue, pastTimeout := 0, 0, 0
	for _, a := range k.requests {
		n := runs[a.id]
		switch {
		case a.violation != "":
			k.t.Errorf("request %s at %s: status %d: %s", a.id, a.daemon, a.status, a.violation)
		case a.nonIdempotent && n > 1:
			k.t.Errorf("request %s at %s ran %d times", a.id, a.daemon, n)
		case a.nonIdempotent && n > 0 && isNotRunStatus(a.status):
			k.t.Errorf("request %s at %s was refused with %d and ran", a.id, a.daemon, a.status)
		case a.aborted && a.inShutdown && (n > 0 || a.waited):
			aborted++
			k.t.Logf("request %s at %s, sent %s after SIGTERM, ended after %s without an answer; it ran %d times", a.id, a.daemon, a.sinceTerm, a.took, n)
		}
		if a.overdue {
			overdue++
			k.t.Logf("request %s at %s, sent %s after SIGTERM and %s after the start, took %s: status %d, aborted %t; it ran %d times",
				a.id, a.daemon, a.sinceTerm, a.sentAt.Sub(k.started), a.took, a.status, a.aborted, n)
		}
		if a.pastTimeout {
			pastTimeout++
		}
	}
	if aborted > k.options.maxAborted {
		k.t.Errorf("%d requests aborted by graceful shutdowns, want at most %d", aborted, k.options.maxAborted)
	}
	if 2*overdue > pastTimeout {
		k.t.Errorf("%d of %d requests past their route's timeout were unanswered %s later, want at most half", overdue, pastTimeout, soakAnswerMargin)
	}
}

// isNotRunStatus reports whether a status says that the request was not run.
func isNotRunStatus(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
