package cslink

import (
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Guards against idle sockets: an entry uses the control channel only, and each of the other channels cost the leader ten
// heartbeats a second for each of 42 entries.
func TestOnlyDialedChannelsAreOpened(t *testing.T) {
	l := listen(t)
	b := run(t, Options{Self: "b", Listener: l, Admit: func(csmodel.NodeID) bool { return true }})
	a := run(t, Options{Self: "a", Dials: []Channel{Control}}, "b", l.Addr().String())
	a.send(t, "b", Control, 1, "x")
	eventually(t, "message", func() bool { return len(b.Peers()) == 1 && b.Peers()[0].Connected })
	for _, n := range []*node{a, b} {
		for c, k := range n.peer(n.Peers()[0].Node).links {
			if got, want := k.status().Sockets, uint64(0); c != int(Control) && got != want {
				t.Errorf("%s: got %d sockets of the %s channel, want %d", n.options.Self, got, Channel(c), want)
			}
		}
	}
	if err := (Options{Self: "a", Secret: testSecret, Listener: l, Handle: b.handle, Dials: []Channel{channels}}).Defaults().Validate(); err == nil {
		t.Error("a channel that does not exist was accepted")
	}
}

// Guards against a status with a channel that nobody opens: it looked like a lost one to operators (TestSilentLink).
func TestStatusListsChannelsInUse(t *testing.T) {
	cases := []struct {
		name             string
		dialer, listener []Channel
		admitted         bool // the listener does not know the dialer
		want             string
	}{
		{"all", nil, nil, false, "control data calls"},
		{"both name two", []Channel{Control, Data}, []Channel{Control, Data}, false, "control data"},
		{"peer opens more than the node itself", []Channel{Control, Calls}, []Channel{Control}, false, "control calls"},
		{"admitted peer opens one", []Channel{Control}, nil, true, "control"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			la, lb := listen(t), listen(t)
			b := Options{Self: "b", Listener: lb, Dials: c.listener}
			if c.admitted {
				b.Admit = func(csmodel.NodeID) bool { return true }
			} else {
				b.Peers = []Peer{{Node: "a", Address: la.Addr().String()}}
			}
			nodes := []*node{run(t, b), run(t, Options{Self: "a", Listener: la, Dials: c.dialer}, "b", lb.Addr().String())}
			for _, n := range nodes {
				eventually(t, "connected channels of "+string(n.options.Self), func() bool { return n.using() == c.want })
			}
			if c.admitted || len(c.listener) == 1 {
				return
			}
			nodes[1].close()
			eventually(t, "lost channels are listed", func() bool { return nodes[0].using() == c.want+" -" })
		})
	}
}

// Guards against messages that wait unseen on a channel that neither node opens.
func TestStatusListsChannelWithQueuedMessages(t *testing.T) {
	l := listen(t)
	b := run(t, Options{Self: "b", Listener: l, Admit: func(csmodel.NodeID) bool { return true }})
	a := run(t, Options{Self: "a", Dials: []Channel{Control}}, "b", l.Addr().String())
	eventually(t, "connected", func() bool { return b.using() == "control" })
	a.send(t, "b", Calls, 1, "x")
	if got, want := a.using(), "control calls -"; got != want {
		t.Errorf("got channels %q, want %q", got, want)
	}
}

// using returns the listed channels of the only peer, and a dash where not all of them are connected.
func (n *node) using() string {
	var out []string
	down := false
	for _, p := range n.Peers() {
		for _, c := range p.Channels {
			out = append(out, c.Channel)
			down = down || !c.Connected
		}
	}
	if down {
		out = append(out, "-")
	}
	return strings.Join(out, " ")
}
