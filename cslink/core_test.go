package cslink

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fataler is what testing.TB and rapid.T have in common.
type fataler interface{ Fatal(...any) }

// end is one side of a simulated link.
type end struct {
	core
	life      life
	sent      []string // keyless texts, in order
	state     string   // last text with the key
	delivered []string
	wire      []frame // written by this end and not yet received by the other
}

// pair is a simulated link whose sockets lose what is on the wire when they are cut.
type pair struct {
	now  time.Time
	ends [2]*end
	next int
}

func newPair() *pair {
	p := &pair{now: time.Unix(1000, 0)}
	for i := range p.ends {
		p.ends[i] = p.start(life{incarnation: 1, instance: uint64(i)})
	}
	return p
}

func (p *pair) start(l life) *end {
	return &end{core: newCore(p.now, defaultHeartbeat, defaultSilence), life: l}
}

func (p *pair) cut() {
	for _, e := range p.ends {
		e.detach(p.now)
		e.wire = nil
	}
}

func (p *pair) connect(t *rapid.T) {
	a, b := p.ends[0], p.ends[1]
	late := a.wire
	p.cut()
	ra, rb := a.receivedFrom(b.life), b.receivedFrom(a.life)
	// The accepting end still receives from the earlier socket until the new one is attached.
	a.wire = late[:rapid.IntRange(0, len(late)).Draw(t, "late")]
	p.read(t, 0, len(late))
	p.attach(t, ra, rb)
}

func (p *pair) attach(t fataler, ra, rb uint64) {
	a, b := p.ends[0], p.ends[1]
	if err := errors.Join(a.attach(p.now, b.life, rb), b.attach(p.now, a.life, ra)); err != nil {
		t.Fatal(err)
	}
}

// write puts up to n frames of an end on the wire.
func (p *pair) write(i, n int) {
	for e := p.ends[i]; n > 0; n-- {
		f := e.next(p.now)
		if f == nil {
			return
		}
		e.wire = append(e.wire, f)
	}
}

// read lets the other end receive up to n frames.
func (p *pair) read(t fataler, i, n int) {
	from, to := p.ends[i], p.ends[1-i]
	for ; n > 0 && len(from.wire) > 0; n-- {
		f := from.wire[0]
		from.wire = from.wire[1:]
		fresh, err := to.receive(p.now, f)
		if err != nil {
			t.Fatal(err)
		}
		if fresh {
			to.delivered = append(to.delivered, string(f.(message).Payload))
		}
	}
}

func (p *pair) push(t *rapid.T, i int, keyed bool) {
	e := p.ends[i]
	p.next++
	text, key := strconv.Itoa(p.next), ""
	if keyed {
		text, key = "state "+text, "state"
		e.state = text
	} else {
		e.sent = append(e.sent, text)
	}
	if err := e.push(p.now, 1, []byte(text), key); err != nil {
		t.Fatal(err)
	}
}

// check compares what an end sent with what the other one received.
func (p *pair) check(t *rapid.T, i int) {
	var got []string
	last := ""
	for _, text := range p.ends[1-i].delivered {
		if strings.HasPrefix(text, "state") {
			last = text
		} else {
			got = append(got, text)
		}
	}
	if want := p.ends[i].sent; !slices.Equal(got, want) {
		t.Fatalf("end %d: delivered %v, want %v", i, got, want)
	}
	if want := p.ends[i].state; last != want {
		t.Fatalf("end %d: last state %q, want %q", i, last, want)
	}
}

// Guards against loss, repetition and reordering for any sequence of cuts, and against state that stays old.
func TestCoreDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		side := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"push":    func(t *rapid.T) { p.push(t, side.Draw(t, "side"), rapid.Bool().Draw(t, "keyed")) },
			"write":   func(t *rapid.T) { p.write(side.Draw(t, "side"), rapid.IntRange(1, 5).Draw(t, "frames")) },
			"read":    func(t *rapid.T) { p.read(t, side.Draw(t, "side"), rapid.IntRange(1, 5).Draw(t, "frames")) },
			"cut":     func(*rapid.T) { p.cut() },
			"connect": p.connect,
			"wait":    func(*rapid.T) { p.now = p.now.Add(ackDelay) },
		})
		p.connect(t)
		for range 3 {
			p.now = p.now.Add(defaultHeartbeat)
			for i := range p.ends {
				p.write(i, 1<<20)
				p.read(t, i, 1<<20)
			}
		}
		for i, e := range p.ends {
			p.check(t, i)
			if n := e.queue.bytes; n != 0 || len(e.queue.keys) != 0 {
				t.Fatalf("end %d: %d bytes stay queued after acknowledgement", i, n)
			}
		}
	})
}

// Guards against messages that reach two lives of a peer, and against a new life whose messages are taken for
// repetitions.
func TestCoreRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		seen := map[string]bool{}
		for incarnation := 2; incarnation < 6; incarnation++ {
			p.connect(t)
			for range rapid.IntRange(0, 8).Draw(t, "messages") {
				p.push(t, 0, false)
				p.push(t, 1, false)
			}
			p.write(0, rapid.IntRange(0, 9).Draw(t, "written"))
			p.read(t, 0, rapid.IntRange(0, 9).Draw(t, "read"))
			p.write(1, 100)
			p.read(t, 1, 100)
			p.check(t, 1)
			for _, text := range p.ends[1].delivered {
				if seen[text] {
					t.Fatalf("message %s reached two lives", text)
				}
				seen[text] = true
			}
			p.cut()
			p.ends[0].delivered = nil
			// Some restarts keep the incarnation, as a data directory does.
			p.ends[1] = p.start(life{incarnation: p.ends[1].life.incarnation, instance: uint64(incarnation)})
		}
	})
}

