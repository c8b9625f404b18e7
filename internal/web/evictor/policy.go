package evictor

import (
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// Unused means that no byte has been read.
	Unused Phase = iota
	// Head means that a part of a request's head, or of a message between daemons, has been read.
	Head
	// Body means that the head is complete and the body is not: the request has not run.
	Body
	// Running means that the request is complete and not yet answered.
	Running
	// Idle means that the last request or message has been handled and no byte of the next one has been read.
	Idle
	// Ending means that the connection has given way and gets its last answer.
	Ending
)

// String returns the phase as in log lines and metrics.
func (p Phase) String() string {
	return [...]string{"unused", "head", "body", "running", "idle", "ending"}[p]
}

// State is what a decision knows of a connection.
type State struct {
	Phase Phase
	// Since is the start of the phase. In the phase Body it is the time at which the last progressBytes were complete.
	Since time.Time
	// Bytes is the memory that the connection holds of the budget.
	Bytes int64
	// Sending is the number of bytes of an answer that the client has not taken yet, and SentAt the time at which it last took
	// some, or at which the answer began.
	Sending int64
	SentAt  time.Time
}

// isStalled reports whether the client has taken nothing of its answer for a time.
func (s State) isStalled(now time.Time, limit time.Duration) bool {
	return s.Sending > 0 && now.Sub(s.SentAt) >= limit
}

const (
	// grace is the time that an ordinary client may need between connecting and the end of its head, or to take a part of its
	// answer: a round trip to a client takes 6 ms, a lost packet is repeated after 200 ms.
	grace = 250 * time.Millisecond
	// pressedGrace replaces grace while new connections have to wait for room: several round trips to a client, but a client
	// whose packet is lost then loses its connection.
	pressedGrace = 50 * time.Millisecond
	// After stallGrace a client has stopped reading: its connection is worth less than an idle one, which will be used again.
	stallGrace = 3 * time.Second
	// progressBytes is the part of a body after which it counts as progressing. A client that sends single bytes makes no
	// progress for thousands of reads.
	progressBytes = 4 << 10
)

// Limits are limits of one connection; 0 means none.
type Limits struct {
	// HeadBytes bounds a request's head.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time without a request.
	IdleTimeout time.Duration
	// StallTimeout bounds the time in which a client takes nothing of its answer.
	StallTimeout time.Duration
	// AnswerGrace is the least time in which a client takes nothing of its answer before its connection gives way to a new one.
	AnswerGrace time.Duration
}

// connRank returns the order in which connections give way to new ones, the lowest first; -1 means never, at the moment. One that has
// just been opened is worth as much as the new one.
//
// Load pattern: a crowd of clients opens connections and sends nothing, or heads or bodies that do not end, or does not read its
// answers, while ordinary clients keep idle connections and open a few.
func connRank(s State, now time.Time, g Graces) int {
	late := now.Sub(s.Since) >= g.Request
	switch {
	case s.Phase == Ending:
		return 0
	case (s.Phase == Unused || s.Phase == Head) && late:
		return 1
	case s.isStalled(now, stallGrace):
		return 1
	case s.Phase == Idle && s.Sending == 0:
		return 2
	case s.Phase == Body && late:
		return 3
	case s.isStalled(now, g.Answer):
		return 4
	case s.Phase == Body:
		return 5
	}
	return -1
}

// HasRoom reports whether a new connection may make another one give way, of which there may be maxConns.
//
// Load pattern: a crowd that comes back at once, while the processor is busy. Connections that have given way hold their memory until
// their goroutines have run, and would pile up.
func HasRoom(leaving, maxConns int) bool {
	return leaving < maxConns
}

// Graces are the times that clients have for the next part of a request, or to take the next part of an answer, before their
// connections give way to new ones.
type Graces struct {
	Request, Answer time.Duration
}

// Grace returns the times that clients have. isPressed is true while new connections have to wait for room.
//
// Load pattern: a crowd fills all connections again and again. The shorter its clients may hold them, the sooner an ordinary client
// has its turn. But one that does not read its answer comes back with another request, which takes the time of searchers: it may
// hold its connection for Limits.AnswerGrace.
func Grace(isPressed bool, l Limits) Graces {
	request := grace
	if isPressed {
		request = pressedGrace
	}
	return Graces{Request: request, Answer: max(request, l.AnswerGrace)}
}

