// Package recorder keeps a daemon's own service level in memory: for each
// service, counts for each minute of the last three days.
//
//	recorder.go   the services and what is recorded about them
//	ring.go       the minutes of one service
//	querier.go    a wrapper around the daemon's querier that records each query
//	handler.go    GET /v1/burn for operators
//	series.go     the wire type of that call, which checks itself
//
// Nothing is kept over a restart. Minutes are counted on the daemon's monotonic
// clock and named by their age, so that no two wall clocks are compared.
package recorder
