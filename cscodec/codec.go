// Package cscodec is the one CBOR form of log entries, snapshots, files and messages between nodes: deterministic, with
// times to the nanosecond, and strict when it reads.
package cscodec

import "github.com/fxamacker/cbor/v2"

// maxElements admits snapshots with more items than the library's default of 131,072. The library allocates only what the
// length of the data can hold.
const maxElements = 1 << 24

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal returns the encoded form. Equal values have equal forms.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal reads the encoded form. It refuses duplicate keys, tags and items of indefinite length.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }
