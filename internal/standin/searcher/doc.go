// Package searcher is a stand-in for upstreams in tests. A [Searcher] holds shards in several snapshot versions, has
// slots, a limit on connections and a cold start, and injects faults on request. A [Fleet] runs the searchers of many
// services in one process. A [Stub] answers every request with a fixed record.
//
// docs/WIRE.md describes the HTTP calls. [Faults] lists the faults, and [Counts] the counters of a searcher. Its hits
// are a pure function of service, shard, version and terms: see [Hits] and [DocumentCount].
package searcher
