package csfake

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipstream.example/cowslipstream/csdispatch"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxRunBody = 1 << 20
	// lateness is the time after the timeout of an attempt at which FaultLate answers.
	lateness = 50 * time.Millisecond
)

// BodyID returns the identity in the body of a request: its first line.
func BodyID(body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line)
}

// run executes an attempt.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRunBody))
	if err != nil {
		t.refuse(w, r, http.StatusConflict, 0)
		return
	}
	l, f, status := t.admit(r)
	if status != 0 {
		t.refuse(w, r, status, l.incarnation)
		return
	}
	defer t.leaveSlot(l)
	id := BodyID(body)
	t.config.Ledger.start(id)
	service := t.config.Service(csmodel.JobID(r.Header.Get(csdispatch.HeaderJob)))
	if f == FaultLate {
		service += lateness + timeoutOf(r)
	}
	select {
	case <-t.config.Clock.After(service):
	case <-l.ctx.Done():
		abort(w)
		return
	}
	t.answer(w, r, l, f, []byte(id+"\nanswer"))
}

// admit takes a slot or returns the status of the refusal.
func (t *Target) admit(r *http.Request) (*life, Fault, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.life
	switch {
	case r.Header.Get(csdispatch.HeaderIncarnation) != strconv.FormatUint(uint64(l.incarnation), 10):
		return l, t.fault, http.StatusConflict
	case l.leaving || t.down:
		return l, t.fault, http.StatusServiceUnavailable
	case l.busy >= t.config.Slots:
		return l, t.fault, http.StatusTooManyRequests
	default:
		l.busy++
		return l, t.fault, 0
	}
}

func (t *Target) leaveSlot(l *life) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.busy--
	if l.leaving && l.busy == 0 {
		t.announceNow()
	}
}

func timeoutOf(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(csdispatch.HeaderTimeout))
	if err != nil {
		return 0
	}
	return d
}

// refuse answers an attempt that was not started.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, status int, i csmodel.Incarnation) {
	t.refused.Add(1)
	h := w.Header()
	h.Set(csdispatch.HeaderAttempt, r.Header.Get(csdispatch.HeaderAttempt))
	h.Set(csdispatch.HeaderIncarnation, strconv.FormatUint(uint64(i), 10))
	h.Set(csdispatch.HeaderStarted, "false")
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// answer sends the response of an attempt that was run, as the fault says.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, l *life, f Fault, body []byte) {
	switch f {
	case FaultSilent:
		<-l.ctx.Done()
		abort(w)
		return
	case FaultTruncate:
		raw(w, header(r, l, body), body[:len(body)/2], 1)
		return
	case FaultTwice:
		raw(w, header(r, l, body), body, 2)
		return
	default:
	}
	h := w.Header()
	h.Set(csdispatch.HeaderAttempt, r.Header.Get(csdispatch.HeaderAttempt))
	h.Set(csdispatch.HeaderIncarnation, strconv.FormatUint(uint64(l.incarnation), 10))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f == FaultFail {
		h.Set(csdispatch.HeaderDigest, csdispatch.Digest(nil))
		w.WriteHeader(http.StatusInternalServerError)
	} else {
		h.Set(csdispatch.HeaderDigest, csdispatch.Digest(body))
	}
	_, _ = w.Write(body) // the caller may have gone
}

// header returns the header of a response that is written without the HTTP server.
func header(r *http.Request, l *life, body []byte) string {
	var h strings.Builder
	fmt.Fprintf(&h, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n", len(body))
	fmt.Fprintf(&h, "%s: %s\r\n", csdispatch.HeaderAttempt, r.Header.Get(csdispatch.HeaderAttempt))
	fmt.Fprintf(&h, "%s: %d\r\n", csdispatch.HeaderIncarnation, l.incarnation)
	fmt.Fprintf(&h, "%s: %s\r\n\r\n", csdispatch.HeaderDigest, csdispatch.Digest(body))
	return h.String()
}

// raw writes a response a number of times and closes the connection.
func raw(w http.ResponseWriter, header string, body []byte, times int) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range times {
		_, _ = buffer.WriteString(header)
		_, _ = buffer.Write(body)
	}
	_ = buffer.Flush() // the caller may have gone
}

// abort closes the connection without a response.
func abort(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}