// GivesConn reports whether a connection in state a gives way to a new connection before one in state b.
func GivesConn(a, b State, now time.Time, g Graces) bool {
	ra, rb := connRank(a, now, g), connRank(b, now, g)
	if ra < 0 || rb < 0 {
		return ra > rb
	}
	return ra < rb || ra == rb && progressAt(a).Before(progressAt(b))
}

// progressAt returns when the client last sent a part of its request, or took one of its answer.
func progressAt(s State) time.Time {
	if s.Sending > 0 {
		return s.SentAt
	}
	return s.Since
}

// MayGiveConn reports whether a connection may give way to a new one. One whose request is complete is answered first, as long as
// its client takes the answer.
func MayGiveConn(s State, now time.Time, g Graces) bool {
	return connRank(s, now, g) >= 0
}

// MayGiveBytes reports whether a connection may give way when the budget is used up: it holds a part of a request that has
// not run, or an answer that its client does not take.
func MayGiveBytes(s State, now time.Time) bool {
	return s.Bytes > 0 && (s.Phase == Head || s.Phase == Body || s.isStalled(now, grace))
}

// GivesBytes reports whether a connection in state a gives its memory up before one in state b: the slowest first, which is
// the one whose last progress is the oldest.
//
// Load pattern: many large bodies arrive at once, most stop just short of their end and stay open, or trickle; many answers are
// not read.
func GivesBytes(a, b State, now time.Time) bool {
	if ma, mb := MayGiveBytes(a, now), MayGiveBytes(b, now); ma != mb {
		return ma
	}
	return progressAt(a).Before(progressAt(b))
}

// Held is what a connection holds in memory, in bytes but for Lines.
type Held struct {
	// Head is the part of a head or message that has been read, Lines the number of its lines. A message has none.
	Head, Lines int64
	// Body is the part of a body that has been read, Answer the part of an answer that the client has not taken.
	Body, Answer int64
}

const (
	// freeHeadBytes, freeLines, freeBodyBytes and freeAnswerBytes are what a connection may hold without a share of the budget:
	// connBytes has room for them. An ordinary request is smaller and is thus served while the budget is used up.
	freeHeadBytes   = 4 << 10
	freeLines       = 64
	freeBodyBytes   = 4 << 10
	freeAnswerBytes = 4 << 10
	// headCopies is the number of copies of a head, or of a part of a message, in memory while it is read.
	headCopies = 2
	// lineBytes is the memory that one header takes beside its text: its places in three maps (of package http, of the
	// request, and of that to the searcher) and their values.
	lineBytes = 400
)

// Cost returns the share of the budget that a connection holds.
//
// Load pattern: beside large bodies, heads of a legal size with thousands of headers of a few bytes, which take some twenty
// times their size.
func (h Held) Cost() int64 {
	cost := max(0, h.Body-freeBodyBytes) + max(0, h.Answer-freeAnswerBytes)
	if h.Head > freeHeadBytes || h.Lines > freeLines {
		cost += headCopies*h.Head + lineBytes*h.Lines
	}
	return cost
}

// overdue returns the limit of time that a connection has exceeded; empty for none.
func overdue(s State, l Limits, now time.Time) string {
	age := now.Sub(s.Since)
	switch {
	case s.Phase == Head && l.HeadTimeout > 0 && age >= l.HeadTimeout:
		return boundHeadTime
	case (s.Phase == Idle || s.Phase == Unused) && l.IdleTimeout > 0 && age >= l.IdleTimeout:
		return boundIdleTime
	case l.StallTimeout > 0 && s.isStalled(now, l.StallTimeout):
		return boundStallTime
	}
	return ""
}

