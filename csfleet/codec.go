package csfleet

import (
	"errors"
	"fmt"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/cstask"
)

// ErrEncoding reports a command, result or snapshot that cannot be decoded.
var ErrEncoding = errors.New("csfleet: invalid encoding")

// commandKind is the first byte of an encoded command. Values are part of the log format and are never reused.
type commandKind uint8

const (
	kindRegisterVM commandKind = iota + 1
	kindConfigure
	kindStartMove
	kindDrained
	kindHandOver
	kindAdmit
	kindUndoStep
	kindStartReboot
	kindFinishReboot
	kindReportLost
	kindReportReturn
	kindReportZone
	kindRemoveVM
	kindStartWave
	kindPauseWave
	kindResumeWave
	kindTasks
)

func (RegisterVM) kind() commandKind   { return kindRegisterVM }
func (Configure) kind() commandKind    { return kindConfigure }
func (StartMove) kind() commandKind    { return kindStartMove }
func (Drained) kind() commandKind      { return kindDrained }
func (HandOver) kind() commandKind     { return kindHandOver }
func (Admit) kind() commandKind        { return kindAdmit }
func (UndoStep) kind() commandKind     { return kindUndoStep }
func (StartReboot) kind() commandKind  { return kindStartReboot }
func (FinishReboot) kind() commandKind { return kindFinishReboot }
func (ReportLost) kind() commandKind   { return kindReportLost }
func (ReportReturn) kind() commandKind { return kindReportReturn }
func (ReportZone) kind() commandKind   { return kindReportZone }
func (RemoveVM) kind() commandKind     { return kindRemoveVM }
func (StartWave) kind() commandKind    { return kindStartWave }
func (PauseWave) kind() commandKind    { return kindPauseWave }
func (ResumeWave) kind() commandKind   { return kindResumeWave }
func (Tasks) kind() commandKind        { return kindTasks }

// encodedTasks is the encoded form of Tasks.
type encodedTasks struct {
	Commands [][]byte `cbor:"1,keyasint"`
}

// Encode returns the kind byte of a command followed by its CBOR form.
func Encode(c Command) ([]byte, error) {
	var body any = c
	if t, ok := c.(Tasks); ok {
		e, err := t.encode()
		if err != nil {
			return nil, err
		}
		body = e
	}
	data, err := cscodec.Marshal(body)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(c.kind())}, data...), nil
}

func (c Tasks) encode() (encodedTasks, error) {
	e := encodedTasks{Commands: make([][]byte, 0, len(c.Commands))}
	for _, t := range c.Commands {
		data, err := cstask.Encode(t)
		if err != nil {
			return encodedTasks{}, err
		}
		e.Commands = append(e.Commands, data)
	}
	return e, nil
}

// Decode parses an encoded command. Its errors wrap ErrEncoding or come from cstask.Decode.
func Decode(data []byte) (Command, error) {
	if len(data) == 0 {
		return nil, ErrEncoding
	}
	body := data[1:]
	switch commandKind(data[0]) {
	case kindRegisterVM:
		return decode[RegisterVM](body)
	case kindConfigure:
		return decode[Configure](body)
	case kindStartMove:
		return decode[StartMove](body)
	case kindDrained:
		return decode[Drained](body)
	case kindHandOver:
		return decode[HandOver](body)
	case kindAdmit:
		return decode[Admit](body)
	case kindUndoStep:
		return decode[UndoStep](body)
	case kindStartReboot:
		return decode[StartReboot](body)
	case kindFinishReboot:
		return decode[FinishReboot](body)
	case kindReportLost:
		return decode[ReportLost](body)
	case kindReportReturn:
		return decode[ReportReturn](body)
	case kindReportZone:
		return decode[ReportZone](body)
	case kindRemoveVM:
		return decode[RemoveVM](body)
	case kindStartWave:
		return decode[StartWave](body)
	case kindPauseWave:
		return decode[PauseWave](body)
	case kindResumeWave:
		return decode[ResumeWave](body)
	case kindTasks:
		return decodeTasks(body)
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

func decodeTasks(body []byte) (Command, error) {
	var e encodedTasks
	if err := cscodec.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	c := Tasks{Commands: make([]cstask.Command, 0, len(e.Commands))}
	for _, data := range e.Commands {
		t, err := cstask.Decode(data)
		if err != nil {
			return nil, err
		}
		c.Commands = append(c.Commands, t)
	}
	return c, nil
}

func encodeResult(r Result) []byte {
	data, err := cscodec.Marshal(r)
	if err != nil {
		return nil // unreachable: a Result holds only integers and times within four-digit years
	}
	return data
}

// DecodeResult parses the response of Machine.Apply. Its errors wrap ErrEncoding.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cscodec.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	return r, nil
}
