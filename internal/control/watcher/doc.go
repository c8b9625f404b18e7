// Package watcher follows the platform's objects and its list of instances for
// a zone.
//
// Only two daemons of a zone hold a waiting watch; the others hear from peers.
// Every daemon carries along who reached the platform last and how long ago, so
// that one more daemon at a time tries when nothing has been heard for a while.
//
// Whatever the platform serves, late, twice, out of order or old, is handed on
// as it is: the reconciler adopts higher versions only.
package watcher
