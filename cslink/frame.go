package cslink

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Types of frames and of handshake messages: the first data item of each WebSocket message.
const (
	typeBeat byte = iota
	typeMessage
	typeHello
	typeChallenge
	typeProof
	typeWelcome
	typeRefusal
)

// frame is what an established socket carries: beat or message.
type frame interface{ frame() }

// beat is a heartbeat and an acknowledgement. Times are in units of tick and wrap around.
type beat struct {
	_     struct{} `cbor:",toarray"`
	Ack   uint64   // last sequence number received
	Stamp uint16   // the sender's time
	Echo  uint16   // the last stamp received; 0 where none is new
	Held  uint16   // time between the receipt of Echo and this beat
}

// message carries one payload.
type message struct {
	_        struct{} `cbor:",toarray"`
	Ack      uint64
	Sequence uint64
	Kind     Kind
	Payload  []byte
}

func (beat) frame()    {}
func (message) frame() {}

var encoding, decoding = modes()

// modes returns the codec of frames. The decoder refuses what the encoder never writes.
func modes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

// encode returns the type followed by the value.
func encode(kind byte, value any) ([]byte, error) {
	body, err := encoding.Marshal(value)
	if err != nil {
		return nil, err
	}
	return append([]byte{kind}, body...), nil
}

// decode reads a value of the expected type.
func decode(data []byte, kind byte, value any) error {
	if len(data) == 0 {
		return fmt.Errorf("%w: empty frame", ErrProtocol)
	}
	if data[0] != kind {
		return fmt.Errorf("%w: frame of type %d where %d is expected", ErrProtocol, data[0], kind)
	}
	if err := decoding.Unmarshal(data[1:], value); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return nil
}

// encodeFrame returns the encoded frame.
func encodeFrame(f frame) ([]byte, error) {
	if _, ok := f.(beat); ok {
		return encode(typeBeat, f)
	}
	return encode(typeMessage, f)
}

// decodeFrame reads a frame of an established socket.
func decodeFrame(data []byte) (frame, error) {
	if len(data) > MaxFrame {
		return nil, fmt.Errorf("%w: frame of %d bytes", ErrProtocol, len(data))
	}
	if len(data) > 0 && data[0] == typeBeat {
		var b beat
		err := decode(data, typeBeat, &b)
		return b, err
	}
	var m message
	if err := decode(data, typeMessage, &m); err != nil {
		return nil, err
	}
	if m.Sequence == 0 {
		return nil, fmt.Errorf("%w: message without a sequence number", ErrProtocol)
	}
	return m, nil
}
