package linker

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Bounds of decoded messages.
const (
	maxElements = 65536
	maxNesting  = 16
)

// codec is a drpc.Encoding of CBOR. It uses json tags, and the text form of types that implement
// encoding.TextMarshaler.
type codec struct {
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
}

// wireCodec is the codec of all messages between daemons.
var wireCodec = newCodec()

func newCodec() *codec {
	enc, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return &codec{enc: enc, dec: dec}
}

// Marshal returns msg in CBOR.
func (c *codec) Marshal(msg drpc.Message) ([]byte, error) {
	return c.MarshalAppend(nil, msg)
}

// MarshalAppend appends msg in CBOR to buf.
func (c *codec) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	b := bytes.NewBuffer(buf)
	if err := c.enc.MarshalToBuffer(msg, b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unmarshal decodes the CBOR in buf into msg, which keeps no reference to buf.
func (c *codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return c.dec.Unmarshal(buf, msg)
}
