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

// soakFault is one fault at its time, with what was drawn for it.
type soakFault struct {
	name string
	at   time.Duration
	// last is how long it lasts, rnd draws its victims.
	last time.Duration
	rnd  *rand.Rand
}

// soakFaults names all faults.
func (k *entrySoak) soakFaults() map[string]func(f *soakFault) {
	return map[string]func(f *soakFault){
		"kill":    func(f *soakFault) { k.kill(f, 1) },
		"herd":    func(f *soakFault) { k.kill(f, len(k.daemons)) },
		"term":    k.term,
		"freeze":  k.freeze,
		"hangup":  k.hangup,
		"version": func(*soakFault) { k.declare() },
		"storm": func(*soakFault) {
			for range 5 {
				k.declare()
				time.Sleep(100 * time.Millisecond)
			}
		},
		"store down": func(f *soakFault) {
			k.shelf.SetDown(true)
			time.Sleep(f.last)
			k.shelf.SetDown(false)
		},
		"store compacts": func(*soakFault) { k.shelf.Compact() },
		"store slow":     func(f *soakFault) { k.stores(f, false, false, 300*time.Millisecond) },
		"store silent":   func(f *soakFault) { k.stores(f, true, true, 0) },
		"store answers lost": func(f *soakFault) {
			k.stores(f, false, true, 0)
		},
		"searchers reset":  func(f *soakFault) { k.links(f, (*proxy).reset) },
		"searchers silent": func(f *soakFault) { k.links(f, (*proxy).silence) },
		"searchers cut":    func(f *soakFault) { k.paths(f, true, true, false, 0) },
		"answers cut":      func(f *soakFault) { k.paths(f, false, true, false, 0) },
		"searchers refuse": func(f *soakFault) { k.paths(f, false, false, true, 0) },
		"searchers far":    func(f *soakFault) { k.paths(f, false, false, false, 80*time.Millisecond) },
		"searchers shed": func(f *soakFault) {
			k.behave(f, func(s *soakSearcher, on bool) { s.SetShedding(on) })
		},
		"searchers slow": func(f *soakFault) {
			k.behave(f, func(s *soakSearcher, on bool) {
				s.SetDelay(searchDelay)
				if on {
					s.SetDelay(20 * searchDelay)
				}
			})
		},
		"entry lost": k.loseEntry,
		"replace":    k.replace,
	}
}

// injectAll draws the faults of the whole run and injects each at its time.
func (k *entrySoak) injectAll(total time.Duration) {
	const meanPause = 350 * time.Millisecond
	kinds := k.soakFaults()
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var plan []*soakFault
	for at := time.Duration(0); at < total; at += time.Duration(k.rnd.ExpFloat64() * float64(meanPause)) {
		plan = append(plan, &soakFault{
			name: names[k.rnd.IntN(len(names))], at: at,
			last: time.Duration(300+k.rnd.IntN(3000)) * time.Millisecond,
			rnd:  rand.New(rand.NewPCG(k.rnd.Uint64(), 8)),
		})
	}
	started := time.Now()
	for _, f := range plan {
		time.Sleep(f.at - time.Since(started))
		k.injected = append(k.injected, fmt.Sprintf("%s at %s", f.name, f.at.Round(time.Millisecond)))
		k.faults.Go(func() { kinds[f.name](f) })
	}
}

// takeDaemon returns a daemon whose process no other fault has, or nil.
func (k *entrySoak) takeDaemon(f *soakFault) *entryDaemon {
	d := k.daemons[f.rnd.IntN(len(k.daemons))]
	if !d.taken.CompareAndSwap(false, true) {
		return nil
	}
	return d
}

func (k *entrySoak) kill(f *soakFault, n int) {
	var victims []*entryDaemon
	for range n {
		if d := k.takeDaemon(f); d != nil {
			d.trouble()
			d.kill()
			victims = append(victims, d)
		}
	}
	time.Sleep(f.last / 3)
	for _, d := range victims {
		k.run(d)
		d.trouble()
		d.taken.Store(false)
	}
}

