package csentry

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Pattern: the stores are replaced one after the other. Guards against an entry that knows only its seeds and past leaders, and
// refuses all requests for good once these are gone (rule LOST).
func TestEntryOutlivesItsSeeds(t *testing.T) {
	cases := []struct {
		name    string
		members []csmodel.NodeID // that the stores name
		settled []string         // seeds of new settings
	}{
		{"members named by a store", []csmodel.NodeID{csrpc.StoreNode("a"), csrpc.StoreNode("d")}, nil},
		{"new settings", nil, []string{"d"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &group{members: c.members}
			g.start(t, "a", "b", "c", "d")
			g.leader.Store(csrpc.StoreNode("a"))
			e := startEntryOf(t, g, 3)
			wait(t, "the first leader", func() bool { return e.current() == csrpc.StoreNode("a") })
			e.AddSeeds(c.settled)
			for _, ip := range []string{"a", "b", "c"} {
				_ = g.links[csrpc.StoreNode(ip)].Close()
			}
			g.leader.Store(csrpc.StoreNode("d"))
			wait(t, "the new leader", e.Ready)
		})
	}
}

// wait fails the test if a condition doesn't hold within five seconds.
func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}
