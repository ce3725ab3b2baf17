package csentry

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/base/csclock"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// group is a few stores that know no leader until one is named.
type group struct {
	leader    atomic.Value // csmodel.NodeID
	addresses map[string]string
}

func (g *group) start(t *testing.T, ips ...string) {
	t.Helper()
	g.addresses = map[string]string{}
	g.leader.Store(csmodel.NodeID(""))
	for _, ip := range ips {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g.addresses[ip] = l.Addr().String()
		self := csrpc.StoreNode(ip)
		var calls atomic.Pointer[csrpc.Caller]
		links, err := cslink.New(cslink.Options{
			Self: self, Incarnation: 1, Secret: csrpc.LinkKey, Listener: l, Admit: csrpc.Known, Log: zap.NewNop(),
			Handle: func(from csmodel.NodeID, kind cslink.Kind, payload []byte) {
				if c := calls.Load(); c != nil {
					_, _ = c.Receive(from, kind, payload)
				}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = links.Close() })
		calls.Store(csrpc.New(links, func(_ csmodel.NodeID, m csrpc.Method, _ []byte) []byte { return g.answer(self, m) }))
	}
}

func (g *group) answer(self csmodel.NodeID, m csrpc.Method) []byte {
	leader, _ := g.leader.Load().(csmodel.NodeID)
	switch {
	case m == csrpc.MethodLeader:
		return csrpc.Encode(csrpc.LeaderAnswer{Leader: leader, Term: 2, Ready: leader == self})
	case leader == self:
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultDone})
	default:
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: leader})
	}
}

func startEntry(t *testing.T, g *group) *Entry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Options{
		IP: "e", Seeds: []string{"a", "b", "c"}, Listener: l, Clock: csclock.NewBoot(), Log: zap.NewNop(),
		PeerAddress: func(ip string) string { return g.addresses[ip] }, Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	for len(e.calls.Peers()) < len(g.addresses) {
		time.Sleep(time.Millisecond)
	}
	return e
}

// Pattern: the leader is lost in a busy phase. Guards against requests being refused for long after the election, because the
// entry asks too rarely who leads.
func TestEntryLearnsOfANewLeaderSoon(t *testing.T) {
	const rounds = 5
	g := &group{}
	g.start(t, "a", "b", "c")
	e := startEntry(t, g)
	sum := time.Duration(0)
	for range rounds {
		g.leader.Store(csmodel.NodeID(""))
		for e.current() != "" {
			time.Sleep(time.Millisecond)
		}
		g.leader.Store(csrpc.StoreNode("b"))
		elected := time.Now()
		for e.current() == "" {
			time.Sleep(time.Millisecond)
		}
		sum += time.Since(elected) / rounds
	}
	if want := askInterval / 2; sum > want {
		t.Errorf("got %s until the entry knew the leader, want at most %s", sum, want)
	}
}

// Guards against the time that a request spends in the entry being left out of the time that its client account has waited.
func TestTimeInTheEntryCounts(t *testing.T) {
	const after = 100 * time.Millisecond
	r := aged(csrpc.JobRequest{Remaining: 3 * time.Second, Waited: time.Second}, after)
	if r.Waited != time.Second+after || r.Remaining != 3*time.Second-after {
		t.Errorf("got waited %s and remaining %s, want %s and %s", r.Waited, r.Remaining, time.Second+after, 3*time.Second-after)
	}
	if got := aged(csrpc.JobRequest{}, after); got.Waited != 0 || got.Remaining != 0 {
		t.Errorf("got %+v for a request without a deadline, want it unchanged", got)
	}
}
