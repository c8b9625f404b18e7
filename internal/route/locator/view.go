package locator

import (
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/matcher"
)

// View is what an entry daemon believes at one moment. It is immutable.
type View struct {
	// Matcher finds routes; nil before the first desired state is known.
	Matcher *matcher.Matcher
	// services holds the searchers that may get new work.
	services map[string][]Searcher
	// revision is the store's revision of the last change of the searchers.
	revision uint64
	listed   bool
	members  []declarer.Member
}

// Searcher is one searcher that may get new work.
type Searcher struct {
	declarer.Searcher
	// WarmAt is when it stops to be cold.
	WarmAt time.Time
	// ColdLimited is true when its service bounds the requests to a cold searcher;
	// ColdRate is then what this daemon may send it a second.
	ColdLimited bool
	ColdRate    float64
	// MaxIdleConns is the number of idle connections to keep to it for long, 0 for no bound.
	MaxIdleConns int
}

// Ready reports whether routes and searchers are known, and else what is missing.
func (v *View) Ready() (bool, string) {
	switch {
	case v.Matcher == nil:
		return false, "no desired state known"
	case !v.listed:
		return false, "no searchers known"
	default:
		return true, ""
	}
}

// Searchers returns the searchers of a service that may get new work. The slice
// must not be changed.
func (v *View) Searchers(service string) []Searcher {
	return v.services[service]
}

// Version returns the version of the desired state, 0 when none is known.
func (v *View) Version() uint64 {
	if v.Matcher == nil {
		return 0
	}
	return v.Matcher.Routing().Version
}

// Revision returns the store's revision of the last change of the searchers.
func (v *View) Revision() uint64 {
	return v.revision
}

// Members returns the registered daemons. The slice must not be changed.
func (v *View) Members() []declarer.Member {
	return v.members
}
