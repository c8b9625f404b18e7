package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/platform"
)

const (
	// restoreOutage is how long the store is away while it is restored, and rewriteDelay the time until what was written since
	// the copy has been written again.
	restoreOutage = 300 * time.Millisecond
	rewriteDelay  = 1500 * time.Millisecond
	// restoreTestTime is how long requests run on after a restore: past the time for which anything is kept or held.
	restoreTestTime = 5 * time.Second
)

// writtenObject is an object that is written again after a restore.
type writtenObject struct {
	kind, name string
	spec       json.RawMessage
}

// TestEntryStoreRestored takes a searcher, a zone and a key out, adds a searcher and a daemon, and then restores the store from a copy
// that is older than all of that, while requests run. Nothing that was taken out may get a request, or be accepted, past its bound;
// everything else is served on; and the daemons follow the store afterwards. In one case the store has as many revisions again before any
// daemon calls it, so that only the era shows the restore.
func TestEntryStoreRestored(t *testing.T) {
	for _, hasCaughtUp := range []bool{false, true} {
		t.Run(fmt.Sprintf("revisions assigned again %t", hasCaughtUp), func(t *testing.T) {
			k := newEntrySoak(t, 1, soakOptions{
				daemons: 6, timeout: soakRouteTimeout, kinds: (*entrySoak).faultKinds,
				settings: fmt.Sprintf("[account]\nstrict = true\nrevoke = %s\n", longRevoke),
			})
			k.declareAccounts(keptKey, withdrawnKey)
			for _, d := range k.daemons {
				k.eventually("accounts known: "+d.id, entryApplyLimit, func() bool {
					return k.sendAs(d, withdrawnKey, "/q/1").status == http.StatusOK && k.sendAs(d, "", "/q/1").status == http.StatusUnauthorized
				})
			}
			backup := k.store.Copy()
			withdrawnAt, drained, added := k.changeAfterCopy()
			time.Sleep(soakDrainLimit)

			written := k.writtenObjects(drained, added)
			end := time.Now().Add(restoreOutage + restoreTestTime)
			var group sync.WaitGroup
			for _, d := range k.daemons {
				group.Go(func() { k.assertNotUsed(withdrawnAt, entryApplyLimit, k.sendUntil(end, d, withdrawnKey, "/q/1")) })
				group.Go(func() { k.assertServed(k.sendUntil(end, d, keptKey, "/q/1")) })
				group.Go(func() { k.assertServed(k.sendUntil(end, d, "", "/p/1")) })
			}
			restoredAt := k.restoreStore(backup, hasCaughtUp)
			time.Sleep(time.Until(restoredAt.Add(rewriteDelay)))
			if !added.LastRun().After(restoredAt) {
				t.Errorf("a searcher that the copy lacks got no request, the last one %s before", restoredAt.Sub(added.LastRun()))
				k.logLinesOf(added)
			}
			for _, o := range written {
				k.store.Set(o.kind, o.name, o.spec)
			}
			k.eventually("registered again", time.Until(restoredAt.Add(entryApplyLimit)), func() bool {
				objects, _ := k.store.List(platform.KindDaemons)
				return len(objects) == len(k.daemons)
			})
			group.Wait()
			k.assertTakenOut(drained)

			k.declareVersion()
			for _, d := range k.daemons {
				k.eventually("new version in force: "+d.id, entryApplyLimit, func() bool {
					return k.sendAs(d, keptKey, fmt.Sprintf("/v%d/x", k.latestVersion)).status == http.StatusOK
				})
			}
			k.store.Delete(platform.KindEvacuations, "c")
			k.eventually("zone brought back", entryApplyLimit, func() bool {
				k.sendAs(k.daemons[2], keptKey, "/q/1")
				return k.lastRunIn("c").After(time.Now().Add(-time.Second))
			})
			k.assertKeysSecret()
		})
	}
}

// changeAfterCopy makes the changes that the copy lacks, and returns when the key was withdrawn, the searcher that drains and the
// one that was added.
func (k *entrySoak) changeAfterCopy() (withdrawnAt time.Time, drained, added *soakSearcher) {
	withdrawnAt = k.declareAccounts(keptKey)
	drained = k.firstOf("one")
	k.drainSearcher(drained)
	k.store.Set(platform.KindEvacuations, "c", json.RawMessage(`{}`))
	k.addSearcher("one", "b", nil)
	all := k.allOf("one")
	k.addDaemon("added", "b", k.daemons[0].storeProxy.target)
	d := k.daemons[len(k.daemons)-1]
	k.eventually("ready: "+d.id, startTimeout, d.isReady)
	return withdrawnAt, drained, all[len(all)-1]
}

// writtenObjects returns what the operator and the searchers write again.
func (k *entrySoak) writtenObjects(searchers ...*soakSearcher) []writtenObject {
	objects := []writtenObject{{kind: platform.KindConfig, name: platform.ConfigName}, {kind: platform.KindEvacuations, name: "c"}}
	k.mu.Lock()
	for _, s := range searchers {
		objects = append(objects, writtenObject{kind: platform.KindServers, name: k.nameOf(s)})
	}
	k.mu.Unlock()
	for i := range objects {
		o, ok := k.store.Get(objects[i].kind, objects[i].name)
		if !ok {
			k.t.Fatalf("no object %s %s", objects[i].kind, objects[i].name)
		}
		objects[i].spec = o.Spec
	}
	return objects
}

