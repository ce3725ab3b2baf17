package cslink

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csmodel"
)

// proxied is a pair of nodes whose connections pass through the first of two proxies.
type proxied struct {
	clock *clockwork.FakeClock
	a, b  *node
}

// cut puts the given faults on the proxy of the open connections. New connections pass through another proxy.
func cut(t *testing.T, streams ...string) proxied {
	clock := clockwork.NewFakeClock()
	la, lb := listen(t), listen(t)
	p := proxies(t, 2, lb.Addr().String())
	b := run(t, Options{Self: "b", Listener: lb, Clock: clock}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la, Clock: clock}, "b", p[0].Listen)
	connected(t, 1, a, b)
	idle(t, clock, 2*settled, a, b)
	if err := a.SetAddress("b", p[1].Listen); err != nil {
		t.Fatal(err)
	}
	for _, s := range streams {
		inject(t, p[0], "timeout", s, `{"timeout":0}`)
	}
	return proxied{clock: clock, a: a, b: b}
}

// ended tells whether the first sockets of both channels have been given up by the node.
func (n *node) ended(first [channels]*socket) bool {
	for _, s := range first {
		select {
		case <-s.done:
		default:
			return false
		}
	}
	return true
}

func (n *node) current(peer csmodel.NodeID) [channels]*socket {
	var out [channels]*socket
	for i, k := range n.peers[peer].links {
		k.mu.Lock()
		out[i] = k.socket
		k.mu.Unlock()
	}
	return out
}

// Guards against connections that go silent for good while new ones work (F10), in both directions or in one, and
// against loss, repetition or reordering of what was sent meanwhile.
func TestSilentConnection(t *testing.T) {
	tests := []struct {
		name    string
		streams []string
	}{
		{"both directions", []string{"upstream", "downstream"}},
		{"towards the acceptor", []string{"upstream"}},
		{"towards the dialer", []string{"downstream"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := cut(t, tt.streams...)
			start := p.clock.Now()
			sa, sb := p.a.current("b"), p.b.current("a")
			var wantA, wantB []string
			for i := range 5 {
				text := fmt.Sprint(i)
				wantA, wantB = append(wantA, "b:"+text), append(wantB, "a:"+text)
				p.a.send(t, "b", Control, 1, text)
				p.b.send(t, "a", Control, 1, text)
			}
			for !p.a.ended(sa) && !p.b.ended(sb) && p.clock.Since(start) < time.Minute {
				step(p.clock, p.a, p.b)
				// A direction that works carries heartbeats, which take no link time.
				time.Sleep(2 * time.Millisecond)
			}
			// The clock stands still: a new socket and the resent messages take no link time.
			connected(t, 2, p.a, p.b)
			eventually(t, "messages resent", func() bool {
				return len(p.a.received()) >= len(wantA) && len(p.b.received()) >= len(wantB)
			})
			if got := p.clock.Since(start); got >= 2*time.Second {
				t.Errorf("replaced after %v, want under 2s", got)
			} else {
				t.Logf("replaced after %v", got)
			}
			if got := p.a.received(); !slices.Equal(got, wantA) {
				t.Errorf("a received %v, want %v", got, wantA)
			}
			if got := p.b.received(); !slices.Equal(got, wantB) {
				t.Errorf("b received %v, want %v", got, wantB)
			}
			eventually(t, "events", func() bool { return p.a.seen() == "+b1 -b +b1" })
		})
	}
}

