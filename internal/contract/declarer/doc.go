// Package declarer defines the configuration and the records of the system:
// services with their shards and upstreams, availability zones, the routing of
// entry daemons, the versioned objects of the platform's object API, and the
// records that daemons and searchers register for themselves.
//
// The Check methods validate decoded values and return every invalid field as a
// [FieldError].
package declarer
