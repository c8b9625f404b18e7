package main_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/standin/searcher"
	"cornelwood.example/platform"
)

const (
	rolloutLimit   = 12 * time.Second
	rolloutDaemons = 3
	rolloutClients = 6
	// rolloutPause is the pause of a client between two requests: about 100 requests a second in all.
	rolloutPause = 50 * time.Millisecond
	// rolloutShare and rolloutSlack are the limits of the version under test, and rolloutBound the time after its rolloutBad-th
	// bad answer from which it must get no request. At this rate a bad version must not get that far.
	rolloutShare = 0.1
	rolloutSlack = 50
	rolloutBound = 5 * time.Second
	rolloutBad   = 50
)

// rolloutSite is a site of several daemons with a service "a" of two searchers of version v1, and two of v2 that start later.
type rolloutSite struct {
	*entrySite
	daemons []*process
	members []declarer.Member
	callers []string
	// paths holds those of the clients' requests.
	paths   []string
	ordered time.Time
}

// withRollout starts the site and its clients, and gives the order to roll v2 out. The clients stop with the test.
func withRollout(t *testing.T, paths ...string) *rolloutSite {
	t.Helper()
	s := &rolloutSite{entrySite: newEntrySite(t), paths: paths}
	for name := range s.searchers {
		s.registerVersion(name, "v1")
	}
	dir := t.TempDir()
	_, common, _ := strings.Cut(s.settingsText, "[store]")
	free := freePorts(t, "127.0.0.1", 3*rolloutDaemons)
	for i := range rolloutDaemons {
		ports := free[3*i : 3*i+3]
		id := fmt.Sprintf("d%d", i)
		text := fmt.Sprintf("[daemon]\nid = %s\nzone = z\nregion = r\n[log]\njson = true\n[caller]\nlisten = 127.0.0.1:%s\nchecks = 127.0.0.1:%s\npeers = 127.0.0.1:%s\n[store]%s"+
			"[rollout]\nshare = %g\nslack = %d\nrollback = %s\n", id, ports[0], ports[1], ports[2], common, rolloutShare, rolloutSlack, rolloutBound)
		file := filepath.Join(dir, id+".ini")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d := startProcess(t, id, "cornelwood", "entry", "--settings", file)
		go d.keepLines()
		s.daemons = append(s.daemons, d)
		s.members = append(s.members, declarer.Member{ID: id, Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:" + ports[2])})
		s.callers = append(s.callers, "127.0.0.1:"+ports[0])
		s.checkAddr = "127.0.0.1:" + ports[1]
		s.eventually("ready", entryTimeout, func() bool { return s.readyStatus() == http.StatusOK })
	}
	s.runClients()
	time.Sleep(500 * time.Millisecond)
	s.ordered = time.Now()
	s.order("a")
	return s
}

// order gives the order to roll v2 of a service out.
func (s *rolloutSite) order(service string) {
	s.store.Set(platform.KindRollouts, service, platform.EncodeRollout(service, "v2", rolloutLimit))
}

// keepLines adds the process's output to its log until it ends, so that the process can go on writing.
func (p *process) keepLines() {
	for {
		select {
		case line := <-p.lines:
			p.mu.Lock()
			p.log.WriteString(line + "\n")
			p.mu.Unlock()
		case <-p.done:
			return
		}
	}
}

// startVersion starts the searchers of a service's new version, of which a share of the answers are failures.
func (s *rolloutSite) startVersion(service string, failing float64) {
	for _, name := range []string{service + "3", service + "4"} {
		p := searcher.NewStub(name, searchDelay)
		p.SetFailing(failing)
		s.searchers[name] = p
		s.searcherURLs[name] = s.serve(p)
		s.registerVersion(name, "v2")
	}
}

func (s *rolloutSite) registerVersion(name, version string) {
	addr := strings.TrimPrefix(s.searcherURLs[name], "http://")
	s.store.Set(platform.KindServers, name, platform.EncodeSearcherVersion(name[:1], addr, "z", 3, version))
}

func (s *rolloutSite) runClients() {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	s.t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
	for range rolloutClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int64N(2 * int64(rolloutPause)))):
					// A daemon that was killed refuses connections.
					s.sendTo(client, s.callers[rand.IntN(len(s.callers))], s.paths[rand.IntN(len(s.paths))])
				}
			}
		})
	}
}

