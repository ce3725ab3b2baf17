package csclient

import (
	"errors"
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

// Outcomes other than an answer.
var (
	// ErrNotRun means that the request did not run. errors.As with *NotRunError gives the delay before the next try.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNoNodes means that the client was made without nodes.
	ErrNoNodes = errors.New("no nodes given")
)

// NotRunError is an ErrNotRun with its details.
type NotRunError struct {
	// RetryAfter is the delay that the node asks for, 0 where it gave none.
	RetryAfter time.Duration
	// Cause is the problem that the node reported, or the error of the connection.
	Cause error
}

// Error returns the outcome and its cause.
func (e *NotRunError) Error() string {
	text := ErrNotRun.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.RetryAfter > 0 {
		text += fmt.Sprintf("; retry after %s", e.RetryAfter)
	}
	return text
}

// Is reports ErrNotRun.
func (e *NotRunError) Is(target error) bool { return target == ErrNotRun }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError is an ErrUnknown with its cause.
type UnknownError struct {
	Cause error
}

// Error returns the outcome and its cause.
func (e *UnknownError) Error() string {
	if e.Cause == nil {
		return ErrUnknown.Error()
	}
	return ErrUnknown.Error() + ": " + e.Cause.Error()
}

// Is reports ErrUnknown.
func (e *UnknownError) Is(target error) bool { return target == ErrUnknown }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ProblemError is an error response of a node.
type ProblemError struct {
	csapi.Problem
}

// Error returns status, title and detail.
func (e *ProblemError) Error() string { return e.String() }

// IsProblem tells whether an error is an error response with the given HTTP status.
func IsProblem(err error, status int) bool {
	var p *ProblemError
	return errors.As(err, &p) && p.Status == status
}

// Faults in responses.
var (
	errNoOutcome = errors.New("response without outcome")
	errNoLength  = errors.New("answer without Content-Length")
	errNoDigest  = errors.New("answer without a supported Content-Digest")
	errDigest    = errors.New("body does not match its Content-Digest")
	errKey       = errors.New("response belongs to another idempotency key")
	errTooLarge  = fmt.Errorf("body of more than %d bytes", csapi.MaxBody)
)