// Guards against old state that is delivered although newer state was queued before it could be written (again).
func TestCoreSupersede(t *testing.T) {
	tests := []struct {
		name    string
		written int  // frames written before the newer state is queued
		cut     bool // the frames written are lost
		want    string
	}{
		{"not written", 1, false, "2 other"}, // the first frame is a heartbeat
		{"written and lost", 2, true, "other 2"},
		{"written", 2, false, "1 other 2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair()
			a, b := p.ends[0], p.ends[1]
			p.attach(t, 0, 0)
			push := func(text, key string) {
				if err := a.push(p.now, 1, []byte(text), key); err != nil {
					t.Fatal(err)
				}
			}
			push("1", "state")
			push("other", "")
			p.write(0, tt.written)
			push("2", "state")
			if tt.cut {
				p.cut()
				p.attach(t, 0, 0)
			}
			p.write(0, 10)
			p.read(t, 0, 10)
			if got := strings.Join(b.delivered, " "); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a message that is delivered after its sender has withdrawn it, and against others that are lost with it.
func TestCoreWithdraw(t *testing.T) {
	tests := []struct {
		name    string
		written int    // frames written before the message is withdrawn
		cut     string // when the socket is lost: before or after the withdrawal, or never
		want    string
	}{
		{"not written", 1, "", "other"}, // the first frame is a heartbeat
		{"not written, then cut", 1, "after", "other"},
		{"written, then cut", 2, "after", "other"},
		{"cut before it is written", 1, "before", "other"},
		{"cut after it is written", 2, "before", "other"},
		{"written", 2, "", "call other"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair()
			a, b := p.ends[0], p.ends[1]
			p.attach(t, 0, 0)
			for _, text := range []string{"call", "other"} {
				if err := a.push(p.now, 1, []byte(text), text); err != nil {
					t.Fatal(err)
				}
			}
			p.write(0, tt.written)
			if tt.cut == "before" {
				p.cut()
			}
			a.queue.withdraw("call")
			if tt.cut == "after" {
				p.cut()
			}
			if tt.cut != "" {
				p.attach(t, 0, 0)
			}
			p.write(0, 10)
			p.read(t, 0, 10)
			if got := strings.Join(b.delivered, " "); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			p.write(1, 10)
			p.read(t, 1, 10)
			if a.queue.bytes != 0 || len(a.queue.keys) != 0 {
				t.Errorf("got %d bytes and %d keys queued, want none", a.queue.bytes, len(a.queue.keys))
			}
		})
	}
}

// Guards against late detection of silence, a wrong round-trip time and heartbeats that are late or too many.
func TestCoreHeartbeats(t *testing.T) {
	p := newPair()
	a := p.ends[0]
	const delay = 3 * time.Millisecond
	beats := 0
	p.attach(t, 0, 0)
	end := p.now.Add(10 * time.Second)
	for ; p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		for i, e := range p.ends {
			for f := e.next(p.now); f != nil; f = e.next(p.now) {
				beats++
				if _, err := p.ends[1-i].receive(p.now.Add(delay), f); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if want := 40; beats != want {
		t.Errorf("got %d heartbeats in 10s of both ends, want %d", beats, want)
	}
	if want := 2 * delay; a.rtt < want-tick || a.rtt > want+tick {
		t.Errorf("got round-trip time %v, want %v", a.rtt, want)
	}
	heard := a.heard
	if a.silent(heard.Add(defaultSilence - 1)) {
		t.Error("silent before the deadline")
	}
	if !a.silent(heard.Add(defaultSilence)) {
		t.Error("not silent at the deadline")
	}
}

// Guards against queues that grow without bound, in general and for peers that stay away.
func TestCoreQueueLimit(t *testing.T) {
	const size = 64 << 10
	tests := []struct {
		name  string
		after time.Duration
		limit int
	}{
		{"short outage", outage - 1, MaxQueue},
		{"long outage", outage, outageQueue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair()
			e := p.ends[0]
			accepted := 0
			for e.push(p.now.Add(tt.after), 1, make([]byte, size), "") == nil {
				accepted++
			}
			if want := tt.limit / (size + itemOverhead); accepted != want {
				t.Errorf("accepted %d messages, want %d", accepted, want)
			}
			if e.dropped != 1 {
				t.Errorf("counted %d dropped, want 1", e.dropped)
			}
			for range 100 {
				_ = e.push(p.now, 1, make([]byte, size-10), "state")
			}
			if e.queue.bytes > MaxQueue {
				t.Errorf("queue holds %d bytes", e.queue.bytes)
			}
		})
	}
}

// Guards against an acknowledgement of messages that were never sent.
func TestCoreAcknowledgesTooMuch(t *testing.T) {
	p := newPair()
	a, b := p.ends[0], p.ends[1]
	if err := a.attach(p.now, b.life, 1); !errors.Is(err, ErrProtocol) {
		t.Errorf("attach: got %v, want %v", err, ErrProtocol)
	}
	if _, err := a.receive(p.now, beat{Ack: 1}); !errors.Is(err, ErrProtocol) {
		t.Errorf("receive: got %v, want %v", err, ErrProtocol)
	}
}