// Guards against loss, repetition and reordering when connections are reset in the middle of frames, again and again.
func TestResets(t *testing.T) {
	const count = 4000
	la, lb := listen(t), listen(t)
	p := proxies(t, 1, lb.Addr().String())[0]
	// Each connection passes this many bytes in each direction, then it is closed.
	inject(t, p, "limit_data", "upstream", `{"bytes":20011}`)
	inject(t, p, "limit_data", "downstream", `{"bytes":20023}`)
	b := run(t, Options{Self: "b", Listener: lb}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la}, "b", p.Listen)
	want := make([]string, count)
	for i := range count {
		want[i] = fmt.Sprintf("%05d%s", i, strings.Repeat("x", i%90))
		a.send(t, "b", Control, 1, want[i])
		b.send(t, "a", Control, 1, want[i])
	}
	eventually(t, "all messages", func() bool { return len(a.received()) >= count && len(b.received()) >= count })
	for _, n := range []*node{a, b} {
		prefix := "a:"
		if n == a {
			prefix = "b:"
		}
		for i, got := range n.received() {
			if got != prefix+want[i] {
				t.Fatalf("%s message %d: got %q, want %q", n.options.Self, i, got, prefix+want[i])
			}
		}
	}
	s := a.Peers()[0].Channels[Control]
	if s.Sockets < 10 || s.Resent == 0 {
		t.Errorf("got %d sockets and %d resent messages, want repeated resets", s.Sockets, s.Resent)
	}
	t.Logf("sockets %d, resent %d, duplicates %d", s.Sockets, s.Resent, s.Duplicates)
}

// Guards against a node that joins without the secret, and against an error that hides why.
func TestWrongSecret(t *testing.T) {
	la, lb := listen(t), listen(t)
	b := run(t, Options{Self: "b", Listener: lb}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la, Secret: strings.Repeat("z", minSecret)}, "b", lb.Addr().String())
	eventually(t, "clear error", func() bool { return strings.Contains(a.Peers()[0].Error, ErrSecret.Error()) })
	eventually(t, "refusals", func() bool { return b.Refused() > 1 })
	if s := b.Peers()[0]; s.Connected || s.Sockets > 0 {
		t.Errorf("got status %+v, want no connection", s)
	}
}

