package detector

import "testing"

// caught holds, for each of some rules, the smallest schedule by which the model check
// finds that the rule is turned off, or broken by work of the plan (longWork). The first
// version of the state machine lacked the rules that noDrift, noKnown and noRecords turn off.
var caught = []struct {
	name string
	plan plan
}{
	{"noFence", plan{
		seed: 1, size: 4, atStart: 4, upstreams: 3, load: 80, gossip: 40, listLag: 17, fastClocks: 2, relay: true, faults: noFence,
		events: []event{{27, stall, 2}},
	}},
	{"noDrain", plan{
		seed: 2, size: 3, atStart: 1, upstreams: 2, loss: 30, load: 80, listLag: 6, fastClocks: 2, faults: noDrain,
		events: []event{{29, start, 1}},
	}},
	{"noShare", plan{
		seed: 0, size: 3, atStart: 3, upstreams: 2, load: 80, gossip: 5, listLag: 6, fastClocks: 3, faults: noShare,
		events: []event{{36, cut, 4}},
	}},
}

// TestCaught checks that each schedule violates the invariant while the rule is turned
// off, and not otherwise.
func TestCaught(t *testing.T) {
	for _, c := range caught {
		t.Run(c.name, func(t *testing.T) {
			if c.plan.run() == "" {
				t.Error("the model check finds no violation")
			}
			c.plan.faults, c.plan.longWork = 0, false
			if got := c.plan.run(); got != "" {
				t.Errorf("violation with all rules on: %s", got)
			}
		})
	}
}

// TestRedundant checks that the random schedules violate no invariant while one of these
// rules is turned off. They keep terms and the records of missing members stable; other
// rules ensure the invariant.
func TestRedundant(t *testing.T) {
	for name, f := range map[string]faults{
		"noReports": noReports, "noExpiry": noExpiry, "noPause": noPause, "oldTerm": oldTerm, "noKnown": noKnown,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(redundantSeeds) {
				for size := 2; size <= 4; size++ {
					p := randomPlan(seed, size)
					p.faults = f
					assertPlan(t, p)
				}
			}
		})
	}
}
