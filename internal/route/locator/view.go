package locator

import (
	"sync"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/authorizer"
	"cornelwood.example/internal/route/matcher"
)

// View is the cached state of an entry daemon at one moment. It is immutable.
type View struct {
	// Matcher finds routes; nil before the first desired state has been received.
	Matcher *matcher.Matcher
	// Authorizer decides by the same desired state which account a request belongs to; nil while Matcher is.
	Authorizer *authorizer.Authorizer
	// services holds the searchers that may get new requests, by service.
	services map[string][]Searcher
	// revision is the store's revision of the last change of the searchers.
	revision uint64
	// listed and closuresListed are true once a list of the searchers, and of the closed availability zones, has been received.
	listed, closuresListed bool

	members []declarer.Member
	// gatherers holds the daemons that gather queries, by zone; gathered the services whose queries they gather.
	gatherers map[string][]declarer.Member
	gathered  map[string]bool
	// selfSufficient caches IsSelfSufficient by zone.
	selfSufficient *sync.Map
	// trials holds the roll-outs that are running, by service.
	trials map[string]*Trial
	// lostStatuses is LostStatuses.
	lostStatuses []LostStatus
	// awaitsRollouts is true while the roll-outs have not been received and are needed.
	awaitsRollouts bool
	// routingAt is the boot clock's time at which the call to the store was sent that last confirmed the desired state, 0 if
	// it is not known.
	routingAt time.Duration
	keyTrust  KeyTrust
	// doubtedAge is DoubtedAge.
	doubtedAge time.Duration
	// isOutdated is true when the state may be older than its bound.
	isOutdated bool
}

// KeyTrust says which decisions about keys the age of the desired state allows.
type KeyTrust int32

// Degrees of trust.
const (
	// KeysCurrent: keys are accepted and refused.
	KeysCurrent KeyTrust = iota
	// KeysAging: known keys are accepted. One that is not known may have been added since.
	KeysAging
	// KeysOutdated: a known key may have been withdrawn long ago.
	KeysOutdated
)

// String returns the trust as a word for logs.
func (k KeyTrust) String() string {
	switch k {
	case KeysCurrent:
		return "current"
	case KeysAging:
		return "aging"
	case KeysOutdated:
		return "outdated"
	default:
		return "invalid"
	}
}

// Searcher is a searcher that may get new requests.
type Searcher struct {
	declarer.Searcher
	// WarmAt is the end of its warm-up.
	WarmAt time.Time
	// ColdLimited is true when its service bounds the requests to a cold searcher; ColdRate is then the number of
	// requests per second that this daemon may send to it.
	ColdLimited bool
	ColdRate    float64
	// MaxIdleConns is the number of idle connections to keep to it beyond a short time, 0 for no bound.
	MaxIdleConns int
	// Senders is the number of daemons that send to it.
	Senders int
}

// Ready reports whether routes, searchers and the closed availability zones have been received, and if not, which are missing.
// The list of daemons is not needed: what depends on it has safe defaults.
func (v *View) Ready() (bool, string) {
	switch {
	case v.isOutdated:
		return false, "the cached state may be outdated after a pause of the process"
	case v.Matcher == nil:
		return false, "no desired state received yet"
	case !v.listed:
		return false, "no list of searchers received yet"
	case !v.closuresListed:
		return false, "no list of closed availability zones received yet"
	case v.awaitsRollouts:
		return false, "no list of roll-outs received yet"
	default:
		return true, ""
	}
}

// Outdated returns a copy of the view that is not ready, since it may be older than its bound.
func (v *View) Outdated() *View {
	out := *v
	out.isOutdated = true
	return &out
}

// WithKeyTrust returns a copy of the view with another trust in the keys of accounts, because of the age of the desired state.
func (v *View) WithKeyTrust(trust KeyTrust, age time.Duration) *View {
	out := *v
	out.keyTrust, out.doubtedAge = trust, age
	return &out
}

// DoubtedAge returns the age of the desired state because of which keys are doubted, for logs. It is 0 while they are not, or
// when the age is not known.
func (v *View) DoubtedAge() time.Duration {
	return v.doubtedAge
}

// RoutingAge returns the time since the call to the store was sent that last confirmed the desired state, and false if that
// is not known. now is the boot clock's time.
func (v *View) RoutingAge(now time.Duration) (time.Duration, bool) {
	if v.routingAt <= 0 {
		return 0, false
	}
	return now - v.routingAt, true
}

// Authorize returns the account of a request's key, nil when there is none, and whether the route serves the request. Call it
// on a view that is ready.
func (v *View) Authorize(rt *declarer.Route, key string) (*declarer.Account, authorizer.Refusal) {
	if v.keyTrust == KeysOutdated && (key != "" || !rt.Public) {
		return nil, authorizer.Outdated
	}
	account, refusal := v.Authorizer.Authorize(rt, key)
	if v.keyTrust == KeysAging && refusal != authorizer.Allowed {
		return nil, authorizer.Outdated
	}
	return account, refusal
}

// Searchers returns the searchers of a service that may get new requests. The slice must not be changed.
func (v *View) Searchers(service string) []Searcher {
	return v.services[service]
}

// Version returns the version of the desired state, 0 when there is none.
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