func (s *rolloutSite) sendTo(client *http.Client, addr, path string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil) //nolint:noctx // the client has a timeout
	if err != nil {
		s.t.Error(err)
		return
	}
	r.Host = entryHost
	platform.WriteRequestHeaders(r.Header, fmt.Sprintf("r%d", s.requestCount.Add(1)), 2*time.Second)
	if resp, err := client.Do(r); err == nil {
		resp.Body.Close()
	}
}

// await waits until the status of the order is as wanted and returns when.
func (s *rolloutSite) await(service, what string, ok func(r *declarer.Rollout) bool) time.Time {
	s.t.Helper()
	for end := s.ordered.Add(rolloutLimit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		ob, exists := s.store.Get(platform.KindRollouts, service)
		if !exists {
			continue
		}
		r, err := platform.ReadRollout(&ob)
		if err != nil {
			s.t.Fatal(err)
		}
		if ok(&r) {
			s.t.Logf("%s %s after %s: %s", service, what, time.Since(s.ordered), r.Reason)
			return time.Now()
		}
	}
	s.t.Fatalf("%s not %s within %s of the order", service, what, rolloutLimit)
	return time.Time{}
}

// starts returns how many requests started to run at searchers from the order until a time.
func (s *rolloutSite) starts(until time.Time, names ...string) int {
	n := 0
	for _, name := range names {
		for _, at := range s.searchers[name].Starts() {
			if at.After(s.ordered) && at.Before(until) {
				n++
			}
		}
	}
	return n
}

// assertShare checks that the new version got its share, and no more, until the decision. Each daemon may be one request ahead:
// the share counts over the whole time limit.
func (s *rolloutSite) assertShare(decided time.Time) {
	s.t.Helper()
	got, all := s.starts(decided, "a3", "a4"), s.starts(decided, "a1", "a2", "a3", "a4")
	s.t.Logf("the new version got %d of %d requests before the decision", got, all)
	if got == 0 || float64(got) > rolloutShare*float64(all)+rolloutDaemons {
		s.t.Errorf("the new version got %d of %d requests before the decision, want some and at most a share of %g", got, all, rolloutShare)
	}
}

// completeInTime waits for a good version to be completed. The old searchers stop then: none of them may have requests in
// flight or get one afterwards.
func (s *rolloutSite) completeInTime() {
	s.t.Helper()
	moved := s.await("a", "moving", func(r *declarer.Rollout) bool { return r.Moving })
	s.assertShare(moved)
	done := s.await("a", "completed", func(r *declarer.Rollout) bool { return r.State == declarer.RolloutCompleted })
	inFlight := s.searchers["a1"].InFlight() + s.searchers["a2"].InFlight()
	time.Sleep(1500 * time.Millisecond)
	if n := s.starts(time.Now(), "a1", "a2") - s.starts(done, "a1", "a2"); n+inFlight > 0 {
		s.t.Errorf("%d requests in flight at the old searchers when completed, %d sent to them afterwards", inFlight, n)
	}
	if s.starts(time.Now(), "a3", "a4") <= s.starts(done, "a3", "a4") {
		s.t.Error("the new searchers get no requests after the end")
	}
}

// TestEntryRollout covers roll-outs with several daemons. A version got more than its share, a bad one went on getting requests,
// and old searchers were stopped while they had requests, without the daemons' counts in one place.
func TestEntryRollout(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		t.Parallel()
		s := withRollout(t, "/p/1")
		s.startVersion("a", 0)
		s.completeInTime()
	})
	t.Run("bad", func(t *testing.T) {
		t.Parallel()
		s := withRollout(t, "/p/1")
		s.startVersion("a", 0.5)
		done := s.await("a", "rolled back", func(r *declarer.Rollout) bool { return r.State == declarer.RolloutRolledBack })
		s.assertShare(done)
		s.assertStopped(done)
	})
	t.Run("bad later", func(t *testing.T) {
		t.Parallel()
		s := withRollout(t, "/p/1")
		s.startVersion("a", 0)
		time.Sleep(time.Until(s.ordered.Add(5 * time.Second)))
		s.searchers["a3"].SetFailing(0.6)
		s.searchers["a4"].SetFailing(0.6)
		done := s.await("a", "rolled back", func(r *declarer.Rollout) bool { return r.State == declarer.RolloutRolledBack })
		s.assertShare(done)
		s.assertStopped(done)
	})
	t.Run("the deciding daemon is killed", func(t *testing.T) {
		t.Parallel()
		s := withRollout(t, "/p/1")
		s.startVersion("a", 0)
		time.Sleep(4 * time.Second)
		s.deciding().kill()
		s.completeInTime()
	})
	t.Run("the store is away", func(t *testing.T) {
		t.Parallel()
		s := withRollout(t, "/p/1")
		s.startVersion("a", 0)
		time.Sleep(2 * time.Second)
		s.store.SetDown(true)
		time.Sleep(4 * time.Second)
		if n, all := s.starts(time.Now(), "a3", "a4"), s.starts(time.Now(), "a1", "a2", "a3", "a4"); float64(n) > rolloutShare*float64(all)+rolloutDaemons {
			t.Errorf("the version got %d of %d requests while the store was away", n, all)
		}
		s.store.SetDown(false)
		s.completeInTime()
	})
}

