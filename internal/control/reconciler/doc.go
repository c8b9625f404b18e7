// Package reconciler holds the control goroutine of a daemon. It alone owns the
// replicated state, the group protocol's state machine and the daemon's own
// record; everything else posts typed events to it and reads what it publishes:
// the immutable view and the permit to admit work.
//
//	watcher, commander ─┐
//	peers' calls ───────┼─> events ─> Reconciler ─┬─> viewer.Viewer
//	answers of peers ───┘      ticks ─>           ├─> detector.Permit
//	                                              └─> calls to peers (short-lived
//	                                                  goroutines that post back)
//
// The loop itself does no I/O.
package reconciler
