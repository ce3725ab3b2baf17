package cslink

import (
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
)

// A node that its peer does not list dials it, whichever name is smaller, and messages go both ways.
func TestUnlistedPeers(t *testing.T) {
	cases := []struct {
		name     string
		self     csmodel.NodeID
		admitted bool
	}{
		{"smaller name", "a", true},
		{"greater name", "z", true},
		{"not admitted", "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			address := l.Addr().String()
			known := run(t, Options{Self: "m", Listener: l, Admit: func(csmodel.NodeID) bool { return c.admitted }})
			stranger := run(t, Options{Self: c.self})
			if err := stranger.AddPeer(Peer{Node: "m", Address: address}); err != nil {
				t.Fatal(err)
			}
			if !c.admitted {
				eventually(t, "refusal", func() bool { return known.Refused() > 0 })
				if got, want := len(known.Peers()), 0; got != want {
					t.Errorf("got %d peers, want %d", got, want)
				}
				return
			}
			connected(t, 1, stranger)
			stranger.send(t, "m", Control, 1, "there")
			eventually(t, "message", func() bool { return len(known.received()) == 1 })
			known.send(t, c.self, Control, 1, "back")
			eventually(t, "answer", func() bool { return strings.Join(stranger.received(), "") == "m:back" })
		})
	}
}

// A node with the greater name that its peer does not list dials the peers of its settings after Redial.
func TestRedial(t *testing.T) {
	l := listen(t)
	known := run(t, Options{Self: "a", Listener: l, Admit: func(csmodel.NodeID) bool { return true }})
	joining := run(t, Options{Self: "z"}, "a", l.Addr().String())
	for range 2 { // the second call changes nothing
		if err := joining.Redial("a"); err != nil {
			t.Fatal(err)
		}
	}
	connected(t, 1, joining)
	joining.send(t, "a", Control, 1, "x")
	eventually(t, "message", func() bool { return len(known.received()) == 1 })
}
