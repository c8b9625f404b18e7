// Package tracker caches what queries have observed of upstreams and peers: the snapshot versions,
// latency and load of each upstream, and the backoff of upstreams and peers after failures.
//
// The state of each upstream and peer is held in atomics. Lookups by name lock a mutex, but are needed
// only when a new view is indexed, so queries share no lock. Memory is bounded by the upstreams and
// instances of the view.
package tracker
