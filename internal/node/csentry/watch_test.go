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
	members   []csmodel.NodeID
	addresses map[string]string
	links     map[csmodel.NodeID]*cslink.Links
	asked     atomic.Int64 // questions who leads
}

// announce makes all stores tell the entry who leads.
func (g *group) announce(leader csmodel.NodeID, term csmodel.Term) {
	g.leader.Store(leader)
	for self, l := range g.links {
		answer := csrpc.LeaderAnswer{Leader: leader, Term: term, Ready: self == leader}
		_ = l.Send(csrpc.EntryNode("e"), cslink.Control, csrpc.KindLeader, csrpc.Encode(answer), "")
	}
}

func (g *group) start(t *testing.T, ips ...string) {
	t.Helper()
	g.addresses, g.links = map[string]string{}, map[csmodel.NodeID]*cslink.Links{}
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
		g.links[self] = links
		calls.Store(csrpc.New(links, func(_ csmodel.NodeID, m csrpc.Method, _ []byte) []byte { return g.answer(self, m) }))
	}
}

func (g *group) answer(self csmodel.NodeID, m csrpc.Method) []byte {
	leader, _ := g.leader.Load().(csmodel.NodeID)
	switch {
	case m == csrpc.MethodLeader:
		g.asked.Add(1)
		return csrpc.Encode(csrpc.LeaderAnswer{Leader: leader, Term: 2, Ready: leader == self, Stores: g.members})
	case leader == self:
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultDone})
	default:
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: leader})
	}
}

func startEntry(t *testing.T, g *group) *Entry {
	t.Helper()
	return startEntryOf(t, g, len(g.addresses))
}

// startEntryOf starts an entry and waits until it is connected to a number of stores.
func startEntryOf(t *testing.T, g *group, connected int) *Entry {
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
	for len(e.calls.Peers()) < connected {
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
	if want := 200 * time.Millisecond; sum > want {
		t.Errorf("got %s until the entry knew the leader, want at most %s", sum, want)
	}
}

// Pattern: hundreds of entries are connected while the leader changes. Guards against entries that find the new leader only by
// asking: their questions would take the processor time that the election needs.
func TestEntryFollowsAnnouncementsWithoutAsking(t *testing.T) {
	g := &group{}
	g.start(t, "a", "b", "c")
	g.leader.Store(csrpc.StoreNode("a"))
	e := startEntry(t, g)
	for !e.Ready() {
		time.Sleep(time.Millisecond)
	}
	g.asked.Store(0)
	const changes = 20
	for term := csmodel.Term(3); term < 3+changes; term++ {
		leader := csrpc.StoreNode([]string{"a", "b", "c"}[term%3])
		g.announce(leader, term)
		for started := time.Now(); e.current() != leader; time.Sleep(time.Millisecond) {
			if time.Since(started) > 100*time.Millisecond {
				t.Fatalf("got leader %q for 100 ms after the announcement, want %q", e.current(), leader)
			}
		}
	}
	if got, want := g.asked.Load(), int64(changes); got > want {
		t.Errorf("got %d questions in %d changes of the leader, want at most %d", got, changes, want)
	}
}

// Guards against a leader that is forgotten because it was asked in the moment between its election and its lease: requests
// would be refused until the entry has asked all stores again.
func TestLeaderThatIsNotReadyIsKept(t *testing.T) {
	e := &Entry{leader: "store/a", term: 2}
	e.moved("store/a", "store/a")
	if got, want := e.current(), csmodel.NodeID("store/a"); got != want {
		t.Errorf("got leader %q, want %q", got, want)
	}
	e.moved("store/a", "")
	if got := e.current(); got != "" {
		t.Errorf("got leader %q after it has resigned, want none", got)
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
