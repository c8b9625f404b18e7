package spreader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

const (
	// messageBytes bounds the records of one message; a larger record goes alone.
	messageBytes = 256 << 10
	// inlineBytes is the size up to which a push carries an object whole.
	inlineBytes = 2 << 10
	// instanceBytes is about the encoded size of an instance's record.
	instanceBytes = 160
	// maxOffers bounds the marks of one push.
	maxOffers = 128
	// wantTimeout is how long a record that was asked for is not asked for again.
	wantTimeout = time.Second
)

// want is a record that was asked for.
type want struct {
	mark Summary
	at   time.Time
}

// OpenExchange returns the message that opens an exchange.
func (s *State) OpenExchange() Message {
	return Message{Step: StepRoot, Root: s.Root()}
}

// Push returns the message that tells a peer about new records.
func (s *State) Push(d Delta) Message {
	m := Message{Step: StepPush, Instances: d.Instances}
	for i := range d.Objects {
		if EstimateBytes(&d.Objects[i]) <= inlineBytes {
			m.Objects = append(m.Objects, d.Objects[i])
			continue
		}
		if len(m.Summaries) < maxOffers {
			m.Summaries = append(m.Summaries, objectMark(&d.Objects[i]))
		}
	}
	return m
}

// HandleRequest merges a peer's request and returns the reply and what was adopted.
func (s *State) HandleRequest(now time.Time, req *Message) (Message, Delta) {
	d := s.Merge(now, req.Objects, req.Instances)
	reply := Message{Step: req.Step}
	switch req.Step {
	case StepRoot:
		if req.Root != s.Root() {
			reply.Digest = slices.Clone(s.digest[:])
		}
	case StepSummaries:
		s.answerMarks(now, req, &reply)
	case StepPush:
		reply.Wanted = s.wants(now, req.Summaries)
	}
	return reply, d
}

// HandleReply merges a peer's reply. It returns the next message of the exchange and
// true, or false when the exchange has ended.
func (s *State) HandleReply(now time.Time, reply *Message) (Message, bool, Delta) {
	d := s.Merge(now, reply.Objects, reply.Instances)
	if len(reply.Digest) > 0 {
		next := s.marks(reply.Digest)
		return next, len(next.Buckets) > 0, d
	}
	if len(reply.Wanted) > 0 {
		return s.give(reply.Wanted), true, d
	}
	if reply.Truncated {
		return s.OpenExchange(), true, d
	}
	return Message{}, false, d
}

// marks lists every bucket whose digest differs.
func (s *State) marks(digest []uint64) Message {
	m := Message{Step: StepSummaries}
	for b := range s.digest {
		if s.digest[b] == digest[b] {
			continue
		}
		m.Buckets = append(m.Buckets, b)
		for _, mark := range s.keys[b] {
			m.Summaries = append(m.Summaries, mark)
		}
	}
	slices.SortFunc(m.Summaries, func(a, b Summary) int { return strings.Compare(a.Key, b.Key) })
	return m
}

// answerMarks fills in what the peer lacks and what it has newer.
func (s *State) answerMarks(now time.Time, req, reply *Message) {
	theirs := make(map[string]Summary, len(req.Summaries))
	for _, m := range req.Summaries {
		theirs[m.Key] = m
	}
	var lacks []Summary
	for _, b := range req.Buckets {
		for key, mine := range s.keys[b] {
			their, ok := theirs[key]
			if ok && mine.IsNewer(their) || !ok && !mine.isGone() {
				lacks = append(lacks, mine)
			}
		}
	}
	s.fill(reply, lacks)
	reply.Wanted = s.wants(now, req.Summaries)
}

// give returns a push of the records that a peer wants.
func (s *State) give(marks []Summary) Message {
	m := Message{Step: StepPush}
	s.fill(&m, marks)
	m.Truncated = false
	return m
}

// fill adds the records with the marks to the message up to its bound: instances
// and zones before services, so that a daemon knows the owner groups before it
// learns of upstreams.
func (s *State) fill(m *Message, marks []Summary) {
	slices.SortFunc(marks, compareOrder)
	room := messageBytes
	for _, mark := range marks {
		n := s.add(m, mark.Key, room)
		if n > room {
			m.Truncated = true
			return
		}
		room -= n
	}
}

// add adds one record if it fits or is the first, and returns its size.
func (s *State) add(m *Message, key string, room int) int {
	if id, ok := strings.CutPrefix(key, instancePrefix); ok {
		e, found := s.instances[id]
		if found && instanceBytes <= room {
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
	if isFirst || e.bytes <= room {
		m.Objects = append(m.Objects, e.object)
	}
	if isFirst {
		return min(e.bytes, room)
	}
	return e.bytes
}

// wants returns those marks that are newer than what is known and that were not
// asked for a moment ago.
func (s *State) wants(now time.Time, marks []Summary) []Summary {
	var ws []Summary
	for _, m := range marks {
		if !s.isNews(m) {
			continue
		}
		w, ok := s.wanted[m.Key]
		if ok && !m.IsNewer(w.mark) && now.Sub(w.at) < wantTimeout {
			continue
		}
		s.wanted[m.Key] = want{mark: m, at: now}
		ws = append(ws, m)
	}
	return ws
}

// compareOrder orders marks by the order in which records are sent.
func compareOrder(a, b Summary) int {
	return cmp.Or(cmp.Compare(order(a.Key), order(b.Key)), strings.Compare(a.Key, b.Key))
}

func order(key string) int {
	switch {
	case strings.HasPrefix(key, string(declarer.KindZone)+"/"):
		return 0
	case strings.HasPrefix(key, instancePrefix):
		return 1
	default:
		return 2
	}
}
