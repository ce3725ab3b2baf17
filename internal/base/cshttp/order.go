package cshttp

import "time"

// phase tells what a connection waits for.
type phase uint8

const (
	inHandler  phase = iota // its request is complete, or its answer on the way; never closed for the sake of others
	idle                    // its next request
	header                  // the rest of its first header
	unfinished              // the rest of a body
	refused                 // the end of a request that was refused
	phases
)

// order holds the connections of each phase, the one first that has been in it, or without progress in it, for the longest time.
// Connections link themselves, so that a change of phase allocates nothing.
type order struct {
	first, last [phases]*conn
}

func (o *order) remove(c *conn) {
	if c.phase == inHandler {
		return
	}
	if c.before != nil {
		c.before.after = c.after
	} else {
		o.first[c.phase] = c.after
	}
	if c.after != nil {
		c.after.before = c.before
	} else {
		o.last[c.phase] = c.before
	}
	c.before, c.after, c.phase = nil, nil, inHandler
}

// move puts a connection last in a phase.
func (o *order) move(c *conn, to phase, now time.Time) {
	o.remove(c)
	c.phase, c.since = to, now
	if to == inHandler {
		return
	}
	c.before = o.last[to]
	if c.before != nil {
		c.before.after = c
	} else {
		o.first[to] = c
	}
	o.last[to] = c
}

// stalled returns the body without progress for the longest time, at least stalledTime, or nil. With large it is a large one.
func (o *order) stalled(now time.Time, large bool) *conn {
	for c := o.first[unfinished]; c != nil && now.Sub(c.since) >= stalledTime; c = c.after {
		if c.large || !large {
			return c
		}
	}
	return nil
}

// victim returns the connection that has to go for a new one, or nil. An idle connection loses nothing. A header needs no least
// time: a client that sends its request at once is never the oldest one for long.
func (o *order) victim(now time.Time) (*conn, Reason) {
	if c := o.first[idle]; c != nil {
		return c, ReasonIdle
	}
	if c := o.stalled(now, false); c != nil {
		return c, ReasonBody
	}
	if c := o.first[refused]; c != nil {
		return c, ReasonHeader
	}
	if c := o.first[header]; c != nil {
		return c, ReasonHeader
	}
	return nil, 0
}
