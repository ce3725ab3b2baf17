package csclient

import (
	"context"
	"net/http"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Request is an urgent request of a caller.
type Request struct {
	Job  csmodel.JobID
	Body []byte
	// Idempotent is set where the job is idempotent. Other requests carry an idempotency key.
	Idempotent bool
	// Key repeats an earlier request. Empty takes a fresh key where one is needed.
	Key csapi.Key
}

// Answer is the complete response of a target.
type Answer struct {
	// Status is the status of the target. A target's own error status is an answer.
	Status int
	Body   []byte
	Header http.Header
	// Key is the key that the request carried, if any.
	Key csapi.Key
}

// Request sends a request and returns its verified answer, or an error that is ErrNotRun or ErrUnknown. It ends with
// the deadline of the context, at the latest after DefaultTimeout.
//
// Every resend carries the same key, so that a request that is not idempotent runs at most once. Once an attempt has
// left the outcome open, a later refusal does not make it ErrNotRun, because the first attempt may still arrive.
func (c *Client) Request(ctx context.Context, r Request) (Answer, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	if !r.Idempotent && r.Key == "" {
		key, err := c.takeKey(ctx)
		if err != nil {
			return Answer{}, &NotRunError{Cause: err}
		}
		r.Key = key
	}
	call := requestCall{client: c, request: r}
	answer, err := retry(ctx, c, func(address string) (Answer, error) { return call.attempt(ctx, address) })
	if err == nil {
		return answer, nil
	}
	return Answer{}, call.outcome(err)
}

// requestCall is one Request over all its attempts.
type requestCall struct {
	client  *Client
	request Request
	// open is the first fault that left the outcome open.
	open error
}

func (rc *requestCall) attempt(ctx context.Context, address string) (Answer, error) {
	left := DefaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if limit := rc.client.options.Attempt; limit > 0 && limit < left {
		left = limit
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := rc.client.exchange(ctx, address, rc.message(left))
	if err != nil {
		return Answer{}, rc.failed(err)
	}
	return rc.judge(r)
}

func (rc *requestCall) message(left time.Duration) message {
	header := http.Header{}
	header.Set(csapi.TeamHeader, string(rc.client.options.Team))
	header.Set(csapi.TimeoutHeader, max(left, time.Millisecond).Round(time.Millisecond).String())
	header.Set(csapi.DigestHeader, csapi.Digest(rc.request.Body))
	if rc.request.Key != "" {
		header.Set(csapi.KeyHeader, string(rc.request.Key))
	}
	return message{
		method: http.MethodPost,
		path:   csapi.RequestsPath(rc.request.Job),
		header: header,
		body:   rc.request.Body,
	}
}

func (rc *requestCall) failed(err error) error {
	if isUnsent(err) {
		return &NotRunError{Cause: err}
	}
	return rc.leaveOpen(err)
}

func (rc *requestCall) leaveOpen(err error) error {
	if rc.open == nil {
		rc.open = err
	}
	return &UnknownError{Cause: err}
}

// judge turns a response into an answer or an error. Errors that a repetition cannot change are marked permanent.
func (rc *requestCall) judge(r reply) (Answer, error) {
	if key := r.header.Get(csapi.KeyHeader); key != "" && key != string(rc.request.Key) {
		return Answer{}, rc.leaveOpen(errKey)
	}
	switch csapi.Outcome(r.header.Get(csapi.OutcomeHeader)) {
	case csapi.Answer:
		if err := verify(r); err != nil {
			return Answer{}, rc.leaveOpen(err)
		}
		return Answer{Status: r.status, Body: r.body, Header: r.header, Key: rc.request.Key}, nil
	case csapi.NotRun:
		err := rc.client.notRun(r)
		if !retryable(r.status) {
			return Answer{}, permanent(err)
		}
		return Answer{}, err
	case csapi.Unknown:
		rc.client.dropKeys()
		return Answer{}, permanent(rc.leaveOpen(r.problem()))
	default:
		return Answer{}, rc.leaveOpen(errNoOutcome)
	}
}

// retryable tells whether another node or a later time can change a refusal.
func retryable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (rc *requestCall) outcome(err error) error {
	if rc.open != nil {
		return &UnknownError{Cause: rc.open}
	}
	return err
}
