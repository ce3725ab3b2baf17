package csrollout

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csconfig"
)

// ErrDigest is returned for a configuration that does not have the digest it is sent or stored with.
var ErrDigest = errors.New("configuration does not match its digest")

// Types of encoded results.
const (
	typeAccepted byte = iota
	typeConflict
	typeInvalid
)

func decode[T any](data []byte, what string) (T, error) {
	var v T
	if err := cscodec.Unmarshal(data, &v); err != nil {
		var zero T
		return zero, fmt.Errorf("decode %s: %w", what, err)
	}
	return v, nil
}

// EncodeSubmission returns the data of a log entry.
func EncodeSubmission(s Submission) ([]byte, error) { return cscodec.Marshal(s) }

// DecodeSubmission reads the data of a log entry.
func DecodeSubmission(data []byte) (Submission, error) { return decode[Submission](data, "submission") }

// EncodeResult returns the CBOR form of a result.
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

// DecodeResult reads what Machine.Apply returned.
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

// headForm is the CBOR form of Head. The configuration is kept encoded, because the digest covers these bytes.
type headForm struct {
	Step          Step   `cbor:"1,keyasint"`
	Configuration []byte `cbor:"2,keyasint"`
}

// MarshalCBOR returns the CBOR form.
func (h Head) MarshalCBOR() ([]byte, error) {
	data, err := h.Configuration.Encode()
	if err != nil {
		return nil, err
	}
	return cscodec.Marshal(headForm{Step: h.Step, Configuration: data})
}

// UnmarshalCBOR reads the CBOR form and checks the digest.
func (h *Head) UnmarshalCBOR(data []byte) error {
	f, err := decode[headForm](data, "revision")
	if err != nil {
		return err
	}
	if f.Step.Revision != 0 && xxhash.Sum64(f.Configuration) != f.Step.Digest {
		return fmt.Errorf("revision %d: %w", f.Step.Revision, ErrDigest)
	}
	c, err := csconfig.DecodeConfiguration(f.Configuration)
	if err != nil {
		return err
	}
	*h = Head{Step: f.Step, Configuration: c}
	return nil
}

// EncodeHead returns the persisted form of the active configuration.
func EncodeHead(h Head) ([]byte, error) { return cscodec.Marshal(h) }

// DecodeHead reads the persisted form and checks its digest.
func DecodeHead(data []byte) (Head, error) { return decode[Head](data, "active configuration") }

// EncodeUpdate returns the form of an update that is sent to a peer.
func EncodeUpdate(u Update) ([]byte, error) { return cscodec.Marshal(u) }

// DecodeUpdate reads the form of an update that a peer sent.
func DecodeUpdate(data []byte) (Update, error) { return decode[Update](data, "update") }
