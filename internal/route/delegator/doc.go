// Package delegator lets one daemon gather a query for another, near the searchers and over connections that are in use.
//
// The daemon that asks sends the query on a stream. The one that gathers accepts it at once and sends it to one searcher
// of each shard. The permit for further attempts follows when the asking daemon has received the acceptance:
//
//	asker -> gatherer   exchanger.Gather
//	asker <- gatherer   exchanger.Gathered, accepted or refused
//	asker -> gatherer   exchanger.Permit
//	asker <- gatherer   exchanger.Gathered, the parts until the goal
//	asker <- gatherer   exchanger.Gathered, each later part, until the last message
//	asker -> gatherer   exchanger.Permit, to stop, when the answer is enough before that
//
// A daemon that does not accept in time is passed over for another one, which gets the attempts that the first has no
// permit for. So no more searchers than the route allows run a request, even if the first daemon received it and only its
// acceptance was lost. After the acceptance nobody else is asked: what has run is not known then.
package delegator
