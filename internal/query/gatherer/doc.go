// Package gatherer runs callers' queries at the daemon that receives them.
//
// A Query passes these steps, each in a file of its own:
//
//	gatherer.go   checks the query, admits it and bounds its time
//	layout.go     the service of the current view with the state of its upstreams
//	discover.go   learns the versions held when nothing is known yet
//	round.go      one attempt at one snapshot: waits for results and timers
//	sender.go     sends batches of sub-requests to the owners of upstreams
//	settle.go     what each result means: merge, ask another replica, give up
//	answer.go     the answer with the coverage of what was merged
//
// Run takes another path (run.go): one sub-request, never hedged, resent only
// when it provably did not run.
package gatherer
