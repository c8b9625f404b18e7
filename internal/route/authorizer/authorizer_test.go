package authorizer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
)

func routing(version uint64, accounts ...declarer.Account) *declarer.Routing {
	return &declarer.Routing{Version: version, Accounts: accounts}
}

// TestAuthorize guards against a route that serves a request without a known key, and against a public route that refuses one.
func TestAuthorize(t *testing.T) {
	two := routing(1, declarer.Account{Name: "one", Keys: []string{"k1", "k2"}}, declarer.Account{Name: "two", Keys: []string{"k3"}})
	for _, tt := range []struct {
		name    string
		routing *declarer.Routing
		public  bool
		key     string
		want    string
	}{
		{"first key", two, false, "k1", "one allowed"},
		{"second key", two, false, "k2", "one allowed"},
		{"another account", two, false, "k3", "two allowed"},
		{"no key", two, false, "", " nokey"},
		{"unknown key", two, false, "k", " unknownkey"},
		{"key with another letter case", two, false, "K1", " unknownkey"},
		{"public", two, true, "", " allowed"},
		{"public, known key", two, true, "k3", "two allowed"},
		{"public, unknown key", two, true, "k", " allowed"},
		{"no accounts", routing(1), false, "", " allowed"},
		{"no accounts, key", routing(1), false, "k1", " allowed"},
		{"account without keys", routing(1, declarer.Account{Name: "one"}), false, "", " nokey"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			account, refusal := New(tt.routing, nil).Authorize(&declarer.Route{Public: tt.public}, tt.key)
			name := ""
			if account != nil {
				name = account.Name
			}
			if diff := cmp.Diff(tt.want, name+" "+refusal.String()); diff != "" {
				t.Errorf("account and refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWithdrawal checks what is known of keys that later versions lack: operators find the cause of a 401 by it.
func TestWithdrawal(t *testing.T) {
	a := New(routing(1, declarer.Account{Name: "one", Keys: []string{"k1", "k2"}}), nil)
	a = New(routing(2, declarer.Account{Name: "one", Keys: []string{"k2"}}), a)
	a = New(routing(3), a)
	got := ""
	for _, key := range []string{"k1", "k2", "k3"} {
		w, ok := a.Withdrawal(key)
		got += fmt.Sprint(w, ok, " ")
	}
	if diff := cmp.Diff("{one 2} true {one 3} true { 0} false ", got); diff != "" {
		t.Errorf("withdrawals of three keys (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"one": 1}, a.Withdrawals(3)); diff != "" {
		t.Errorf("withdrawals of version 3 (-want +got):\n%s", diff)
	}
	a = New(routing(4, declarer.Account{Name: "two", Keys: []string{"k1"}}), a)
	if w, ok := a.Withdrawal("k1"); ok {
		t.Errorf("a key that an account has again counts as withdrawn: %v", w)
	}
}
