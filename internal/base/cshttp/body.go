package cshttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Errors of this package. Test with errors.Is.
var (
	ErrTooLarge = errors.New("cshttp: body too large")
	ErrNoMemory = errors.New("cshttp: no free memory for the body")
	ErrTimeout  = errors.New("cshttp: body without progress")
	ErrClosed   = errors.New("cshttp: connection closed")
)

const (
	firstRead = 4 << 10 // bytes of the first buffer of a body of unknown length
	// retryAfter is what refused clients are told: stalled bodies are closed after a second.
	retryAfter = time.Second
	// drainTime and drainBytes bound what is read of a refused body. A connection that is closed with unread bytes is reset, and
	// the client loses the answer.
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
)

// ReadBody reads the body of a request, at most limit bytes. Memory is reserved before it is used, and returned when the handler
// has returned.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	if r.ContentLength > limit {
		return nil, c.tooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = min(firstRead, limit)
	}
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	d := reader{conn: c, body: r.Body, announced: r.ContentLength, limit: limit}
	return d.all(make([]byte, 0, size))
}

// reader reads a body.
type reader struct {
	conn      *conn
	body      io.Reader
	announced int64 // -1 if unknown
	limit     int64
}

func (d *reader) all(b []byte) ([]byte, error) {
	d.conn.startBody()
	var scratch []byte
	for {
		// A full buffer grows only when there is more: most bodies end with it.
		into := b[len(b):cap(b)]
		if len(into) == 0 {
			if scratch == nil {
				scratch = make([]byte, 1)
			}
			into = scratch
		}
		n, err := d.body.Read(into)
		if n > 0 && cap(b) > len(b) {
			b = b[:len(b)+n]
		} else if n > 0 {
			grown, err := d.grow(b)
			if err != nil {
				return nil, err
			}
			b = append(grown, scratch[0])
		}
		switch {
		case errors.Is(err, io.EOF):
			d.conn.endBody()
			return b, nil
		case err != nil:
			return nil, d.conn.broken(err)
		case n > 0:
			d.conn.progress(n)
		}
	}
}

// grow returns a buffer of twice the size.
func (d *reader) grow(b []byte) ([]byte, error) {
	if int64(len(b)) >= d.limit {
		return nil, d.conn.tooLarge()
	}
	size := min(max(2*int64(cap(b)), firstRead), d.limit)
	if err := d.conn.reserve(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), b...), nil
}

// Reserve reserves memory for the decoding of a body, besides what was reserved to read it.
func Reserve(r *http.Request, size int, more int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	return c.pool.reserve(c, Cost(int64(size))+more, int64(size) > SmallBody)
}

// Refuse answers a request whose body was not taken, says why, and closes the connection. The request has not been handed on.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTimeout):
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		status = http.StatusServiceUnavailable
		h.Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	w.WriteHeader(status)
	if c := connOf(r); c != nil {
		c.drain(w, r)
	}
}

// drain lets the client read the answer before its connection is closed.
func (c *conn) drain(w http.ResponseWriter, r *http.Request) {
	c.pool.mu.Lock()
	c.pool.release(c)
	c.pool.mu.Unlock()
	c.pool.move(c, refused)
	_ = c.SetReadDeadline(time.Now().Add(c.pool.drainTime)) // a closed connection ends the next read anyway
	if http.NewResponseController(w).Flush() != nil || r.Header.Get("Expect") != "" {
		return // a client that waits for "100 Continue" sends nothing more
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}

func (c *conn) reserve(n int64) error {
	if c == nil {
		return nil
	}
	return c.pool.reserve(c, Cost(n), n > SmallBody)
}

func (c *conn) tooLarge() error {
	if c != nil {
		c.pool.mu.Lock()
		c.pool.count(ReasonSize)
		c.pool.mu.Unlock()
	}
	return ErrTooLarge
}

// startRequest bounds the time in which something of the request's body has to come, also where no handler reads it.
func (c *conn) startRequest(r *http.Request) {
	if c == nil {
		return
	}
	if r.ContentLength == 0 {
		c.pool.move(c, inHandler)
		return
	}
	c.pool.move(c, unfinished)
	_ = c.SetReadDeadline(time.Now().Add(c.pool.bodyIdle)) // a closed connection ends the next read anyway
}

func (c *conn) startBody() {
	if c != nil {
		c.bodyEnd = time.Now().Add(c.pool.bodyTime)
	}
}

// progress notes that bytes of the body have come.
func (c *conn) progress(n int) {
	if c == nil {
		return
	}
	if c.fresh += n; c.fresh >= progressStep {
		c.fresh = 0
		c.pool.move(c, unfinished)
	}
	until := time.Now().Add(c.pool.bodyIdle)
	if until.After(c.bodyEnd) {
		until = c.bodyEnd
	}
	_ = c.SetReadDeadline(until) // a closed connection ends the next read anyway
}

func (c *conn) endBody() {
	if c == nil {
		return
	}
	c.pool.move(c, inHandler)
	_ = c.SetReadDeadline(time.Time{}) // a closed connection ends the next read anyway
}

// broken returns the error of a body that did not come to its end.
func (c *conn) broken(err error) error {
	if c == nil {
		return err
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.pool.mu.Lock()
		c.pool.count(ReasonTime)
		c.pool.mu.Unlock()
		return ErrTimeout
	}
	return errors.Join(ErrClosed, err)
}
