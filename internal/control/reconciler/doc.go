// Package reconciler runs the control goroutine of a daemon. This goroutine alone
// owns the replicated state, the state machine of the group protocol and the
// daemon's own record. All other goroutines post typed events to it and read what
// it publishes: the immutable view and the permit to admit work.
//
//	watcher, commander ─┐
//	peers' calls ───────┼─> events ─> Reconciler ─┬─> viewer.Viewer
//	replies of peers ───┘      ticks ─>           ├─> detector.Permit
//	                                              └─> calls to peers (short-lived
//	                                                  goroutines that post back)
//
// The loop itself does no I/O.
package reconciler
