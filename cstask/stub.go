package cstask

import "time"

func (Submit) apply(*Table, time.Time) Result      { return Result{} }
func (Lease) apply(*Table, time.Time) Result       { return Result{} }
func (Renew) apply(*Table, time.Time) Result       { return Result{} }
func (Checkpoint) apply(*Table, time.Time) Result  { return Result{} }
func (Finish) apply(*Table, time.Time) Result      { return Result{} }
func (Fail) apply(*Table, time.Time) Result        { return Result{} }
func (Cancel) apply(*Table, time.Time) Result      { return Result{} }
func (CancelBatch) apply(*Table, time.Time) Result { return Result{} }
func (SetAside) apply(*Table, time.Time) Result    { return Result{} }
func (Retry) apply(*Table, time.Time) Result       { return Result{} }
func (Expire) apply(*Table, time.Time) Result      { return Result{} }
func (Configure) apply(*Table, time.Time) Result   { return Result{} }

func (Submit) kind() commandKind      { return 1 }
func (Lease) kind() commandKind       { return 2 }
func (Renew) kind() commandKind       { return 3 }
func (Checkpoint) kind() commandKind  { return 4 }
func (Finish) kind() commandKind      { return 5 }
func (Fail) kind() commandKind        { return 6 }
func (Cancel) kind() commandKind      { return 7 }
func (CancelBatch) kind() commandKind { return 8 }
func (SetAside) kind() commandKind    { return 9 }
func (Retry) kind() commandKind       { return 10 }
func (Expire) kind() commandKind      { return 11 }
func (Configure) kind() commandKind   { return 12 }

// Encode returns the CBOR form of a command.
func Encode(Command) ([]byte, error) { return nil, nil }

// Decode parses an encoded command.
func Decode([]byte) (Command, error) { return nil, nil }

// Tick returns the actions for the current state.
func (s *Scheduler) Tick(*Table, []Worker, time.Time) []Action { return nil }
