package lender

import (
	"flag"
	"testing"
	"time"
)

// seeds is the number of schedules of TestModel.
var seeds = flag.Int("seeds", 150, "schedules that TestModel explores")

// TestModel explores schedules with faults of all kinds: processes that freeze, end and restart, also all at once, a store
// that is away for some daemons or all, answers of the store that are lost, writes that are applied late, cuts in one or
// both directions, releases, and a lower limit. Two daemons must never grant at once, and the requests of any window must
// stay within the limit and the shares of the tolerance.
func TestModel(t *testing.T) {
	limits := []Limit{
		{Account: "a", Rate: 40, Burst: 40, Version: 1},
		{Account: "a", Rate: 40, Burst: 4, Version: 1},
		{Account: "a", Rate: 0.7, Burst: 0.7, Version: 1},
	}
	granted := 0
	for seed := range uint64(*seeds) {
		p := plan{
			seed: seed, daemons: 2 + int(seed%5), zones: 1 + int(seed%3), steps: 4000, limit: limits[seed%uint64(len(limits))],
			faults: allFaults, perStep: 60,
		}
		if seed%4 != 0 {
			// One kind alone, or two.
			p.faults = []faultKind{faultKind(seed/4) % faultKinds, faultKind(seed/7) % faultKinds}
		}
		s := newSimulation(p)
		s.runAll()
		if s.failure != "" {
			t.Fatalf("seed %d with %d daemons, limit %+v: %s", seed, p.daemons, p.limit, s.failure)
		}
		granted += s.served
	}
	t.Logf("%d requests served in %d schedules", granted, *seeds)
}

// TestModelRecovers injects one fault and checks that the service within the limit goes on: an account at 0.6 of its limit
// must be served again within a time.
func TestModelRecovers(t *testing.T) {
	const faultAt = 1500
	for name, tt := range map[string]struct {
		fault func(s *simulation, lender *simDaemon)
		// within is the time after which nearly all are served again, for the log.
		within time.Duration
		// lost is the largest number of requests that may be refused, of 24 a second.
		lost int
	}{
		"lender killed":        {func(s *simulation, d *simDaemon) { s.kill(d, 1<<20) }, 1500 * time.Millisecond, 24},
		"lender frozen":        {func(s *simulation, d *simDaemon) { d.frozenUntil = s.now + 400 }, 1500 * time.Millisecond, 24},
		"lender stops":         {(*simulation).release, 1500 * time.Millisecond, 24},
		"store away for 6 s":   {func(s *simulation, _ *simDaemon) { s.setStoreAway(600) }, 0, 0},
		"all daemons restart":  {func(s *simulation, _ *simDaemon) { s.killAll(5) }, 3500 * time.Millisecond, 84},
		"successor killed":     {func(s *simulation, _ *simDaemon) { s.kill(s.daemons[1], 1<<20) }, 0, 6},
		"lender cut off":       {func(s *simulation, d *simDaemon) { s.cutOff(d, 500) }, 1500 * time.Millisecond, 40},
		"lender and store off": {func(s *simulation, d *simDaemon) { s.kill(d, 1<<20); s.setStoreAway(300) }, 5 * time.Second, 110},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(plan{seed: 5, daemons: 6, zones: 3, steps: 3000, limit: Limit{Account: "a", Rate: 40, Burst: 40, Version: 1}, perStep: 4})
			for s.now < faultAt {
				s.advance()
			}
			holder := s.stored.Record.Holder.ID
			if holder == "" || s.stored.Record.Successor == nil {
				t.Fatalf("lease %+v, want a holder and a successor", s.stored)
			}
			refusedBefore := s.refused
			tt.fault(s, s.daemons[holder[1]-'0'])
			for s.now < faultAt+int(tt.within/step) {
				s.advance()
			}
			lost := s.refused - refusedBefore
			lateBefore := s.refused
			for s.now < s.steps-1 {
				s.advance()
			}
			late := s.refused - lateBefore
			t.Logf("%d refused within %s of the fault, %d later", lost, tt.within, late)
			if s.failure != "" || lost+late > tt.lost {
				t.Errorf("%d and %d refused, want %d at most; failure %q", lost, late, tt.lost, s.failure)
			}
		})
	}
}

func (s *simulation) setStoreAway(steps int) {
	for _, d := range s.daemons {
		d.storeAway = true
		s.after(steps, func() { d.storeAway = false })
	}
}

func (s *simulation) killAll(steps int) {
	for _, d := range s.daemons {
		s.kill(d, steps)
	}
}

func (s *simulation) cutOff(d *simDaemon, steps int) {
	for _, o := range s.daemons {
		if o != d {
			s.cuts[[2]int{d.i, o.i}], s.cuts[[2]int{o.i, d.i}] = s.now+steps, s.now+steps
		}
	}
}
