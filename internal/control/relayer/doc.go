// Package relayer spreads what the store holds among the daemons, so that few of
// them read the store, and with it what they see of the searchers.
//
// Every daemon keeps a Cache of each kind of objects. The members of a zone are
// ranked by a hash. The first of each zone asks the firsts of the other zones;
// the one that ranks before all reads the store. The other members hold a waiting
// call open at a member that ranks before them, which answers as soon as it knows
// something newer, and tells how old its knowledge is. A daemon whose sources do
// not answer, or know nothing fresh, reads the store itself until one does.
//
// The same calls carry observations of searchers: every outcome within a zone,
// between zones those that are unusual.
package relayer
