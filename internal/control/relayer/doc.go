// Package relayer spreads what the store holds among the daemons of a zone, so
// that few of them read the store.
//
// Every daemon keeps a Cache of each kind of objects. The members of a zone are
// ranked by a hash; the first reads the store, the others hold a waiting call
// open at a member that ranks before them, which answers as soon as it knows
// something newer, and tells how old its knowledge is. A daemon whose sources
// do not answer, or know nothing fresh, reads the store itself until one does.
package relayer
