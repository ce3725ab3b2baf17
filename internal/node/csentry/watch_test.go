package csentry

import (
	"context"
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

// Pattern: the leader is lost in a busy phase. Requests of the next second wait for the election where most stores can be
// reached, and are refused at once where no leader can be expected.
func TestVacancy(t *testing.T) {
	type moment struct {
		at        time.Duration
		usable    bool
		connected int
		want      bool
	}
	cases := []struct {
		name    string
		moments []moment
	}{
		{"a leader is known", []moment{{0, true, 3, false}}},
		{"election", []moment{{0, false, 2, true}, {electionWait - 1, false, 3, true}, {electionWait, false, 3, false}}},
		{"cut off with a minority", []moment{{0, false, 1, false}, {time.Second, false, 1, false}}},
		{"all stores lost and back", []moment{{0, false, 0, false}, {5 * time.Second, false, 2, true}, {6 * time.Second, false, 3, true}}},
		{"the next election", []moment{
			{0, false, 2, true}, {time.Second, true, 3, false}, {10 * time.Second, false, 2, true}, {11 * time.Second, false, 2, true},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v vacancy
			start := time.Unix(1_800_000_000, 0)
			for _, m := range c.moments {
				if got := v.expected(start.Add(m.at), m.usable, m.connected, 3); got != m.want {
					t.Errorf("at %s: got %v, want %v", m.at, got, m.want)
				}
			}
		})
	}
}

// group is a few stores that know no leader until one is named.
type group struct {
	leader    atomic.Value // csmodel.NodeID
	waited    atomic.Int64 // of the last request, in nanoseconds
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
		calls.Store(csrpc.New(links, func(_ csmodel.NodeID, m csrpc.Method, payload []byte) []byte { return g.answer(self, m, payload) }))
	}
}

func (g *group) answer(self csmodel.NodeID, m csrpc.Method, payload []byte) []byte {
	leader, _ := g.leader.Load().(csmodel.NodeID)
	switch {
	case m == csrpc.MethodLeader:
		return csrpc.Encode(csrpc.LeaderAnswer{Leader: leader, Term: 2, Ready: leader == self})
	case leader == self:
		if r, err := csrpc.Decode[csrpc.JobRequest](payload); err == nil {
			g.waited.Store(int64(r.Waited))
		}
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultDone})
	default:
		return csrpc.Encode(csrpc.JobAnswer{Result: csrpc.ResultMoved, Leader: leader})
	}
}

// Guards against requests being refused during an election, with a Retry-After that outlasts it, and against waits where no
// leader can be expected.
func TestRequestsWaitForAnElection(t *testing.T) {
	cases := []struct {
		name   string
		stores []string      // of three
		after  time.Duration // until a leader is elected; zero is never
		want   csrpc.JobResult
		most   time.Duration
	}{
		{"election", []string{"a", "b", "c"}, 600 * time.Millisecond, csrpc.ResultDone, electionWait},
		{"no leader for long", []string{"a", "b"}, 0, csrpc.ResultMoved, 2 * electionWait},
		{"cut off with a minority", []string{"a"}, 0, csrpc.ResultMoved, electionWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &group{}
			g.start(t, c.stores...)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			e, err := New(Options{
				IP: "e", Seeds: []string{"a", "b", "c"}, Listener: l, Clock: csclock.NewBoot(), Log: zap.NewNop(),
				PeerAddress: func(ip string) string {
					if a := g.addresses[ip]; a != "" {
						return a
					}
					return "127.0.0.1:1" // nothing listens there
				},
				Registry: prometheus.NewRegistry(),
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			for len(e.calls.Peers()) < len(c.stores) {
				time.Sleep(time.Millisecond)
			}
			if c.after > 0 {
				time.AfterFunc(c.after, func() { g.leader.Store(csrpc.StoreNode("b")) })
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			started := time.Now()
			got := e.Do(ctx, csrpc.JobRequest{Action: csrpc.ActionSubmit, Host: "q", Path: "/jobs/1", Remaining: 3 * time.Second})
			if took := time.Since(started); got.Result != c.want || took > c.most {
				t.Errorf("got result %d after %s, want %d within %s", got.Result, took, c.want, c.most)
			}
			if waited := time.Duration(g.waited.Load()); waited < c.after/2 {
				t.Errorf("got a submission that has waited %s, want the time of the election in it", waited)
			}
			if got.Result == csrpc.ResultMoved && got.Retry == 0 {
				t.Error("got a refusal that does not tell when to come back")
			}
		})
	}
}
