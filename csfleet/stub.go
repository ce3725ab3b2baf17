package csfleet

import "time"

func (RegisterVM) apply(*Machine, time.Time) Result   { return Result{} }
func (RegisterVM) kind() commandKind                  { return 0 }
func (Configure) apply(*Machine, time.Time) Result    { return Result{} }
func (Configure) kind() commandKind                   { return 0 }
func (StartMove) apply(*Machine, time.Time) Result    { return Result{} }
func (StartMove) kind() commandKind                   { return 0 }
func (Drained) apply(*Machine, time.Time) Result      { return Result{} }
func (Drained) kind() commandKind                     { return 0 }
func (HandOver) apply(*Machine, time.Time) Result     { return Result{} }
func (HandOver) kind() commandKind                    { return 0 }
func (Admit) apply(*Machine, time.Time) Result        { return Result{} }
func (Admit) kind() commandKind                       { return 0 }
func (UndoMove) apply(*Machine, time.Time) Result     { return Result{} }
func (UndoMove) kind() commandKind                    { return 0 }
func (StartReboot) apply(*Machine, time.Time) Result  { return Result{} }
func (StartReboot) kind() commandKind                 { return 0 }
func (FinishReboot) apply(*Machine, time.Time) Result { return Result{} }
func (FinishReboot) kind() commandKind                { return 0 }
func (ReportLost) apply(*Machine, time.Time) Result   { return Result{} }
func (ReportLost) kind() commandKind                  { return 0 }
func (ReportBack) apply(*Machine, time.Time) Result   { return Result{} }
func (ReportBack) kind() commandKind                  { return 0 }
func (ReportZone) apply(*Machine, time.Time) Result   { return Result{} }
func (ReportZone) kind() commandKind                  { return 0 }
func (RemoveVM) apply(*Machine, time.Time) Result     { return Result{} }
func (RemoveVM) kind() commandKind                    { return 0 }
func (StartWave) apply(*Machine, time.Time) Result    { return Result{} }
func (StartWave) kind() commandKind                   { return 0 }
func (PauseWave) apply(*Machine, time.Time) Result    { return Result{} }
func (PauseWave) kind() commandKind                   { return 0 }
func (ResumeWave) apply(*Machine, time.Time) Result   { return Result{} }
func (ResumeWave) kind() commandKind                  { return 0 }
func (Tasks) apply(*Machine, time.Time) Result        { return Result{} }
func (Tasks) kind() commandKind                       { return 0 }

// Encode returns the CBOR form of a command.
func Encode(Command) ([]byte, error) { return nil, nil }

// Decode parses an encoded command.
func Decode([]byte) (Command, error) { return nil, nil }

// DecodeResult parses the response of Machine.Apply.
func DecodeResult([]byte) (Result, error) { return Result{}, nil }
