package cslink

import (
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
	eventually(t, "message", func() bool { return len(b.Peers()) == 1 && b.Peers()[0].Channels[Control].Connected })
	for _, n := range []*node{a, b} {
		for c, s := range n.Peers()[0].Channels {
			if got, want := s.Sockets, uint64(0); c != int(Control) && got != want {
				t.Errorf("%s: got %d sockets of the %s channel, want %d", n.options.Self, got, Channel(c), want)
			}
		}
	}
	if err := (Options{Self: "a", Secret: testSecret, Listener: l, Handle: b.handle, Dials: []Channel{channels}}).Defaults().Validate(); err == nil {
		t.Error("a channel that does not exist was accepted")
	}
}
