package cslink

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cowslipstream.example/cowslipstream/csmodel"
)

const testSecret = "0123456789abcdef0123456789abcdef"

// patience bounds waits for sockets of the test process. It is no part of what is measured.
const patience = 30 * time.Second

// TestMain checks that no goroutine of the package is left. The proxy itself leaves some behind when a fault closes a
// connection while data is in its buffers.
func TestMain(m *testing.M) {
	const proxy = "github.com/Shopify/toxiproxy/v2"
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction(proxy+"/toxics.(*ToxicStub).Run"),
		goleak.IgnoreAnyFunction(proxy+".(*ToxicLink).read"),
		goleak.IgnoreAnyFunction(proxy+".(*ToxicLink).write"))
}

// node is a running node that records what it receives.
type node struct {
	*Links
	mu     sync.Mutex
	got    []string
	events []string
}

func (n *node) handle(from csmodel.NodeID, _ Kind, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.got = append(n.got, fmt.Sprintf("%s:%s", from, payload))
}

func (n *node) eventf(format string, arguments ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, fmt.Sprintf(format, arguments...))
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.got...)
}

func (n *node) seen() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.events, " ")
}

// send queues a text.
func (n *node) send(t testing.TB, to csmodel.NodeID, channel Channel, kind Kind, text string) {
	t.Helper()
	if err := n.Send(to, channel, kind, []byte(text), ""); err != nil {
		t.Fatal(err)
	}
}

func (n *node) close() { _ = n.Close() }

// listen returns a listener on a free loopback port.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// run starts a node. The peers are given as names and addresses in turn.
func run(t testing.TB, o Options, peers ...string) *node {
	t.Helper()
	n := &node{}
	if o.Listener == nil {
		o.Listener = listen(t)
	}
	if o.Secret == "" {
		o.Secret = testSecret
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	if o.Handle == nil {
		o.Handle = n.handle
	}
	o.Up = func(peer csmodel.NodeID, i csmodel.Incarnation) { n.eventf("+%s%d", peer, i) }
	o.Down = func(peer csmodel.NodeID) { n.eventf("-%s", peer) }
	for i := 0; i < len(peers); i += 2 {
		o.Peers = append(o.Peers, Peer{Node: csmodel.NodeID(peers[i]), Address: peers[i+1]})
	}
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	n.Links = l
	t.Cleanup(n.close)
	return n
}

// eventually waits for something that sockets and goroutines of the test process bring about.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// connected waits until all channels to every peer have had the given number of sockets.
func connected(t testing.TB, sockets uint64, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, fmt.Sprintf("%s connected", n.options.Self), func() bool {
			for _, p := range n.Peers() {
				if len(p.Channels) < len(n.options.Dials) {
					return false
				}
				for _, c := range p.Channels {
					if !c.Connected || c.Sockets < sockets {
						return false
					}
				}
			}
			return true
		})
	}
}

// step advances the link time by one pace and runs its effects on the decisions.
func step(clock *clockwork.FakeClock, nodes ...*node) {
	clock.Advance(paceInterval)
	for _, n := range nodes {
		n.sweep(clock.Now())
	}
}

// idle advances the link time while every node hears the heartbeats of its peers.
func idle(t testing.TB, clock *clockwork.FakeClock, d time.Duration, nodes ...*node) {
	t.Helper()
	for range int(d / paceInterval) {
		step(clock, nodes...)
		oldest := clock.Now().Add(-defaultHeartbeat)
		for _, n := range nodes {
			eventually(t, "heartbeats", func() bool { return n.quietest().After(oldest) })
		}
	}
}

// quietest returns when the channel that has been quiet for longest was heard.
func (n *node) quietest() time.Time {
	oldest := n.clock.Now()
	for _, p := range n.peers {
		for _, k := range p.links {
			k.mu.Lock()
			if k.socket != nil && k.socket.heard().Before(oldest) {
				oldest = k.socket.heard()
			}
			k.mu.Unlock()
		}
	}
	return oldest
}

// proxies starts fault-injecting proxies to an address.
func proxies(t testing.TB, count int, upstream string) []*toxiproxy.Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	out := make([]*toxiproxy.Proxy, count)
	for i := range out {
		out[i] = toxiproxy.NewProxy(server, fmt.Sprintf("proxy%d", i), "127.0.0.1:0", upstream)
		if err := out[i].Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(out[i].Stop)
	}
	return out
}

// inject adds a fault in one direction ("upstream" is towards the listener).
func inject(t testing.TB, p *toxiproxy.Proxy, kind, stream, attributes string) {
	t.Helper()
	fault := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(bytes.NewBufferString(fault)); err != nil {
		t.Fatal(err)
	}
}
