package gatherer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
)

func TestRun(t *testing.T) {
	const first = "s0-a"
	notSent := func(s exchanger.Status) reply { return reply{result: exchanger.Result{Status: s}} }
	sent := func(s exchanger.Status) reply { return reply{result: exchanger.Result{Status: s, Sent: true}} }
	tests := []struct {
		name  string
		first reply
		want  answerer.Outcome
		sends int
	}{
		{"done", reply{result: exchanger.Result{Sent: true, Reply: json.RawMessage(`1`)}}, answerer.Done, 1},
		{"shed unsent", notSent(exchanger.Shed), answerer.Done, 2},
		{"out unsent", notSent(exchanger.UpstreamOut), answerer.Done, 2},
		{"not owner", notSent(exchanger.NotOwner), answerer.Done, 2},
		{"unreachable before it was sent", notSent(exchanger.Unreachable), answerer.Done, 2},
		{"shed after it was sent", sent(exchanger.Shed), answerer.Unknown, 1},
		{"unreachable after it was sent", sent(exchanger.Unreachable), answerer.Unknown, 1},
		{"failed", sent(exchanger.Failed), answerer.Unknown, 1},
		{"failed, reported as unsent", notSent(exchanger.Failed), answerer.Unknown, 1},
		{"late, reported as unsent", notSent(exchanger.DeadlineExceeded), answerer.Unknown, 1},
		{"version unavailable", notSent(exchanger.VersionUnavailable), answerer.Unknown, 1},
		{"silent", reply{silent: true}, answerer.Unknown, 1},
		{"slow", reply{result: exchanger.Result{Sent: true}, delay: 190 * time.Millisecond}, answerer.Done, 1},
		{"twice", reply{result: exchanger.Result{Status: exchanger.Shed}, duplicate: true}, answerer.Done, 2},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			f := newFleet(newService(declarer.Action, 1), func(_ string, t exchanger.Task) reply {
				if t.Upstream == first {
					return tt.first
				}
				return reply{result: resultFor(t, 1, 1)}
			})
			got := f.start(t, nil).Run(context.Background(), "anomaly-finder", "t1", json.RawMessage(`{"crew":7}`))
			if got.Outcome != tt.want || got.Ticket != "t1" {
				t.Errorf("got %+v, want outcome %q of ticket t1", got, tt.want)
			}
			assertSent(t, f, tt.sends)
			for _, task := range f.sentTasks() {
				if !task.AtMostOnce() || task.Request != "t1" || task.Hedge {
					t.Errorf("task %+v, want an action with the ticket, not hedged", task)
				}
			}
		})
	}
}

func TestRunRefused(t *testing.T) {
	shed := func(string, exchanger.Task) reply { return reply{result: exchanger.Result{Status: exchanger.Shed}} }
	tests := []struct {
		name    string
		service *declarer.Service
		change  func(*fleet, *declarer.Service)
		action  string
		sends   int
	}{
		{"search service", newService(declarer.Search, 1), nil, `1`, 0},
		{"empty action", newService(declarer.Action, 1), nil, ``, 0},
		{"all shed", newService(declarer.Action, 1), nil, `1`, 3},
		{"all out", newService(declarer.Action, 1), func(f *fleet, s *declarer.Service) {
			f.viewer.Publish(newView(s, zones...))
		}, `1`, 0},
		{"out after the first shed", newService(declarer.Action, 1), func(f *fleet, s *declarer.Service) {
			f.answer = func(string, exchanger.Task) reply {
				f.viewer.Publish(newView(s, zones[1:]...))
				return reply{result: exchanger.Result{Status: exchanger.Shed}}
			}
		}, `1`, 1},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			f := newFleet(tt.service, shed)
			if tt.change != nil {
				tt.change(f, tt.service)
			}
			got := f.start(t, nil).Run(context.Background(), "anomaly-finder", "t1", json.RawMessage(tt.action))
			got.Reason = ""
			want := answerer.RunResult{Ticket: "t1", Service: "anomaly-finder", Outcome: answerer.NotRun}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			assertSent(t, f, tt.sends)
		})
	}
}
