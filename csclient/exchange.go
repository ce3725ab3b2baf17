package csclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

// message is one HTTP request of the client.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// sendError is the failure of an exchange. sent is false where no byte of the request can have reached the node.
type sendError struct {
	sent  bool
	cause error
}

func (e *sendError) Error() string { return e.cause.Error() }

func (e *sendError) Unwrap() error { return e.cause }

// exchange sends a message to one node and reads the complete response.
func (c *Client) exchange(ctx context.Context, address string, m message) (reply, error) {
	if err := context.Cause(ctx); err != nil {
		return reply{}, &sendError{cause: err}
	}
	r, err := http.NewRequestWithContext(ctx, m.method, "http://"+address+m.path, bytes.NewReader(m.body))
	if err != nil {
		return reply{}, &sendError{cause: err}
	}
	r.Header = m.header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	hideKey(r)
	response, err := c.http.Do(r)
	if err != nil {
		return reply{}, &sendError{sent: !isDialError(err), cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse+1))
	if err == nil && len(body) > maxResponse {
		err = errTooLarge
	}
	if err != nil {
		return reply{}, &sendError{sent: true, cause: err}
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, nil
}

// hideKey keeps the transport from resending requests on its own, which it does where it finds an Idempotency-Key or can
// obtain the body again. A hidden resend would hide an attempt whose outcome is open. Header names are the same in any
// case to the node, but the transport looks for the canonical one.
func hideKey(r *http.Request) {
	r.GetBody = nil
	if key := r.Header.Get(csapi.KeyHeader); key != "" {
		r.Header.Del(csapi.KeyHeader)
		r.Header[strings.ToLower(csapi.KeyHeader)] = []string{key}
	}
}

// maxResponse bounds every response. Status and dump of a full-size installation are larger than an answer.
const maxResponse = 16 << 20

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// problem returns the problem in the body of an error response.
func (r reply) problem() *ProblemError {
	var p csapi.Problem
	if r.hasType(csapi.ProblemType) && json.Unmarshal(r.body, &p) == nil {
		p.Status = r.status
		return &ProblemError{Problem: p}
	}
	return &ProblemError{Problem: csapi.NewProblem(r.status, "", "")}
}

// hasType tells whether the body has a media type, with or without parameters.
func (r reply) hasType(want string) bool {
	got, _, err := mime.ParseMediaType(r.header.Get(csapi.TypeHeader))
	return err == nil && got == want
}

// retryAfter returns the delay of the Retry-After header, which is a number of seconds or a date.
func (r reply) retryAfter(now time.Time) time.Duration {
	text := r.header.Get(csapi.RetryHeader)
	if seconds, err := strconv.Atoi(text); err == nil {
		return max(0, time.Duration(seconds)*time.Second)
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

func (c *Client) notRun(r reply) *NotRunError {
	return &NotRunError{RetryAfter: r.retryAfter(c.options.Clock.Now()), Cause: r.problem()}
}

// verify checks that the body of an answer is complete and unchanged.
func verify(r reply) error {
	length, err := strconv.Atoi(r.header.Get("Content-Length"))
	if err != nil || length != len(r.body) {
		return errNoLength
	}
	if length > csapi.MaxBody {
		return errTooLarge
	}
	matches, supported := csapi.CheckDigest(r.header.Get(csapi.DigestHeader), r.body)
	if !supported {
		return errNoDigest
	}
	if !matches {
		return errDigest
	}
	return nil
}
