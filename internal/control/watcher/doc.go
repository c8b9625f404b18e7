// Package watcher follows the platform's objects and its list of instances for
// a zone.
//
// Only two daemons of a zone watch the platform; the others receive changes from peers.
// The daemons exchange which of them reached the platform last and how long ago. When no
// daemon has reached it for contactTimeout, the other daemons of the zone try in turns.
//
// Answers of the platform that are late, repeated, out of order or old are passed on
// unchanged, since the reconciler adopts only higher versions.
package watcher
