// Package gatherer runs callers' queries at the daemon that receives them.
//
// A Query passes these steps, each in a file of its own:
//
//	gatherer.go   checks the query, admits it and sets its deadline
//	layout.go     looks up the service in the current view, with the state of its upstreams
//	discover.go   finds out the versions that upstreams hold when none are known
//	round.go      runs one attempt on one snapshot: waits for results and timers
//	sender.go     sends batches of sub-requests to the owners of upstreams
//	results.go    handles each result: merges it, asks another replica or abandons the shard
//	answer.go     builds the answer with the coverage of the merged shards
//
// Run takes another path (run.go): one sub-request, never hedged, and sent again only when the
// previous result proves that the action was not run.
package gatherer
