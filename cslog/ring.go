package cslog

import (
	"fmt"
	"io"
	"sync"
)

// Ring writes lines to an output that may block, without ever blocking its callers. Lines that do not fit are dropped
// and counted. Use NewRing.
type Ring struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped uint64
}

// NewRing returns a ring that holds a number of lines.
func NewRing(out io.Writer, lines int) *Ring {
	r := &Ring{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go r.write()
	return r
}

// Write implements io.Writer. It always succeeds.
func (r *Ring) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(b), nil
	}
	select {
	case r.lines <- append([]byte(nil), b...):
	default:
		r.dropped++
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close writes the lines that wait and stops.
func (r *Ring) Close() {
	r.mu.Lock()
	first := !r.closed
	r.closed = true
	r.mu.Unlock()
	if first {
		close(r.lines)
		<-r.done
	}
}

// write copies lines to the output, several with one call where they wait, and reports what was dropped.
func (r *Ring) write() {
	defer close(r.done)
	var reported uint64
	for line := range r.lines {
		for n := len(r.lines); n > 0; n-- {
			line = append(line, <-r.lines...)
		}
		if d := r.Dropped(); d > reported {
			line = fmt.Appendf(line, "level=warn event=\"log lines dropped\" count=%d\n", d-reported)
			reported = d
		}
		// There is nowhere left to report a failure of the log output.
		_, _ = r.out.Write(line)
	}
}
