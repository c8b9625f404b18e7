package declarer

import (
	"fmt"
	"math"
	"strings"
	"unicode"
)

// Account is a client account: who may send requests, and how many.
type Account struct {
	Name string `json:"name"`
	// Keys are the secrets by which its requests are recognized. They must not be logged.
	Keys []string `json:"keys,omitempty"`
	// Priority takes precedence over the route's; nil means none.
	Priority *int `json:"priority,omitempty"`
	// Rate is the number of requests per second that the account may send to all daemons together, beyond a burst of
	// Burst requests; 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// CheckAccounts validates the client accounts of a routing. It returns every invalid field as joined FieldErrors, or nil. The
// errors do not contain keys.
func CheckAccounts(accounts []Account) error {
	var f validationErrors
	names := make(map[string]bool, len(accounts))
	keys := make(map[string]bool)
	for i := range accounts {
		a, path := &accounts[i], fmt.Sprintf("accounts[%d]", i)
		if a.Name == "" || names[a.Name] {
			f.addf(path+".name", "want a name that no other account has, got %q", a.Name)
		}
		if strings.ContainsFunc(a.Name, unicode.IsControl) {
			// Searchers get the name in a header.
			f.addf(path+".name", "want a name without control characters, got %q", a.Name)
		}
		names[a.Name] = true
		for j, key := range a.Keys {
			if key == "" || keys[key] {
				f.addf(fmt.Sprintf("%s.keys[%d]", path, j), "want a key that is listed once")
			}
			keys[key] = true
		}
		if !isFiniteAndNotNegative(a.Rate) || !isFiniteAndNotNegative(a.Burst) {
			f.addf(path+".rate", "want a rate and a burst of 0 or more, got %g and %g", a.Rate, a.Burst)
		}
	}
	return f.join()
}

func isFiniteAndNotNegative(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}