// Guards against strangers that hold connections open to exhaust memory or to keep peers out.
func TestStrangers(t *testing.T) {
	la, lb := listen(t), listen(t)
	b := run(t, Options{Self: "b", Listener: lb}, "a", la.Addr().String())
	var open []net.Conn
	for range 3 * maxStrangers {
		c, err := net.Dial("tcp", lb.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	eventually(t, "strangers refused", func() bool { return b.Refused() > 0 })
	if got := b.listener.pending.Load(); got > maxStrangers {
		t.Errorf("got %d unauthenticated connections, want at most %d", got, maxStrangers)
	}
	a := run(t, Options{Self: "a", Listener: la}, "b", lb.Addr().String())
	connected(t, 1, a, b)
	for _, c := range open {
		c.Close()
	}
}

// Guards against a restarted peer whose messages are taken for repetitions, against messages to its earlier life that
// are delivered twice, and against the return of the earlier life.
func TestRestart(t *testing.T) {
	la, lb := listen(t), listen(t)
	a := run(t, Options{Self: "a", Listener: la}, "b", lb.Addr().String())
	b := run(t, Options{Self: "b", Listener: lb}, "a", la.Addr().String())
	a.send(t, "b", Control, 1, "1")
	b.send(t, "a", Control, 1, "1")
	eventually(t, "first life", func() bool { return len(a.received()) == 1 && len(b.received()) == 1 })
	b.close()
	eventually(t, "down", func() bool { return a.seen() == "+b1 -b" })
	a.send(t, "b", Control, 1, "2")
	next := listen(t)
	b = run(t, Options{Self: "b", Listener: next, Incarnation: 2}, "a", la.Addr().String())
	b.send(t, "a", Control, 1, "2")
	if err := a.SetAddress("b", next.Addr().String()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "second life", func() bool { return len(a.received()) == 2 && len(b.received()) == 1 })
	if got, want := b.received()[0], "a:2"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := a.seen(), "+b1 -b +b2"; got != want {
		t.Errorf("got events %q, want %q", got, want)
	}
	b.close()
	last := listen(t)
	run(t, Options{Self: "b", Listener: last, Incarnation: 1}, "a", la.Addr().String())
	if err := a.SetAddress("b", last.Addr().String()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "earlier life refused", func() bool {
		return strings.Contains(a.Peers()[0].Error, ErrStale.Error())
	})
}

// Guards against a handler whose panic ends the process or the delivery.
func TestHandlerPanic(t *testing.T) {
	la, lb := listen(t), listen(t)
	delivered := make(chan string, 1)
	run(t, Options{Self: "b", Listener: lb, Handle: func(_ csmodel.NodeID, kind Kind, payload []byte) {
		if kind == 1 {
			panic("fault in a handler")
		}
		delivered <- string(payload)
	}}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la}, "b", lb.Addr().String())
	for kind := range Kind(3) {
		a.send(t, "b", Data, kind, fmt.Sprint(kind))
	}
	for _, want := range []string{"0", "2"} {
		if got := <-delivered; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against a slow handler that makes its link look silent, lets received messages grow without bound, or blocks
// Close.
func TestSlowHandler(t *testing.T) {
	clock := clockwork.NewFakeClock()
	la, lb := listen(t), listen(t)
	held := make(chan struct{})
	b := run(t, Options{Self: "b", Listener: lb, Clock: clock,
		Handle: func(csmodel.NodeID, Kind, []byte) { <-held }}, "a", la.Addr().String())
	a := run(t, Options{Self: "a", Listener: la, Clock: clock}, "b", lb.Addr().String())
	for range 3 {
		a.send(t, "b", Data, 1, strings.Repeat("x", maxInbox-itemOverhead))
	}
	k := b.peers["a"].links[Data]
	paused := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.paused && k.inboxSize <= 2*maxInbox
	}
	eventually(t, "reader paused", paused)
	first := b.current("a")[Data]
	for range 3 * defaultSilence / paceInterval {
		step(clock, a, b)
		oldest := clock.Now().Add(-defaultHeartbeat)
		eventually(t, "heartbeats of b", func() bool { return a.quietest().After(oldest) })
	}
	select {
	case <-first.done:
		t.Errorf("the socket ended: %v", first.err)
	default:
	}
	if !paused() {
		t.Error("the reader does not wait")
	}
	ended := make(chan error)
	go func() { ended <- b.Close() }()
	eventually(t, "closing", func() bool { return b.Send("a", Data, 1, nil, "") != nil })
	close(held)
	<-ended
}

// Guards against heartbeats that use up the control budget of a node with 19 peers.
func TestIdleTraffic(t *testing.T) {
	const peers, limit, duration = 19, 6000.0, 10 * time.Second
	clock := clockwork.NewFakeClock()
	center := listen(t)
	o := Options{Self: "m", Listener: center, Clock: clock}
	var nodes []*node
	for i := range peers {
		// The names are on both sides of the center's, so that it dials some peers and accepts others.
		name := fmt.Sprintf("%c", 'd'+i)
		if name >= "m" {
			name += "2"
		}
		l := listen(t)
		o.Peers = append(o.Peers, Peer{Node: csmodel.NodeID(name), Address: l.Addr().String()})
		nodes = append(nodes, run(t, Options{Self: csmodel.NodeID(name), Listener: l, Clock: clock},
			"m", center.Addr().String()))
	}
	m := run(t, o)
	nodes = append(nodes, m)
	connected(t, 1, nodes...)
	idle(t, clock, 2*time.Second, nodes...)
	before := m.traffic()
	idle(t, clock, duration, nodes...)
	got := float64(m.traffic()-before) / duration.Seconds()
	if got <= 0 || got >= limit {
		t.Errorf("got %.0f B/s in and out, want under %.0f", got, limit)
	}
	t.Logf("%.0f B/s in and out with %d peers", got, peers)
}

func (n *node) traffic() csmodel.Bytes {
	var sum csmodel.Bytes
	for _, p := range n.Peers() {
		sum += p.In + p.Out
	}
	return sum
}
