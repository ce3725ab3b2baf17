package csentry

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/internal/base/csclock"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// shifted is a clock whose time of day differs from that of the machine.
type shifted struct {
	clockwork.Clock
	by time.Duration
}

// Now implements clockwork.Clock.
func (s shifted) Now() time.Time { return s.Clock.Now().Add(s.by) }

// Pattern: the time of day is set back, and then a process ends and starts again. Guards against stores that refuse the new process until
// the clock has passed the start of the earlier one; the entry knows no leader meanwhile (rule LOST).
func TestEntryRestartsAfterClockIsSetBack(t *testing.T) {
	g := &group{}
	g.start(t, "a")
	g.leader.Store(csrpc.StoreNode("a"))
	for _, by := range []time.Duration{time.Hour, 0} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e, err := New(Options{
			IP: "e", Seeds: []string{"a"}, Listener: l, Clock: shifted{csclock.NewBoot(), by}, Log: zap.NewNop(),
			PeerAddress: func(ip string) string { return g.addresses[ip] }, Registry: prometheus.NewRegistry(),
		})
		if err != nil {
			t.Fatal(err)
		}
		wait(t, "a leader", e.Ready)
		e.Close()
		wait(t, "the end of the link", func() bool {
			return !connected(g.links[csrpc.StoreNode("a")])
		})
	}
}

func connected(l *cslink.Links) bool {
	for _, p := range l.Peers() {
		if p.Connected {
			return true
		}
	}
	return false
}
