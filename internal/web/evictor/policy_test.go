package evictor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// first returns the name of the state that gives way first; empty if none may.
func first(states map[string]State, now time.Time, may func(State, time.Time) bool, before func(a, b State, now time.Time) bool) string {
	found := ""
	for name, s := range states {
		if may(s, now) && (found == "" || before(s, states[found], now)) {
			found = name
		}
	}
	return found
}

// sendingSince returns the state of a connection whose client last took a part of its answer at a time.
func sendingSince(at time.Time) State {
	return State{Phase: Running, Since: at.Add(-time.Minute), Bytes: 1, Sending: 1, SentAt: at}
}

// TestConnectionThatGivesWay guards against closing connections of ordinary clients while those of abusive ones stay, and
// against closing one whose request is complete.
func TestConnectionThatGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	sending := func(age time.Duration) State { return sendingSince(now.Add(-age)) }
	at := func(p Phase, age time.Duration) State { return State{Phase: p, Since: now.Add(-age), Bytes: 1} }
	tests := []struct {
		name   string
		states map[string]State
		want   string
	}{
		{"silent before idle", map[string]State{"silent": at(Unused, time.Second), "idle": at(Idle, 10*time.Second)}, "silent"},
		{"endless head before idle", map[string]State{"head": at(Head, time.Second), "idle": at(Idle, 10*time.Second)}, "head"},
		{"longest without a head", map[string]State{"old": at(Head, 2*time.Second), "new": at(Unused, time.Second)}, "old"},
		{"idle before one that has just connected", map[string]State{"new": at(Unused, 5*time.Millisecond), "idle": at(Idle, time.Second)}, "idle"},
		{"longest idle", map[string]State{"old": at(Idle, 2*time.Second), "new": at(Idle, time.Second)}, "old"},
		{"idle before a slow body", map[string]State{"body": at(Body, time.Minute), "idle": at(Idle, time.Second)}, "idle"},
		{"slow body before a new one", map[string]State{"slow": at(Body, time.Second), "new": at(Unused, time.Millisecond)}, "slow"},
		{"ending first", map[string]State{"ending": at(Ending, time.Millisecond), "silent": at(Unused, time.Minute)}, "ending"},
		{"long stalled before idle", map[string]State{"stalled": sending(stallGrace), "idle": at(Idle, 10*time.Second)}, "stalled"},
		{"idle before stalled", map[string]State{"stalled": sending(grace), "idle": at(Idle, time.Second)}, "idle"},
		{"stalled before a new one", map[string]State{"stalled": sending(grace), "new": at(Unused, time.Millisecond)}, "stalled"},
		{"longest stalled", map[string]State{"old": sending(2 * time.Second), "new": sending(time.Second)}, "old"},
		{"progressing never", map[string]State{"progressing": sending(grace / 2), "running": at(Running, time.Minute)}, ""},
		{"just connected never", map[string]State{"new": at(Unused, grace/2), "head": at(Head, grace/2)}, ""},
		{"running never", map[string]State{"running": at(Running, time.Minute)}, ""},
		{"anything before running", map[string]State{"running": at(Running, time.Minute), "body": at(Body, 0)}, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := first(tt.states, now, func(s State, now time.Time) bool { return MayGiveConn(s, now, Grace(false, Limits{})) },
				func(a, b State, now time.Time) bool { return GivesConn(a, b, now, Grace(false, Limits{})) })
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("gives way (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMemoryThatGivesWay guards against refusing a body that arrives while one that has stopped is kept, and against freeing
// what a request that runs holds.
func TestMemoryThatGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	sending := func(age time.Duration) State { return sendingSince(now.Add(-age)) }
	at := func(p Phase, age time.Duration, n int64) State {
		return State{Phase: p, Since: now.Add(-age), Bytes: n}
	}
	tests := []struct {
		name   string
		states map[string]State
		want   string
	}{
		{"slowest", map[string]State{"stopped": at(Body, time.Second, 10), "arriving": at(Body, time.Millisecond, 1000)}, "stopped"},
		{"endless head", map[string]State{"head": at(Head, time.Second, 10), "body": at(Body, time.Millisecond, 1000)}, "head"},
		{"not one that holds nothing", map[string]State{"empty": at(Body, time.Minute, 0), "body": at(Body, time.Second, 1)}, "body"},
		{"unread answer", map[string]State{"stalled": sending(time.Second), "body": at(Body, time.Millisecond, 10)}, "stalled"},
		{"not an answer that is read", map[string]State{"read": sending(grace / 2)}, ""},
		{"not one that runs", map[string]State{"running": at(Running, time.Minute, 10), "idle": at(Idle, time.Minute, 10)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, first(tt.states, now, MayGiveBytes, GivesBytes)); diff != "" {
				t.Errorf("gives way (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOverdue guards against closing an idle connection before its limit, up to four fifths of which clients use it again.
func TestOverdue(t *testing.T) {
	now := time.Unix(1000, 0)
	l := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	tests := []struct {
		name  string
		phase Phase
		age   time.Duration
		want  string
	}{
		{"reused", Idle, 12 * time.Second, ""},
		{"idle", Idle, 15 * time.Second, "idle timeout"},
		{"unused", Unused, 14 * time.Second, ""},
		{"unused for too long", Unused, 15 * time.Second, "idle timeout"},
		{"head", Head, 2 * time.Second, ""},
		{"endless head", Head, 3 * time.Second, "head timeout"},
		{"running", Running, time.Hour, ""},
		{"body", Body, time.Hour, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := State{Phase: tt.phase, Since: now.Add(-tt.age)}
			if diff := cmp.Diff(tt.want, overdue(s, l, now)); diff != "" {
				t.Errorf("bound (-want +got):\n%s", diff)
			}
			if got := overdue(s, Limits{}, now); got != "" {
				t.Errorf("bound %q without limits", got)
			}
		})
	}
}

// TestDerive guards against bounds that exceed the memory or the descriptors of the smallest machine, and against bounds that
// ordinary clients reach.
func TestDerive(t *testing.T) {
	tests := []struct {
		name string
		set  Settings
		want Shares
	}{
		{"smallest machine", Settings{MemoryMB: 136, Descriptors: 2870}, Shares{Bytes: 17 << 20, Clients: 497, Peers: 497, Checks: 64}},
		{"largest machine", Settings{MemoryMB: 536, Descriptors: 8192}, Shares{Bytes: 67 << 20, Clients: 1960, Peers: 1598, Checks: 64}},
		{"few descriptors", Settings{MemoryMB: 96, Descriptors: 400}, Shares{Bytes: 12 << 20, Clients: 80, Peers: 40, Checks: 12}},
		{"hardly any descriptors", Settings{MemoryMB: 96, Descriptors: 100}, Shares{Bytes: 12 << 20, Clients: 8, Peers: 8, Checks: 8}},
		{"no limit of memory", Settings{Descriptors: 1200}, Shares{Bytes: 256 << 20, Clients: 400, Peers: 200, Checks: 60}},
		{"set", Settings{MemoryMB: 136, Descriptors: 2870, Connections: 7000, BufferMB: 3}, Shares{Bytes: 3 << 20, Clients: 7000, Peers: 497, Checks: 64}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Derive(tt.set)
			// The sum is only exceeded where an operator sets more connections than the memory holds.
			memory := int64(tt.set.MemoryMB) << 20
			if sum := got.Heap + imageBytes + got.unread(); memory > 0 && tt.set.Connections == 0 && (got.Heap <= got.Bytes || sum > memory) {
				t.Errorf("a heap of %d and all listeners together take %d of %d bytes", got.Heap, sum, memory)
			}
			if memory > 0 && got.Answers <= got.Bytes {
				t.Errorf("%d bytes for answers, want more than the budget of %d", got.Answers, got.Bytes)
			}
			got.Heap, got.Answers = 0, 0
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("bounds (-want +got):\n%s", diff)
			}
		})
	}
}
