// Package recorder records a daemon's service level in memory: for each service,
// the query counts of each minute of the last three days.
//
//	recorder.go   the services and the queries recorded for them
//	ring.go       the counts of one service, by minute
//	querier.go    a wrapper around the daemon's querier that records each query
//	handler.go    GET /v1/burn for operators
//	series.go     the wire type of that call, validated when it is decoded
//
// Nothing is persisted: a restart loses all counts. Minutes are counted on the
// daemon's monotonic clock and identified by their age, so that the wall clocks of
// two machines are never compared.
package recorder