// term stops a daemon as planned and starts it again.
func (k *entrySoak) term(f *soakFault) {
	d := k.takeDaemon(f)
	if d == nil {
		return
	}
	defer d.taken.Store(false)
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.signal(k.t, syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(soakGrace):
		k.t.Errorf("%s still runs %s after SIGTERM", d.id, soakGrace)
		d.kill()
	}
	// Clients note what they saw of this process before the next one starts.
	time.Sleep(200 * time.Millisecond)
	k.run(d)
}

func (k *entrySoak) freeze(f *soakFault) {
	d := k.takeDaemon(f)
	if d == nil {
		return
	}
	defer d.taken.Store(false)
	d.trouble()
	d.signal(k.t, syscall.SIGSTOP)
	time.Sleep(f.last)
	d.signal(k.t, syscall.SIGCONT)
	d.trouble()
}

// hangup changes a daemon's settings, or makes them faulty, and tells it.
func (k *entrySoak) hangup(f *soakFault) {
	d := k.takeDaemon(f)
	if d == nil {
		return
	}
	defer d.taken.Store(false)
	// Before its runtime has come up, SIGHUP ends any process.
	if !d.answers() {
		return
	}
	good, err := os.ReadFile(d.settings)
	if err != nil {
		k.t.Error(err)
		return
	}
	changed := string(good) + "[extra]\nratio = 0.1\n"
	if f.rnd.IntN(2) == 0 {
		changed = "[daemon]\nid = \n"
	}
	for _, text := range []string{changed, string(good)} {
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			k.t.Error(err)
		}
		d.signal(k.t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
}

// stores changes the way of some daemons to the store for a time.
func (k *entrySoak) stores(f *soakFault, toServer, toClient bool, delay time.Duration) {
	for _, d := range k.daemons {
		if f.rnd.IntN(3) == 0 {
			k.faults.Go(func() { hold(d.store, f.last, toServer, toClient, false, delay) })
		}
	}
}

// hold changes what a proxy does for a time.
func hold(p *proxy, last time.Duration, toServer, toClient, refusing bool, delay time.Duration) {
	p.set(toServer, toClient, refusing, delay)
	if refusing {
		p.reset()
	}
	time.Sleep(last)
	p.set(false, false, false, 0)
}

// some returns about one in three of the live searchers.
func (k *entrySoak) some(f *soakFault) []*soakSearcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for _, of := range k.services {
		names = append(names, of...)
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

func (k *entrySoak) links(f *soakFault, do func(p *proxy)) {
	for _, s := range k.some(f) {
		do(s.proxy)
	}
}

func (k *entrySoak) paths(f *soakFault, toServer, toClient, refusing bool, delay time.Duration) {
	for _, s := range k.some(f) {
		k.faults.Go(func() { hold(s.proxy, f.last, toServer, toClient, refusing, delay) })
	}
}

func (k *entrySoak) behave(f *soakFault, set func(s *soakSearcher, on bool)) {
	victims := k.some(f)
	for _, s := range victims {
		set(s, true)
	}
	time.Sleep(f.last)
	for _, s := range victims {
		set(s, false)
	}
}

// loseEntry takes a searcher's entry out of the store for a time.
func (k *entrySoak) loseEntry(f *soakFault) {
	if victims := k.some(f); len(victims) > 0 {
		s := victims[0]
		k.register(s, true)
		time.Sleep(f.last / 2)
		k.register(s, false)
	}
}

func (k *entrySoak) register(s *soakSearcher, gone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.nameOf(s)
	if !slices.Contains(k.services[s.service], name) {
		// It was replaced meanwhile.
		return
	}
	if gone {
		k.shelf.Delete(platform.KindServers, name)
		return
	}
	k.shelf.Set(platform.KindServers, name, platform.EncodeSearcher(s.service, s.proxy.addr(), s.zone, 3, false))
}

// nameOf returns a searcher's name; k.mu is held.
func (k *entrySoak) nameOf(s *soakSearcher) string {
	for name, other := range k.searchers {
		if other == s {
			return name
		}
	}
	return ""
}

// replace drains a searcher; when it may be gone, its address goes to one of
// another service, and a new one takes its place.
func (k *entrySoak) replace(f *soakFault) {
	victims := k.some(f)
	if len(victims) == 0 {
		return
	}
	s := victims[0]
	if !k.retire(s) {
		return
	}
	k.addSearcher(s.service, s.zone, nil)
	time.Sleep(soakDrain + f.last/3)
	k.mu.Lock()
	k.shelf.Delete(platform.KindServers, k.nameOf(s))
	k.mu.Unlock()
	other := "one"
	if s.service == other {
		other = "s0"
	}
	k.addSearcher(other, s.zone, s.proxy)
}

// retire marks a searcher as draining, unless it is already.
func (k *entrySoak) retire(s *soakSearcher) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := k.nameOf(s)
	i := slices.Index(k.services[s.service], name)
	if i < 0 {
		return false
	}
	k.services[s.service] = slices.Delete(k.services[s.service], i, i+1)
	k.shelf.Set(platform.KindServers, name, platform.EncodeSearcher(s.service, s.proxy.addr(), s.zone, 3, true))
	s.outAt = time.Now()
	return true
}

// assertCalm checks the promises that hold for daemons in touch, once no fault has
// been for a while.
func (k *entrySoak) assertCalm() {
	time.Sleep(soakSettle)
	for _, d := range k.daemons {
		k.eventually("ready: "+d.id, soakGrace, d.isReady)
	}
	k.mu.Lock()
	calmFrom := len(k.asked)
	drained := k.searchers[k.services["one"][0]]
	k.mu.Unlock()
	k.retire(drained)
	k.declare()
	k.assertInForce()
	time.Sleep(time.Until(drained.outAt.Add(soakDrain + time.Second)))
	if late := drained.LastRun().Sub(drained.outAt); late > soakDrain {
		k.t.Errorf("a draining searcher got work %s after the store's word, want none after %s", late, soakDrain)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	got := make(map[string]int)
	for _, a := range k.asked[calmFrom:] {
		if a.cut || a.status != http.StatusOK && !strings.HasPrefix(a.faulty, "version") && a.status != http.StatusNotFound {
			got[fmt.Sprintf("status %d, cut %v", a.status, a.cut)]++
		}
	}
	if diff := cmp.Diff(map[string]int{}, got); diff != "" {
		k.t.Errorf("requests not served in calm times (-want +got):\n%s", diff)
	}
}

// assertInForce checks that the newest version is in force everywhere in time.
func (k *entrySoak) assertInForce() {
	k.mu.Lock()
	version, at := k.version, k.declaredAt[k.version]
	k.mu.Unlock()
	for _, d := range k.daemons {
		k.eventually(fmt.Sprintf("in force: version %d at %s", version, d.id), time.Until(at.Add(soakApply)), func() bool {
			r, err := http.NewRequestWithContext(k.t.Context(), http.MethodGet, fmt.Sprintf("http://%s/v%d/x", d.callers, version), http.NoBody)
			if err != nil {
				return false
			}
			r.Host = entryHost
			platform.WriteRequestHeaders(r.Header, fmt.Sprintf("r%d", k.sent.Add(1)), soakTimeout)
			resp, err := httpClient.Do(r)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// assertPromises checks what clients saw of every request against what the
// searchers ran.
func (k *entrySoak) assertPromises() {
	k.mu.Lock()
	defer k.mu.Unlock()
	runs := make(map[string]int)
	for _, s := range k.searchers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	lost, late, slow := 0, 0, 0
	for _, a := range k.asked {
		n := runs[a.id]
		switch {
		case a.faulty != "":
			k.t.Errorf("request %s at %s: status %d: %s", a.id, a.daemon, a.status, a.faulty)
		case a.once && n > 1:
			k.t.Errorf("request %s at %s ran %d times", a.id, a.daemon, n)
		case a.once && n > 0 && isRefusal(a.status):
			k.t.Errorf("request %s at %s was refused with %d and ran", a.id, a.daemon, a.status)
		case a.cut && a.planned && n > 0:
			lost++
		}
		if a.late {
			late++
		}
		if a.slow {
			slow++
		}
	}
	if lost > soakLost {
		k.t.Errorf("%d requests cut around planned work, want at most %d", lost, soakLost)
	}
	if 2*late > slow {
		k.t.Errorf("%d of %d requests past their route's time unanswered %s later, want at most half", late, slow, soakLate)
	}
}

// isRefusal reports whether a status promises that a request has not run.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
