package cstask

import (
	"errors"
	"fmt"

	"cowslipstream.example/cowslipstream/cscodec"
)

// ErrEncoding reports a command or snapshot that cannot be decoded.
var ErrEncoding = errors.New("cstask: invalid encoding")

// commandKind is the first byte of an encoded command. Values are part of the log format and are never reused.
type commandKind uint8

const (
	kindSubmit commandKind = iota + 1
	kindLease
	kindRenew
	kindCheckpoint
	kindFinish
	kindFail
	kindCancel
	kindCancelBatch
	kindSetAside
	kindRetry
	kindExpire
	kindConfigure
)

func (Submit) kind() commandKind      { return kindSubmit }
func (Lease) kind() commandKind       { return kindLease }
func (Renew) kind() commandKind       { return kindRenew }
func (Checkpoint) kind() commandKind  { return kindCheckpoint }
func (Finish) kind() commandKind      { return kindFinish }
func (Fail) kind() commandKind        { return kindFail }
func (Cancel) kind() commandKind      { return kindCancel }
func (CancelBatch) kind() commandKind { return kindCancelBatch }
func (SetAside) kind() commandKind    { return kindSetAside }
func (Retry) kind() commandKind       { return kindRetry }
func (Expire) kind() commandKind      { return kindExpire }
func (Configure) kind() commandKind   { return kindConfigure }

// Encode returns the kind byte of a command followed by its CBOR form.
func Encode(c Command) ([]byte, error) {
	body, err := cscodec.Marshal(c)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(c.kind())}, body...), nil
}

// Decode parses an encoded command.
func Decode(data []byte) (Command, error) {
	if len(data) == 0 {
		return nil, ErrEncoding
	}
	body := data[1:]
	switch commandKind(data[0]) {
	case kindSubmit:
		return decode[Submit](body)
	case kindLease:
		return decode[Lease](body)
	case kindRenew:
		return decode[Renew](body)
	case kindCheckpoint:
		return decode[Checkpoint](body)
	case kindFinish:
		return decode[Finish](body)
	case kindFail:
		return decode[Fail](body)
	case kindCancel:
		return decode[Cancel](body)
	case kindCancelBatch:
		return decode[CancelBatch](body)
	case kindSetAside:
		return decode[SetAside](body)
	case kindRetry:
		return decode[Retry](body)
	case kindExpire:
		return decode[Expire](body)
	case kindConfigure:
		return decode[Configure](body)
	}
	return nil, fmt.Errorf("%w: unknown command kind %d", ErrEncoding, data[0])
}

func decode[C Command](body []byte) (Command, error) {
	var c C
	if err := cscodec.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	return c, nil
}