// restoreStore restores the store from a copy and returns when it answers again. With hasCaughtUp it has by then the revisions of
// before.
func (k *entrySoak) restoreStore(backup *keeper.Copy, hasCaughtUp bool) time.Time {
	lost := k.store.Revision()
	k.store.SetDown(true)
	k.store.Restore(backup)
	for n := 0; hasCaughtUp && k.store.Revision() <= lost+10; n++ {
		k.store.Set("unrelated", fmt.Sprint(n), json.RawMessage(`{}`))
	}
	time.Sleep(restoreOutage)
	k.store.SetDown(false)
	return time.Now()
}

// logLinesOf logs what the daemons have logged of a searcher so far.
func (k *entrySoak) logLinesOf(s *soakSearcher) {
	k.mu.Lock()
	name := k.nameOf(s)
	k.mu.Unlock()
	for _, d := range k.daemons {
		for line := range strings.Lines(d.logText()) {
			if strings.Contains(line, `"searcher":"`+name+`"`) {
				k.t.Logf("%s: %s", d.id, line)
			}
		}
	}
}

// assertServed checks that all requests were served.
func (k *entrySoak) assertServed(all []accountAnswer) {
	got := make(map[int]int)
	for _, a := range all {
		got[a.status]++
	}
	if len(got) != 1 || got[http.StatusOK] == 0 {
		k.t.Errorf("answers by status: %v, want 200 only", got)
	}
}

// assertTakenOut checks that neither the drained searcher nor the zone that is out has got a request past the bound.
func (k *entrySoak) assertTakenOut(drained *soakSearcher) {
	if late := drained.LastRun().Sub(drained.drainingSince); late > soakDrainLimit {
		k.t.Errorf("a searcher got a request %s after it was marked as draining, want none after %s", late, soakDrainLimit)
	}
	if late := k.lastRunIn("c").Sub(drained.drainingSince); late > soakDrainLimit {
		k.t.Errorf("a zone got a request %s after it was taken out, want none after %s", late, soakDrainLimit)
	}
}

// lastRunIn returns the time of the last request at any searcher of a zone.
func (k *entrySoak) lastRunIn(zone string) time.Time {
	var last time.Time
	for _, s := range k.allSearchers() {
		if s.zone == zone && s.LastRun().After(last) {
			last = s.LastRun()
		}
	}
	return last
}

// restoreKinds returns the functions that inject the faults of TestEntrySoakRestores, by name. They are apart from faultKinds, whose
// names decide the faults of every seed.
func (k *entrySoak) restoreKinds() map[string]func(f *soakFault) {
	all := k.faultKinds()
	kinds := map[string]func(f *soakFault){"restore": k.restoreAndRewrite}
	for _, name := range []string{"freeze", "version", "replace", "entry lost", "store slow", "store cuts watches"} {
		kinds[name] = all[name]
	}
	return kinds
}

// TestEntrySoakRestores restores the store again and again from copies some seconds old, among other faults, and checks what
// TestEntrySoak does. Daemons went back to a former desired state, or lost searchers that run.
func TestEntrySoakRestores(t *testing.T) {
	runEntrySoak(t, soakOptions{daemons: *soakDaemons, timeout: soakRouteTimeout, maxAborted: soakMaxAborted, kinds: (*entrySoak).restoreKinds})
}

// restoreAndRewrite restores the store from a copy that is as old as the fault lasts. What the operator and the searchers wrote since is
// written again, unless it has been written anew by then. A restore during another one is left out: what the first lost would stay lost.
func (k *entrySoak) restoreAndRewrite(f *soakFault) {
	if k.isRestoring.Swap(true) {
		return
	}
	defer k.isRestoring.Store(false)
	backup := k.store.Copy()
	time.Sleep(f.duration)
	type key struct{ kind, name string }
	read := func() map[key]string {
		specs := make(map[key]string)
		for _, kind := range []string{platform.KindConfig, platform.KindServers} {
			objects, _ := k.store.List(kind)
			for _, o := range objects {
				specs[key{kind, o.Name}] = string(o.Spec)
			}
		}
		return specs
	}
	// The lock keeps the other faults from writing between the steps.
	k.mu.Lock()
	k.store.SetDown(true)
	lost := read()
	k.store.Restore(backup)
	restored := read()
	k.mu.Unlock()
	time.Sleep(restoreOutage)
	k.store.SetDown(false)
	time.Sleep(rewriteDelay)
	k.mu.Lock()
	defer k.mu.Unlock()
	current := read()
	for id, spec := range lost {
		if current[id] == restored[id] && current[id] != spec {
			k.store.Set(id.kind, id.name, json.RawMessage(spec))
		}
	}
	for id, spec := range restored {
		if _, ok := lost[id]; !ok && current[id] == spec {
			k.store.Delete(id.kind, id.name)
		}
	}
}