// Shares are the bounds of a process's listeners, which hold together: all may be abused at once.
type Shares struct {
	// Bytes is the budget for what clients and daemons have sent in part, for bodies of running requests, and for answers that
	// are not read.
	Bytes int64
	// Answers bounds the bytes of large answers from searchers until they have been sent; 0 for the default. It exceeds Bytes,
	// so that answers that are not read give way before others wait for room.
	Answers int64
	// Heap is the soft limit of the Go runtime's memory; 0 for none.
	Heap int64
	// Clients, Peers and Checks bound the connections of each kind of listener.
	Clients, Peers, Checks int
}

const (
	// reservedDescriptors are the descriptors reserved for files.
	reservedDescriptors = 200
	// clientShare and peerShare are the shares of the other descriptors for clients and for accepted connections of other
	// daemons. The rest is for connections to searchers, daemons and the store.
	clientShare, peerShare = 0.4, 0.2
	// maxChecks bounds connections to the address for checks, at which a load balancer and a few collectors of metrics call.
	// checkShare is their share of the descriptors where that is less.
	maxChecks  = 64
	checkShare = 0.06
	// bytesShare is the share of the memory for what has been sent in part: at 136 MB, 65 bodies of 262,144 bytes.
	bytesShare = 0.125
	// answersShare is the share of the memory for large answers.
	answersShare = 0.1875
	// connShare is the share of the memory for connections of clients, or else for those of daemons. A
	// connection takes connBytes: two buffers of 4 KB, a stack of 8 KB, and receiveBytes in the kernel, doubled.
	connShare = 0.2
	connBytes = 24<<10 + 2*receiveBytes
	// maxUnread is what the kernel takes of a client in a buffer of receiveBytes, doubled: a quarter is for its own use.
	maxUnread = 2 * receiveBytes * 3 / 4
	// imageBytes is the part of the program's file in memory, which the runtime's limit does not count.
	imageBytes = 16 << 20
	// heapShare and minHeapShare bound the soft limit of the runtime's memory: what it exceeds it by for a time, and what a
	// process needs without any client.
	heapShare, minHeapShare = 0.7, 0.4
	// minConns keeps a process of very low limits in service.
	minConns = 8
	// defaultBytes is the budget of a process without a limit of memory: 1,000 bodies of 262,144 bytes.
	defaultBytes = 256 << 20
)

// Settings are the limits of a process as an operator sets them; 0 means unspecified.
type Settings struct {
	MemoryMB, Descriptors int
	// Connections is the number of connections of clients, BufferMB the budget; both follow from the others if unspecified.
	Connections, BufferMB int
}

// Derive returns the bounds that follow from the settings. Descriptors must be specified.
func Derive(set Settings) Shares {
	free := float64(max(set.Descriptors-reservedDescriptors, 0))
	memory := int64(set.MemoryMB) << 20
	s := Shares{
		Bytes:   defaultBytes,
		Clients: int(free * clientShare),
		Peers:   int(free * peerShare),
		Checks:  min(int(free*checkShare), maxChecks),
	}
	if memory > 0 {
		conns := int(float64(memory) * connShare / connBytes)
		s.Bytes = int64(float64(memory) * bytesShare)
		s.Answers = int64(float64(memory) * answersShare)
		s.Clients = min(s.Clients, conns)
		s.Peers = min(s.Peers, conns)
	}
	if set.BufferMB > 0 {
		s.Bytes = int64(set.BufferMB) << 20
	}
	if set.Connections > 0 {
		s.Clients = set.Connections
	}
	s.Clients, s.Peers, s.Checks = max(s.Clients, minConns), max(s.Peers, minConns), max(s.Checks, minConns)
	if memory > 0 {
		s.Heap = heapLimit(memory, s.unread())
	}
	return s
}

// unread returns the bytes that the kernel holds at most of what clients and daemons have sent, of all listeners together.
func (s *Shares) unread() int64 {
	const listeners = 3
	return int64(s.Clients+s.Peers+s.Checks)*maxUnread + listeners*backlog*waitingBytes
}

// heapLimit returns the soft limit of the runtime's memory that leaves room for what the kernel holds.
//
// Load pattern: crowds at all listeners at once, with as much sent and not read as the kernel takes.
func heapLimit(memory, unread int64) int64 {
	least, most := int64(float64(memory)*minHeapShare), int64(float64(memory)*heapShare)
	return min(max(memory-imageBytes-unread, least), most)
}
