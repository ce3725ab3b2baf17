package cslink

import (
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// tick is the unit of the times in heartbeats. 16 bits of it span 6.5 s, more than any silence that is tolerated.
	tick = 100 * time.Microsecond
	// ackDelay bounds how long a received message stays unacknowledged when nothing is sent back.
	ackDelay = 200 * time.Millisecond
	// ackMessages and ackBytes are received before an acknowledgement is sent at once, so that the sender's queue drains.
	ackMessages = 32
	ackBytes    = 64 << 10
	// outage is the time without a socket after which the queue is limited to outageQueue: with 19 peers and two
	// channels, full queues of unreachable peers would exceed the memory limit of a node.
	outage      = 3 * time.Second
	outageQueue = 256 << 10
	// rttWeight is the divisor of the moving average of round-trip times.
	rttWeight = 8
)

// life identifies one run of a peer's process. The instance tells runs apart that share an incarnation.
type life struct {
	incarnation csmodel.Incarnation
	instance    uint64
}

// core decides for one channel to one peer: sequence numbers, acknowledgements, resends, heartbeats and the deadline of
// silence. It is deterministic: callers pass the time, and bytes are moved elsewhere.
type core struct {
	heartbeat time.Duration
	silence   time.Duration

	queue    queue
	peer     life
	received uint64 // last sequence number received from this life of the peer

	connected bool
	start     time.Time // of the current socket
	heard     time.Time
	lost      time.Time // end of the last socket
	beatAt    time.Time // next heartbeat is due
	ackAt     time.Time // acknowledgement is due; zero where none is owed
	messages  int       // received since the last acknowledgement
	bytes     int
	echo      uint16
	echoAt    time.Time
	rtt       time.Duration

	resent, dropped, superseded, duplicates uint64
}

func newCore(now time.Time, heartbeat, silence time.Duration) core {
	return core{heartbeat: heartbeat, silence: silence, lost: now}
}

// push queues a message.
func (c *core) push(now time.Time, kind Kind, payload []byte, key string) error {
	limit := MaxQueue
	if !c.connected && now.Sub(c.lost) >= outage {
		limit = outageQueue
	}
	replaced, err := c.queue.push(&item{kind: kind, payload: payload, key: key}, limit)
	if err != nil {
		c.dropped++
		return err
	}
	if replaced {
		c.superseded++
	}
	return nil
}

// admit checks that a peer's life is not older than one that is known.
func (c *core) admit(peer life) error {
	if peer.incarnation < c.peer.incarnation {
		return ErrStale
	}
	return nil
}

// receivedFrom returns the last sequence number received from a life of the peer.
func (c *core) receivedFrom(peer life) uint64 {
	if peer != c.peer {
		return 0
	}
	return c.received
}

// attach starts a new socket; an earlier one has been detached. received is the last sequence number that the peer has from this node. Messages with a
// higher number are written again. What was written to an earlier life of the peer is dropped: that life may have
// acted on it, and a message is never delivered twice.
func (c *core) attach(now time.Time, peer life, received uint64) error {
	if peer != c.peer {
		c.peer = peer
		c.received = 0
		c.dropped += uint64(c.queue.forget())
	}
	if err := c.queue.acknowledge(received); err != nil {
		return fmt.Errorf("%w: acknowledges message %d of %d", err, received, c.queue.sequence)
	}
	c.connected = true
	c.start = now
	c.heard = now
	c.beatAt = now
	c.acknowledged()
	c.echo = 0
	return nil
}

// detach ends the current socket.
func (c *core) detach(now time.Time) {
	c.connected = false
	c.lost = now
	c.queue.written = 0
}

// listen records when the last byte arrived.
func (c *core) listen(at time.Time) {
	if at.After(c.heard) {
		c.heard = at
	}
}

// silent tells whether the current socket has to be replaced.
func (c *core) silent(now time.Time) bool {
	return c.connected && now.Sub(c.heard) >= c.silence
}

// due tells whether next would return a frame.
func (c *core) due(now time.Time) bool {
	return c.connected && (c.beatDue(now) || c.queue.pending())
}

func (c *core) beatDue(now time.Time) bool {
	return !now.Before(c.beatAt) || !c.ackAt.IsZero() && !now.Before(c.ackAt)
}

// next returns the frame to write next, or nil. A heartbeat goes before queued messages.
func (c *core) next(now time.Time) frame {
	if !c.connected {
		return nil
	}
	if c.beatDue(now) {
		return c.beat(now)
	}
	c.superseded += uint64(c.queue.skip())
	it, again := c.queue.next()
	if it == nil {
		return nil
	}
	if again {
		c.resent++
	}
	c.acknowledged()
	return message{Ack: c.received, Sequence: it.sequence, Kind: it.kind, Payload: it.payload}
}

func (c *core) beat(now time.Time) beat {
	c.beatAt = now.Add(c.heartbeat)
	b := beat{Ack: c.received, Stamp: ticks(now.Sub(c.start)), Echo: c.echo}
	if c.echo != 0 {
		b.Held = uint16(min(now.Sub(c.echoAt)/tick, 1<<16-1))
	}
	c.echo = 0
	c.acknowledged()
	return b
}

// acknowledged records that an acknowledgement has been sent.
func (c *core) acknowledged() {
	c.ackAt = time.Time{}
	c.messages = 0
	c.bytes = 0
}

// receive handles a frame and tells whether its payload is to be delivered.
func (c *core) receive(now time.Time, f frame) (bool, error) {
	c.listen(now)
	switch f := f.(type) {
	case beat:
		c.measure(now, f)
		return false, c.acknowledge(f.Ack)
	case message:
		if err := c.acknowledge(f.Ack); err != nil {
			return false, err
		}
		return c.number(now, f), nil
	default:
		return false, ErrProtocol
	}
}

func (c *core) acknowledge(sequence uint64) error {
	if err := c.queue.acknowledge(sequence); err != nil {
		return fmt.Errorf("%w: acknowledges message %d of %d", err, sequence, c.queue.sequence)
	}
	return nil
}

// number checks the sequence number of a message. Numbers may be missing where the sender superseded a message.
func (c *core) number(now time.Time, m message) bool {
	c.messages++
	c.bytes += len(m.Payload)
	if c.ackAt.IsZero() {
		c.ackAt = now.Add(ackDelay)
	}
	if c.messages >= ackMessages || c.bytes >= ackBytes {
		c.ackAt = now
	}
	if m.Sequence <= c.received {
		c.duplicates++
		return false
	}
	c.received = m.Sequence
	return true
}

// measure updates the round-trip time from a heartbeat.
func (c *core) measure(now time.Time, b beat) {
	c.echo = b.Stamp
	c.echoAt = now
	if b.Echo == 0 {
		return
	}
	// The difference wraps like the stamps; rounding can make it slightly negative.
	elapsed := max(0, int16(ticks(now.Sub(c.start))-b.Echo-b.Held))
	sample := time.Duration(elapsed) * tick
	if c.rtt == 0 {
		c.rtt = sample
		return
	}
	c.rtt += (sample - c.rtt) / rttWeight
}

// ticks converts a time since the start of a socket to a stamp, which is never 0.
func ticks(d time.Duration) uint16 {
	return max(1, uint16(d/tick))
}
