package detector

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// encode returns the CBOR form in which a message is sent.
func encode(t testing.TB, v any) []byte {
	t.Helper()
	body, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func samplePing(keys int) Ping {
	p := Ping{
		From: instance("a"), To: "b", Seq: 7,
		Expired: []Membership{{ID: "c", Incarnation: 3, Term: 1}}, Voters: make([]byte, (keys+7)/8),
	}
	for i := range keys {
		p.MemberKeys = append(p.MemberKeys, uint32(i*i))
	}
	return p
}

func sampleAck() Ack {
	return Ack{
		From: instance("b"), Seq: 7, Accept: true, Drained: true,
		Expired: []Membership{{ID: "c"}}, Records: append(Ack{}.Records, instance("d")),
	}
}

func TestCheck(t *testing.T) {
	unsorted, voters, noKeys, records := samplePing(3), samplePing(9), samplePing(0), sampleAck()
	unsorted.MemberKeys[0] = 9
	voters.Voters = voters.Voters[:1]
	for range maxRecords {
		records.Records = append(records.Records, instance("e"))
	}
	valid, ack := samplePing(9), sampleAck()
	for name, got := range map[string]struct {
		err  error
		want string
	}{
		"valid ping":                   {valid.Check(), ""},
		"valid ack":                    {ack.Check(), ""},
		"unsorted":                     {unsorted.Check(), "ping: member keys are not sorted at index 1"},
		"too few voters":               {voters.Check(), "ping has 1 bytes of voters, want 0 or 2"},
		"no member keys":               {noKeys.Check(), "ping has 0 member keys, want 1 to 256"},
		"too many records":             {records.Check(), "ack has 17 records, want at most 16"},
		"too many expired memberships": {checkExpired(make([]Membership, maxExpired+1)), "message has 257 expired memberships, want at most 256"},
	} {
		t.Run(name, func(t *testing.T) {
			msg := ""
			if got.err != nil {
				msg = got.err.Error()
			}
			if d := cmp.Diff(got.want, msg); d != "" {
				t.Errorf("error (-want +got):\n%s", d)
			}
		})
	}
}

// FuzzPing decodes a ping. When Check accepts the ping, it can be encoded and decoded
// again, and a node with other members answers it with a valid ack.
func FuzzPing(f *testing.F) {
	f.Add(encode(f, samplePing(1)))
	f.Add(encode(f, samplePing(9)))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		var p, decoded Ping
		if cbor.Unmarshal(body, &p) != nil || p.Check() != nil {
			return
		}
		if err := cbor.Unmarshal(encode(t, &p), &decoded); err != nil {
			t.Fatal(err)
		}
		g := newGroup(t, "b", "c")
		for range 2 {
			ack := g.nodes["b"].HandlePing(g.now, decoded)
			if err := ack.Check(); err != nil {
				t.Fatal(err)
			}
			g.nodes["b"].Permit()
			g.now = g.now.Add(takeover + step)
			g.nodes["b"].Tick(g.now)
		}
	})
}

// FuzzAck decodes an ack and passes it to a node, as the answer to the node's first ping
// when its sequence number is that of the ping.
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
