package main_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// abuseKinds are the crowds of the soak, by the listener that they meet.
var abuseKinds = map[string][]client{
	"callers": {
		largeHead, endlessHead, emptyLines, wholeBody, pieceBody, largeChunks, smallChunks, silent, manyHeaders, endlessExtensions,
		endlessTrailer, expectation, halfClosed, refusedEarly, unreadAnswers, endlessRequests,
	},
	"checks": {endlessHead, wholeBody, silent, unreadMetrics},
	"peers":  {endlessMessage, fullFrames, silent},
}

// Size of the soak of abusive clients.
const (
	abuseSoakDaemons = 2
	// abuseSoakLarge is the number of daemons of the runs whose seed is a multiple of abuseSoakLargeSeed.
	abuseSoakLarge, abuseSoakLargeSeed = 12, 5
	// abuseSoakCallers is the number of ordinary callers of each daemon. They use their connections for as long as these last.
	abuseSoakCallers = 4
	abuseSoakPause   = 300 * time.Millisecond
	abuseSoakCrowd   = 200
)

// abuseSoak is a run of the soak.
type abuseSoak struct {
	t       *testing.T
	first   *entrySite
	daemons []*abusedDaemon
	random  *rand.Rand
	work    sync.WaitGroup
	version int

	mu sync.Mutex
	// refused holds the IDs of the requests that were refused with the promise that they have not run, served counts answers.
	refused map[string]int
	served  int
}

// abusedDaemon is a daemon that the soak stops and starts.
type abusedDaemon struct {
	site *entrySite
	// stopping is held from the signal that ends the process until the next one answers.
	stopping sync.Mutex
	mu       sync.Mutex
	// process runs, or starts; ending was signaled last to end.
	process, ending *process
}

func (d *abusedDaemon) current() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// TestAbusiveClientsSoak runs crowds of all kinds at all listeners of several daemons, from a seed, while the daemons are stopped,
// killed and told to reload, desired states follow each other and the store is out, several of them at a time. No process may end
// by itself or exceed its limits, no refusal may be untrue, and all daemons must serve at the end.
func TestAbusiveClientsSoak(t *testing.T) {
	n := abuseSoakDaemons
	if *soakSeed%abuseSoakLargeSeed == 0 {
		n = abuseSoakLarge
	}
	k := &abuseSoak{t: t, first: newEntrySite(t), random: rand.New(rand.NewPCG(*soakSeed, 0)), version: 1, refused: make(map[string]int)}
	program := buildProgram(t)
	k.first.declareLimits(1, abuseLimits)
	for i := range n {
		s := k.first
		if i > 0 {
			s = k.first.beside(fmt.Sprintf("d%d", i+1))
		}
		s.settingsText += lowMachine.settings()
		if err := os.WriteFile(s.settings, []byte(s.settingsText), 0o600); err != nil {
			t.Fatal(err)
		}
		d := &abusedDaemon{site: s}
		k.start(d, program)
		k.daemons = append(k.daemons, d)
	}
	ctx, cancel := context.WithTimeout(t.Context(), *soakDuration)
	defer cancel()
	for _, d := range k.daemons {
		for range abuseSoakCallers {
			k.work.Go(func() { k.call(ctx, d) })
		}
		k.work.Go(func() { k.watch(ctx, d) })
	}
	for ctx.Err() == nil {
		k.disturb(ctx, program)
		time.Sleep(time.Duration(k.random.Int64N(int64(abuseSoakPause))))
	}
	k.work.Wait()
	k.first.store.SetDown(false)
	for _, d := range k.daemons {
		d.site.eventually("serving after the soak", abuseRecovery, func() bool { return d.site.serves(t.Context()) })
	}
	k.checkRefusals()
}

// start starts the process of a daemon and waits until it answers.
func (k *abuseSoak) start(d *abusedDaemon, program string) {
	p := startProcess(k.t, "entry", program, "entry", "--settings", d.site.settings)
	d.mu.Lock()
	d.process, d.site.daemon = p, p
	d.mu.Unlock()
	d.site.eventually("ready", stopTimeout, func() bool { return d.site.readyStatus() == http.StatusOK })
}

// call sends ordinary requests over connections that are kept.
func (k *abuseSoak) call(ctx context.Context, d *abusedDaemon) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: abuseRecovery}
	for ; ctx.Err() == nil; time.Sleep(crowdPause) {
		a := d.site.send(client, http.MethodPost, "/p/1")
		k.mu.Lock()
		switch a.status {
		case http.StatusOK:
			k.served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			k.refused[a.id] = a.status
		}
		k.mu.Unlock()
	}
}

