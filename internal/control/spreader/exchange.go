package spreader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// maxMessageBytes bounds the estimated size of the records in one message. A larger
	// record is sent alone.
	maxMessageBytes = 256 << 10
	// maxInlineBytes is the estimated size up to which a push carries a whole object.
	maxInlineBytes = 2 << 10
	// instanceBytes is the approximate encoded size of an instance's record.
	instanceBytes = 160
	// maxOffers bounds the summaries in one push.
	maxOffers = 128
	// requestTimeout is how long a requested record is not requested again.
	requestTimeout = time.Second
)

// request is a record that was requested from a peer, and when.
type request struct {
	summary Summary
	at      time.Time
}

// OpenExchange returns the message that opens an exchange.
func (s *State) OpenExchange() Message {
	return Message{Step: StepRoot, Root: s.Root()}
}

// Push returns the message that pushes new records to a peer: large objects as
// summaries, all other records whole.
func (s *State) Push(d Delta) Message {
	m := Message{Step: StepPush, Instances: d.Instances}
	for i := range d.Objects {
		if EstimateBytes(&d.Objects[i]) <= maxInlineBytes {
			m.Objects = append(m.Objects, d.Objects[i])
			continue
		}
		if len(m.Summaries) < maxOffers {
			m.Summaries = append(m.Summaries, summarizeObject(&d.Objects[i]))
		}
	}
	return m
}

// HandleRequest merges a peer's request. It returns the reply and the adopted records.
func (s *State) HandleRequest(now time.Time, req *Message) (Message, Delta) {
	d := s.Merge(now, req.Objects, req.Instances)
	reply := Message{Step: req.Step}
	switch req.Step {
	case StepRoot:
		if req.Root != s.Root() {
			reply.Digest = slices.Clone(s.digest[:])
		}
	case StepSummaries:
		s.answerSummaries(now, req, &reply)
	case StepPush:
		reply.Wanted = s.selectWanted(now, req.Summaries)
	}
	return reply, d
}

// HandleReply merges a peer's reply. It returns the next message of the exchange and
// true, or false when the exchange has ended, and the adopted records.
func (s *State) HandleReply(now time.Time, reply *Message) (Message, bool, Delta) {
	d := s.Merge(now, reply.Objects, reply.Instances)
	if len(reply.Digest) > 0 {
		next := s.summarizeBuckets(reply.Digest)
		return next, len(next.Buckets) > 0, d
	}
	if len(reply.Wanted) > 0 {
		return s.pushWanted(reply.Wanted), true, d
	}
	if reply.Truncated {
		return s.OpenExchange(), true, d
	}
	return Message{}, false, d
}

// summarizeBuckets returns the message with the summaries of all records in the buckets
// whose digest differs from the peer's.
func (s *State) summarizeBuckets(digest []uint64) Message {
	m := Message{Step: StepSummaries}
	for b := range s.digest {
		if s.digest[b] == digest[b] {
			continue
		}
		m.Buckets = append(m.Buckets, b)
		for _, sum := range s.summaries[b] {
			m.Summaries = append(m.Summaries, sum)
		}
	}
	slices.SortFunc(m.Summaries, func(a, b Summary) int { return strings.Compare(a.Key, b.Key) })
	return m
}

// answerSummaries adds to the reply the records that the peer lacks and the summaries of
// those that it has newer.
func (s *State) answerSummaries(now time.Time, req, reply *Message) {
	theirs := make(map[string]Summary, len(req.Summaries))
	for _, sum := range req.Summaries {
		theirs[sum.Key] = sum
	}
	var lacking []Summary
	for _, b := range req.Buckets {
		for key, mine := range s.summaries[b] {
			their, ok := theirs[key]
			if ok && mine.IsNewer(their) || !ok && !mine.isGone() {
				lacking = append(lacking, mine)
			}
		}
	}
	s.addRecords(reply, lacking)
	reply.Wanted = s.selectWanted(now, req.Summaries)
}

// pushWanted returns a push of the records that a peer requested.
func (s *State) pushWanted(summaries []Summary) Message {
	m := Message{Step: StepPush}
	s.addRecords(&m, summaries)
	m.Truncated = false
	return m
}

// addRecords adds the summarized records to the message, up to maxMessageBytes. Zones and
// instances come before services, so that the peer knows the owner groups before it
// receives upstreams.
func (s *State) addRecords(m *Message, summaries []Summary) {
	slices.SortFunc(summaries, compareSendOrder)
	remaining := maxMessageBytes
	for _, sum := range summaries {
		n := s.addRecord(m, sum.Key, remaining)
		if n > remaining {
			m.Truncated = true
			return
		}
		remaining -= n
	}
}

// addRecord adds the record with a key if it fits in maxBytes, and returns its estimated
// size. An object that is the first record is always added; its size then counts as at
// most maxBytes.
func (s *State) addRecord(m *Message, key string, maxBytes int) int {
	if id, ok := strings.CutPrefix(key, instancePrefix); ok {
		e, found := s.instances[id]
		if found && instanceBytes <= maxBytes {
			m.Instances = append(m.Instances, e.instance)
		}
		return instanceBytes
	}
	kind, name, _ := strings.Cut(key, "/")
	e, found := s.objects[declarer.Key{Kind: declarer.Kind(kind), Name: name}]
	if !found {
		return 0
	}
	isFirst := len(m.Objects)+len(m.Instances) == 0
	if isFirst || e.bytes <= maxBytes {
		m.Objects = append(m.Objects, e.object)
	}
	if isFirst {
		return min(e.bytes, maxBytes)
	}
	return e.bytes
}

// selectWanted returns the summaries of records that are newer than the known ones and
// were not requested within requestTimeout, and records the request.
func (s *State) selectWanted(now time.Time, summaries []Summary) []Summary {
	var wanted []Summary
	for _, sum := range summaries {
		if !s.isNew(sum) {
			continue
		}
		req, ok := s.requested[sum.Key]
		if ok && !sum.IsNewer(req.summary) && now.Sub(req.at) < requestTimeout {
			continue
		}
		s.requested[sum.Key] = request{summary: sum, at: now}
		wanted = append(wanted, sum)
	}
	return wanted
}

// compareSendOrder compares summaries by the order in which their records are sent.
func compareSendOrder(a, b Summary) int {
	return cmp.Or(cmp.Compare(sendOrder(a.Key), sendOrder(b.Key)), strings.Compare(a.Key, b.Key))
}

func sendOrder(key string) int {
	switch {
	case strings.HasPrefix(key, string(declarer.KindZone)+"/"):
		return 0
	case strings.HasPrefix(key, instancePrefix):
		return 1
	default:
		return 2
	}
}
