package csproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// silenceTarget is the stated time until a silent link is replaced.
const silenceTarget = 2 * time.Second

// sockets returns the number of sockets so far of each channel to a peer, and whether all are connected.
func (n *node) sockets(peer csmodel.NodeID) (counts []uint64, connected bool) {
	connected = true
	for _, l := range n.dump().Links {
		if l.Node != peer {
			continue
		}
		for _, channel := range l.Channels {
			counts = append(counts, channel.Sockets)
			connected = connected && channel.Connected
		}
	}
	return counts, connected && len(counts) > 0
}

// forwardOrders sends non-idempotent requests with keys of the owner through another node, each until it is answered.
func forwardOrders(t *testing.T, through *node, issued []string, y *tally, end <-chan struct{}) {
	for i, key := range issued {
		select {
		case <-end:
			return
		default:
		}
		id := fmt.Sprintf("order-%s", key)
		eventually(t, ample, id, func() bool {
			r, err := request(through, "order", id, key)
			return y.add(id, r, err) == csapi.Answer
		})
		if i == len(issued)-1 {
			t.Error("too few keys")
		}
	}
}

// Guards against a link that stays silent while new connections work, and messages that are lost or executed twice with
// it (F10, I5, I8). The second round guards against a link that is replaced only once.
func TestSilentLink(t *testing.T) {
	c := newCluster(t, 1)
	waitRevision(t, ample, c.apply(c.nodes[0], 1), c.nodes...)
	ledger := csfake.NewLedger()
	c.addTargets(ledger, time.Millisecond)
	dialer, owner := c.nodes[0], c.nodes[1]
	y := newTally()
	end := make(chan struct{})
	var load sync.WaitGroup
	for range 4 {
		issued := keys(t, owner, 1000)
		load.Go(func() { forwardOrders(t, dialer, issued, y, end) })
	}
	stop := sync.OnceFunc(func() {
		close(end)
		load.Wait()
	})
	defer stop() // the load must not outlive a test that fails
	link := c.links[[2]csmodel.NodeID{dialer.Name, owner.Name}]
	for round := range 2 {
		eventually(t, ample, "load", func() bool { return y.count(csapi.Answer) > 50*(round+1) })
		before, connected := dialer.sockets(owner.Name)
		if !connected {
			t.Fatal("link is down before the fault")
		}
		link.silence()
		start := time.Now()
		eventually(t, ample, "new sockets", func() bool {
			now, connected := dialer.sockets(owner.Name)
			if !connected {
				return false
			}
			for i := range now {
				connected = connected && now[i] > before[i]
			}
			return connected
		})
		took := time.Since(start)
		t.Logf("link replaced after %v", took)
		if took > silenceTarget {
			t.Errorf("link replaced after %v, target %v", took, silenceTarget)
		}
		revision := c.apply(dialer, 10+round)
		waitRevision(t, rolloutTarget, revision, c.nodes...)
	}
	stop()
	t.Logf("%d answers, %d not run, %d unknown", y.count(csapi.Answer), y.count(csapi.NotRun), y.count(csapi.Unknown))
	if n := y.count(""); n > 0 {
		t.Errorf("%d requests without a response: %s", n, y.examples[""])
	}
	for _, id := range ledger.Duplicates() {
		t.Errorf("%s ran %d times", id, ledger.Executions(id))
	}
	if got, want := ledger.Total(), y.count(csapi.Answer); got != want {
		t.Errorf("%d requests ran and %d were answered", got, want)
	}
}
