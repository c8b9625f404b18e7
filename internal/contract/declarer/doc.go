// Package declarer holds what operators declare: services with their shards
// and upstreams, availability zones, and the versioned objects that carry
// both through the platform's object API.
//
// Values check themselves when they are decoded: [Service.Check] and
// [Zone.Check] list every fault as a [FieldError].
package declarer