// TestEntryRolloutFrozenDecider guards against a roll-out that a daemon which stands still keeps from being completed in time.
func TestEntryRolloutFrozenDecider(t *testing.T) {
	s := withRollout(t, "/p/1")
	s.startVersion("a", 0)
	time.Sleep(4 * time.Second)
	d := s.deciding()
	d.signal(t, syscall.SIGSTOP)
	time.AfterFunc(3*time.Second, func() { d.signal(t, syscall.SIGCONT) })
	s.completeInTime()
}

// TestEntryWithoutRollouts covers a daemon whose settings allow no roll-outs. It must not read the orders: calls to the store
// cost money.
func TestEntryWithoutRollouts(t *testing.T) {
	s := withEntry(t)
	s.store.Set(platform.KindRollouts, "a", platform.EncodeRollout("a", "", rolloutLimit))
	s.assertStatus(s.send(&http.Client{}, http.MethodPost, "/p/1"), http.StatusOK)
	if _, text := s.getPage("/metrics"); !strings.Contains(text, "list servers") || strings.Contains(text, "rollout") {
		t.Errorf("metrics name roll-outs, or no call to the store:\n%.3000s", text)
	}
}

// TestEntryRolloutOfShards covers two roll-outs at once, of services that are shards of queries which few daemons gather. The
// daemons that gather sent the version under test as much as the others.
func TestEntryRolloutOfShards(t *testing.T) {
	s := withRollout(t, "/q/1")
	s.store.Set(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":2,"routes":[
		{"name":"q","host":%q,"path_prefix":"/q/","kind":"idempotent","timeout_ms":2000,"goal_ms":200,"attempts":2,"gather":["a","b"],"top_k":5,"min_shard_ratio":0.5}],
		"services":[{"name":"a","max_conns":4},{"name":"b","max_conns":4}]}`, entryHost)))
	s.order("b")
	s.startVersion("a", 0)
	s.startVersion("b", 0.5)
	done := s.await("b", "rolled back", func(r *declarer.Rollout) bool { return r.State == declarer.RolloutRolledBack })
	s.completeInTime()
	const noticeTime = time.Second
	if n := s.starts(time.Now(), "b3", "b4") - s.starts(done.Add(noticeTime), "b3", "b4"); n > 0 {
		t.Errorf("the bad version got %d requests more than %s after it was rolled back", n, noticeTime)
	}
}

// deciding returns the daemon that is ranked first.
func (s *rolloutSite) deciding() *process {
	first := relayer.Ranked(s.members)[0].ID
	return s.daemons[slices.IndexFunc(s.daemons, func(d *process) bool { return d.name == first })]
}

// assertStopped checks that the new version gets no requests once it was rolled back, and that this was in time.
func (s *rolloutSite) assertStopped(done time.Time) {
	s.t.Helper()
	const noticeTime = time.Second
	time.Sleep(noticeTime + 1500*time.Millisecond)
	if n := s.starts(time.Now(), "a3", "a4") - s.starts(done.Add(noticeTime), "a3", "a4"); n > 0 {
		s.t.Errorf("the version got %d requests more than %s after it was rolled back", n, noticeTime)
	}
	var failures []time.Time
	for _, name := range []string{"a3", "a4"} {
		failures = append(failures, s.searchers[name].Failures()...)
	}
	s.t.Logf("%d bad answers", len(failures))
	if len(failures) > rolloutBad {
		s.t.Errorf("%d bad answers, want at most %d", len(failures), rolloutBad)
	}
	if s.starts(time.Now(), "a1", "a2") <= s.starts(done, "a1", "a2") {
		s.t.Error("the old searchers get no requests after the rollback")
	}
}
