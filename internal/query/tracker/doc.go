// Package tracker remembers what queries have learned about upstreams and
// peers: the snapshot versions that an upstream holds, its latency and load,
// and which ones are backing off after failures.
//
// All state is held in atomics for each upstream and peer. The maps behind their
// names are only consulted when a new view is laid out, so no lock is shared by
// queries. Memory is bounded by the upstreams and instances of the view.
package tracker
