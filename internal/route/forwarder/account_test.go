package forwarder

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/route/delegator"
	"cornelwood.example/internal/upstream/connector"
)

// declareAccounts makes "/post/" a public route and adds the accounts "urgent" with the key "k1" and priority 0, and "other" with the
// keys that are given. The routes have priority 2.
func (s *setup) declareAccounts(version uint64, otherKeys ...string) {
	routing := testRouting(4)
	routing.Version = version
	for i := range routing.Routes {
		routing.Routes[i].Priority = 2
	}
	routing.Routes[2].Public = true
	routing.Accounts = []declarer.Account{{Name: "urgent", Keys: []string{"k1"}, Priority: new(int)}, {Name: "other", Keys: otherKeys}}
	s.locator.Routings().Replace([]follower.Item[*declarer.Routing]{{Name: "main", Value: routing}}, version)
	synctest.Wait()
}

// requestWith returns a request with a key.
func requestWith(key, path string) *Request {
	return &Request{ID: "r", Method: http.MethodGet, Host: "h", Path: path, Target: path, Key: key, ClientTimeout: timeout, Arrived: time.Now()}
}

// TestAccounts checks who is served, and the account and the priority with which a searcher and the queue see a request.
func TestAccounts(t *testing.T) {
	for _, tt := range []struct {
		name, key, path string
		status          int
		account         string
		priority        int
	}{
		{"account with a priority", "k1", "/get/x", http.StatusOK, "urgent", 0},
		{"account without one", "k2", "/get/x", http.StatusOK, "other", 2},
		{"query", "k1", "/q/x", http.StatusOK, "urgent", 0},
		{"no key", "", "/get/x", http.StatusUnauthorized, "", 0},
		{"unknown key", "k3", "/q/x", http.StatusUnauthorized, "", 0},
		{"public route", "", "/post/x", http.StatusOK, "", 2},
		{"public route, unknown key", "k3", "/post/x", http.StatusOK, "", 2},
		{"no route", "", "/none/x", http.StatusNotFound, "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.declareAccounts(2, "k2")
				for _, id := range []string{"1a", "2a", "3a", "4a"} {
					s.behaviors[id] = func(_ context.Context, req *connector.Request) (*connector.Reply, error) {
						if req.Account != tt.account {
							t.Errorf("the searcher got account %q, want %q", req.Account, tt.account)
						}
						return goodReply(id), nil
					}
				}
				req := requestWith(tt.key, tt.path)
				a := s.Handle(s.t.Context(), req)
				s.assertAnswer(a, tt.status)
				if req.accountName() != tt.account || req.Priority != tt.priority {
					t.Errorf("account %q and priority %d, want %q and %d", req.accountName(), req.Priority, tt.account, tt.priority)
				}
				if tt.key != "" && strings.Contains(a.Reason, tt.key) {
					t.Errorf("the answer contains the key: %s", a.Reason)
				}
				if tt.status != http.StatusOK {
					s.assertSent(0)
				}
			})
		})
	}
}

// TestAccountRetried checks that repeated attempts say the account, too.
func TestAccountRetried(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.declareAccounts(2)
		s.behaviors["1a"] = failWith(true, false)
		var got string
		s.behaviors["1b"] = func(_ context.Context, req *connector.Request) (*connector.Reply, error) {
			got = req.Account
			return goodReply("1b"), nil
		}
		s.assertAnswer(s.Handle(s.t.Context(), requestWith("k1", "/get/x")), http.StatusOK)
		if got != "urgent" {
			t.Errorf("account %q in the second attempt, want that of the first", got)
		}
	})
}

// TestKeyWithdrawnDuringUpload covers a body that takes long: the key must still be valid when the request can be sent.
func TestKeyWithdrawnDuringUpload(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.declareAccounts(2, "k2")
		req := requestWith("k2", "/get/x")
		req.HasBody = true
		req.Body = readerFunc(func(p []byte) (int, error) {
			s.declareAccounts(3)
			return strings.NewReader("").Read(p)
		})
		s.assertAnswer(s.Handle(s.t.Context(), req), http.StatusUnauthorized)
		s.assertSent(0)
	})
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// recordingDelegator records the queries that it refuses to gather.
type recordingDelegator struct {
	fakeDelegator
	queries []delegator.Query
}

func (r *recordingDelegator) Delegate(_ context.Context, _ []declarer.Member, q *delegator.Query) delegator.Result {
	r.queries = append(r.queries, *q)
	return delegator.Result{}
}

// TestGatherAccount checks that a daemon that gathers learns the account and its priority, and passes them on.
func TestGatherAccount(t *testing.T) {
	for _, tt := range []struct {
		name     string
		priority *int
		want     int
	}{{"priority of the account", new(int), 0}, {"priority of the route", nil, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.declareAccounts(2)
				in := askFor()
				in.Version, in.Account, in.Priority = 2, "urgent", tt.priority
				job, refused := s.Admit(s.t.Context(), in)
				if refused.Code != "" {
					t.Fatal(refused.Code)
				}
				defer s.gathers.Add(-1)
				req := job.(*gatherJob).req
				if req.accountName() != "urgent" || req.Priority != tt.want {
					t.Errorf("account %q with priority %d, want urgent with %d", req.accountName(), req.Priority, tt.want)
				}
			})
		})
	}
	withForwarder(t, 4, func(s *setup) {
		s.declareAccounts(2, "k2")
		d := &recordingDelegator{}
		s.delegator = d
		v := s.locator.View()
		req := requestWith("k1", "/q/x")
		rt, _ := s.accept(req, v)
		g := s.newDelegation(req, nil, rt, v, time.Now()).message([]int{1})
		if diff := cmp.Diff([]any{"urgent", 0}, []any{g.Account, *g.Priority}); diff != "" {
			t.Errorf("account and priority in the message to a daemon that gathers (-want +got):\n%s", diff)
		}
	})
}
