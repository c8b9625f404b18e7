// Package searcher stands in for upstreams in tests: a [Searcher] holds shards
// in several versions, has slots, a cap on connections and a cold start, and
// misbehaves on request; a [Fleet] runs the searchers of many services in one
// process.
//
// docs/WIRE.md describes the calls. [Faults] lists the ways to misbehave, and
// [Counts] what a searcher saw. Its records are a pure function of service,
// shard, version and terms: see [Hits] and [DocumentCount].
package searcher
