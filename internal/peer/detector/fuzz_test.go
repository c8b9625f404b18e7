package detector

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// encode returns a message as it crosses the link.
func encode(t testing.TB, v any) []byte {
	t.Helper()
	body, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func samplePing(known int) Ping {
	p := Ping{From: instance("a"), To: "b", Seq: 7, Expired: []Membership{{ID: "c", Incarnation: 3, Term: 1}}, Voters: make([]byte, (known+7)/8)}
	for i := range known {
		p.Known = append(p.Known, uint32(i*i))
	}
	return p
}

func sampleAck() Ack {
	return Ack{From: instance("b"), Seq: 7, Accept: true, Drained: true, Expired: []Membership{{ID: "c"}}, Told: append(Ack{}.Told, instance("d"))}
}

func TestCheck(t *testing.T) {
	unsorted, voters, nobody, told := samplePing(3), samplePing(9), samplePing(0), sampleAck()
	unsorted.Known[0] = 9
	voters.Voters = voters.Voters[:1]
	for range maxTold {
		told.Told = append(told.Told, instance("e"))
	}
	good, ack := samplePing(9), sampleAck()
	for name, got := range map[string]struct {
		err  error
		want string
	}{
		"good ping":           {good.Check(), ""},
		"good ack":            {ack.Check(), ""},
		"unsorted":            {unsorted.Check(), "ping: known members are not sorted at 1"},
		"too few voters":      {voters.Check(), "ping: 1 bytes of voters: want 0 or 2"},
		"nobody known":        {nobody.Check(), "ping: 0 known members: want 1 to 256"},
		"too many told":       {told.Check(), "ack: 17 records: want at most 16"},
		"expired of no limit": {checkExpired(make([]Membership, maxExpired+1)), "257 expired memberships: want at most 256"},
	} {
		t.Run(name, func(t *testing.T) {
			msg := ""
			if got.err != nil {
				msg = got.err.Error()
			}
			if d := cmp.Diff(got.want, msg); d != "" {
				t.Errorf("fault (-want +got):\n%s", d)
			}
		})
	}
}

// FuzzPing decodes a ping; one that passes its check must be answered by a node
// that knows others, and must survive its own encoding.
func FuzzPing(f *testing.F) {
	f.Add(encode(f, samplePing(1)))
	f.Add(encode(f, samplePing(9)))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		var p, again Ping
		if cbor.Unmarshal(body, &p) != nil || p.Check() != nil {
			return
		}
		if err := cbor.Unmarshal(encode(t, &p), &again); err != nil {
			t.Fatal(err)
		}
		g := newGroup(t, "b", "c")
		for range 2 {
			ack := g.nodes["b"].HandlePing(g.now, again)
			if err := ack.Check(); err != nil {
				t.Fatal(err)
			}
			g.nodes["b"].Permit()
			g.now = g.now.Add(takeover + step)
			g.nodes["b"].Tick(g.now)
		}
	})
}

// FuzzAck decodes an ack and hands it to a node, as the answer to its first ping
// when it carries that number.
func FuzzAck(f *testing.F) {
	f.Add(encode(f, sampleAck()))
	f.Add(encode(f, Ack{From: instance("b"), Seq: 1, Accept: true}))
	f.Add(encode(f, Ack{From: instance("b"), Seq: 1, Rejoin: true}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		var a Ack
		if cbor.Unmarshal(body, &a) != nil || a.Check() != nil {
			return
		}
		g := newGroup(t, "b", "c")
		g.nodes["c"].Tick(g.now)
		g.nodes["c"].HandleAck(g.now.Add(time.Millisecond), a)
		g.nodes["c"].Permit()
	})
}