// watch checks a daemon's use of memory and descriptors.
func (k *abuseSoak) watch(ctx context.Context, d *abusedDaemon) {
	crowds := []crowd{{addr: d.site.callerAddr}, {addr: d.site.checkAddr}, {addr: d.site.peerAddr()}}
	for ; ctx.Err() == nil; time.Sleep(2 * crowdPause) {
		rss, fds := d.current().resources()
		if held := rss + unread(k.t, crowds); held > lowMachine.memoryMB<<20 || fds > lowMachine.descriptors {
			k.t.Errorf("%s holds %.1f MB and %d descriptors, want at most %d and %d", d.site.settings, float64(held)/(1<<20), fds, lowMachine.memoryMB, lowMachine.descriptors)
		}
	}
}

// disturb starts one disturbance, which may overlap with earlier ones.
func (k *abuseSoak) disturb(ctx context.Context, program string) {
	d := k.daemons[k.random.IntN(len(k.daemons))]
	kinds := slices.Sorted(maps.Keys(abuseKinds))
	listener := kinds[k.random.IntN(len(kinds))]
	do := abuseKinds[listener][k.random.IntN(len(abuseKinds[listener]))]
	size := 1 + k.random.IntN(abuseSoakCrowd)
	length := time.Duration(k.random.Int64N(int64(crowdTime)))
	switch choice := k.random.IntN(20); {
	case choice < 12:
		addr := map[string]string{"callers": d.site.callerAddr, "checks": d.site.checkAddr, "peers": d.site.peerAddr()}[listener]
		crowdCtx, cancel := context.WithTimeout(ctx, length)
		context.AfterFunc(crowdCtx, cancel)
		for i := range size {
			k.work.Go(func() {
				for ; crowdCtx.Err() == nil; time.Sleep(crowdPause) {
					runClient(crowdCtx, addr, i, do)
				}
			})
		}
	case choice < 14:
		// The signal may come while the process stops or is gone.
		_ = d.current().cmd.Process.Signal(syscall.SIGHUP)
	case choice < 16:
		sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[k.random.IntN(2)]
		k.work.Go(func() { k.restart(d, sig, program) })
	case choice < 18:
		for range 1 + k.random.IntN(3) {
			k.version++
			k.first.declareLimits(k.version, abuseLimits)
		}
	case choice < 19:
		k.first.store.SetDown(true)
		k.work.Go(func() {
			time.Sleep(length)
			k.first.store.SetDown(false)
		})
	default:
		k.first.store.Compact()
	}
}

// restart ends the process of a daemon and starts the next one.
func (k *abuseSoak) restart(d *abusedDaemon, sig syscall.Signal, program string) {
	if !d.stopping.TryLock() {
		// A second signal to a process that stops already.
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ending != nil {
			_ = d.ending.cmd.Process.Signal(syscall.SIGTERM)
		}
		return
	}
	defer d.stopping.Unlock()
	p := d.current()
	d.mu.Lock()
	d.ending = p
	d.mu.Unlock()
	if p.hasEnded() {
		k.t.Errorf("%s has ended by itself: %v", d.site.settings, p.cmd.ProcessState)
	}
	p.signal(k.t, sig)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		k.t.Errorf("%s still runs %s after %s", d.site.settings, stopTimeout, sig)
		p.kill()
	}
	if code := p.cmd.ProcessState.ExitCode(); sig == syscall.SIGTERM && code != 0 {
		k.t.Errorf("%s ended with %v, want exit code 0 after a planned stop", d.site.settings, p.cmd.ProcessState)
	}
	// The store may be out, without which a new process is not ready.
	k.first.store.SetDown(false)
	k.start(d, program)
}

// checkRefusals checks that no request ran that was refused with the promise that it has not.
func (k *abuseSoak) checkRefusals() {
	for name, p := range k.first.searchers {
		for id, n := range p.Runs() {
			if status, ok := k.refused[id]; ok {
				k.t.Errorf("request %s was refused with %d and ran %d times at %s", id, status, n, name)
			}
		}
	}
	k.t.Logf("%d requests served, %d refused", k.served, len(k.refused))
	if k.served == 0 {
		k.t.Error("no ordinary request was answered")
	}
}

// beside returns a site of a further daemon with the same store and searchers.
func (s *entrySite) beside(id string) *entrySite {
	ports := freePorts(s.t, "127.0.0.1", 3)
	o := &entrySite{t: s.t, store: s.store, searchers: s.searchers, searcherURLs: s.searcherURLs, idPrefix: id}
	o.callerAddr, o.checkAddr = "127.0.0.1:"+ports[0], "127.0.0.1:"+ports[1]
	o.settings = filepath.Join(s.t.TempDir(), id+".ini")
	o.settingsText = strings.NewReplacer("id = d1\n", "id = "+id+"\n", s.callerAddr, o.callerAddr, s.checkAddr, o.checkAddr,
		s.peerAddr(), "127.0.0.1:"+ports[2]).Replace(strings.TrimSuffix(s.settingsText, lowMachine.settings()))
	return o
}
