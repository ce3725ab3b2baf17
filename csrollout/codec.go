package csrollout

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csconfig"
)

// ErrDigest is returned for a configuration that does not match the digest sent or stored with it.
var ErrDigest = errors.New("configuration does not match its digest")

// Type of an encoded result, its first byte.
const (
	typeAccepted byte = iota
	typeConflict
	typeInvalid
)

// decode decodes a CBOR value. Errors name what was decoded.
func decode[T any](data []byte, what string) (T, error) {
	var v T
	if err := cscodec.Unmarshal(data, &v); err != nil {
		var zero T
		return zero, fmt.Errorf("decode %s: %w", what, err)
	}
	return v, nil
}

// EncodeSubmission encodes a submission as the data of a log entry. It returns an error if the CBOR encoding fails.
func EncodeSubmission(s Submission) ([]byte, error) { return cscodec.Marshal(s) }

// DecodeSubmission decodes the data of a log entry. It returns an error if the data is malformed.
func DecodeSubmission(data []byte) (Submission, error) { return decode[Submission](data, "submission") }

// EncodeResult encodes a result as a type byte and its CBOR encoding. It returns an error if the CBOR encoding fails.
func EncodeResult(r Result) ([]byte, error) {
	kind := typeInvalid
	switch r.(type) {
	case Accepted:
		kind = typeAccepted
	case Conflict:
		kind = typeConflict
	}
	body, err := cscodec.Marshal(r)
	return append([]byte{kind}, body...), err
}

// DecodeResult decodes a result of Machine.Apply. It returns an error if the data is empty, malformed or of an unknown
// type.
func DecodeResult(data []byte) (Result, error) {
	if len(data) == 0 {
		return nil, errors.New("decode result: no data")
	}
	switch data[0] {
	case typeAccepted:
		return decode[Accepted](data[1:], "result")
	case typeConflict:
		return decode[Conflict](data[1:], "result")
	case typeInvalid:
		return decode[Invalid](data[1:], "result")
	default:
		return nil, fmt.Errorf("decode result: unknown type %d", data[0])
	}
}

// encodedHead is the CBOR encoding of Head. The configuration stays encoded, because the digest is computed over these
// bytes.
type encodedHead struct {
	Change        Change `cbor:"1,keyasint"`
	Configuration []byte `cbor:"2,keyasint"`
}

// MarshalCBOR returns the CBOR encoding, or an error if the configuration can't be encoded.
func (h Head) MarshalCBOR() ([]byte, error) {
	data, err := h.Configuration.Encode()
	if err != nil {
		return nil, err
	}
	return cscodec.Marshal(encodedHead{Change: h.Change, Configuration: data})
}

// UnmarshalCBOR decodes the CBOR encoding and verifies the digest, except at revision 0, which has none. It returns
// ErrDigest if the digest is wrong, and another error if the data is malformed.
func (h *Head) UnmarshalCBOR(data []byte) error {
	f, err := decode[encodedHead](data, "revision")
	if err != nil {
		return err
	}
	if f.Change.Revision != 0 && xxhash.Sum64(f.Configuration) != f.Change.Digest {
		return fmt.Errorf("revision %d: %w", f.Change.Revision, ErrDigest)
	}
	c, err := csconfig.DecodeConfiguration(f.Configuration)
	if err != nil {
		return err
	}
	*h = Head{Change: f.Change, Configuration: c}
	return nil
}

// EncodeHead encodes the active configuration for the file on disk. It returns an error if the configuration can't be
// encoded.
func EncodeHead(h Head) ([]byte, error) { return cscodec.Marshal(h) }

// DecodeHead decodes the file of the active configuration. It returns ErrDigest if the digest is wrong, and another error
// if the data is malformed.
func DecodeHead(data []byte) (Head, error) { return decode[Head](data, "active configuration") }

// EncodeUpdate encodes an update for a peer. It returns an error if a configuration can't be encoded.
func EncodeUpdate(u Update) ([]byte, error) { return cscodec.Marshal(u) }

// DecodeUpdate decodes an update from a peer. It returns ErrDigest if the digest of a whole configuration is wrong, and
// another error if the data is malformed. The digests of changes are verified when they are applied.
func DecodeUpdate(data []byte) (Update, error) { return decode[Update](data, "update") }
