package csproof

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// gate holds the attempts of the job order, or of all jobs, at the targets until it is opened.
type gate struct {
	mu   sync.Mutex
	wait map[csmodel.JobID]chan struct{}
}

func (g *gate) shut(jobs ...csmodel.JobID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait = map[csmodel.JobID]chan struct{}{}
	opened := make(chan struct{})
	for _, j := range jobs {
		g.wait[j] = opened
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opened := range g.wait {
		close(opened)
		break
	}
	g.wait = nil
}

func (g *gate) service(job csmodel.JobID) time.Duration {
	g.mu.Lock()
	opened := g.wait[job]
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
	return time.Millisecond
}

// newGated starts three nodes and three targets whose attempts pass a gate.
func newGated(t *testing.T, slots int) (*fleet, *gate) {
	g := &gate{}
	t.Cleanup(g.open)
	f := newFleet(t, 1, urgent(3), func(c *csfake.TargetConfig) {
		c.Slots = slots
		c.Service = g.service
	})
	t.Cleanup(g.open) // before the targets are closed
	return f, g
}

// order sends a request with a key once. An empty outcome means that there was no complete response.
func order(address string, key csapi.Key, id string, limit time.Duration) (csapi.Outcome, string) {
	headers := map[string]string{csapi.KeyHeader: string(key), csapi.TimeoutHeader: limit.String(), csapi.TeamHeader: "team"}
	r, err := send(address, "POST", csapi.RequestsPath("order"), headers, []byte(id+"\n"))
	return outcome(r, err), string(r.body)
}

// wantOrder checks the outcome of a repeated request and that it has run a number of times.
func (f *fleet) wantOrder(n *node, key csapi.Key, id string, want csapi.Outcome, ran int) {
	f.t.Helper()
	got, body := order(n.Listen, key, id, 2*time.Second)
	if got != want || got == csapi.Answer && body != id+"\nanswer" {
		f.t.Errorf("%s through %s: got %q %q, want %q", id, n.Name, got, body, want)
	}
	if runs := f.ledger.Executions(id); runs != ran {
		f.t.Errorf("%s ran %d times, want %d", id, runs, ran)
	}
}

// Guards against a second execution after the owner of a key was killed between its record and the dispatch, after the
// dispatch, and after it lost its data folder (I5; F1, F8).
func TestKeyOwnerKilled(t *testing.T) {
	t.Parallel()
	f, g := newGated(t, 1)
	owner, other := f.node("a-1"), f.node("b-1")
	keys := issue(5, owner.Listen)
	if len(keys) != 5 {
		t.Fatalf("got keys %v", keys)
	}
	answered, sent, recorded, unused, fresh := keys[0], keys[1], keys[2], keys[3], keys[4]
	f.wantOrder(owner, answered, "answered", csapi.Answer, 1)
	f.wantOrder(other, answered, "answered", csapi.Answer, 1)

	g.shut("quote", "order")
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { order(owner.Listen, sent, "sent", ample) })
	eventually(t, ample, "dispatch", func() bool { return f.ledger.Executions("sent") == 1 })
	for i := range 8 {
		calls.Go(func() {
			_, _ = send(owner.Listen, "POST", csapi.RequestsPath("quote"), map[string]string{csapi.TimeoutHeader: "30s"},
				fmt.Appendf(nil, "fill-%d\n", i))
		})
	}
	queued := func() int { return owner.status().Pools[0].Queued }
	eventually(t, ample, "all slots in use", func() bool { return f.busy() == 3 && queued() >= 6 })
	calls.Go(func() { order(owner.Listen, recorded, "recorded", ample) })
	eventually(t, ample, "record before the dispatch", func() bool { return queued() >= 7 })
	owner.stop(syscall.SIGKILL)

	f.wantOrder(other, sent, "sent", csapi.Unknown, 1)
	f.wantOrder(other, recorded, "recorded", csapi.Unknown, 0)
	g.open()
	owner.start()
	f.waitLeaders()
	for _, n := range f.nodes {
		f.wantOrder(n, answered, "answered", csapi.Answer, 1)
		f.wantOrder(n, sent, "sent", csapi.Unknown, 1)
		f.wantOrder(n, recorded, "recorded", csapi.Unknown, 0)
	}
	f.wantOrder(other, unused, "unused", csapi.Unknown, 0)

	owner.stop(syscall.SIGKILL)
	if err := os.RemoveAll(filepath.Join(owner.folder, "data")); err != nil {
		t.Fatal(err)
	}
	owner.start()
	f.waitLeaders()
	for _, n := range f.nodes {
		f.wantOrder(n, answered, "answered", csapi.Unknown, 1)
		f.wantOrder(n, sent, "sent", csapi.Unknown, 1)
		f.wantOrder(n, recorded, "recorded", csapi.Unknown, 0)
		f.wantOrder(n, fresh, "fresh", csapi.Unknown, 0)
	}
	l := &load{fleet: f, name: "new keys", keyed: 1, limit: ample, nodes: []string{owner.Listen}}
	l.start(1, 10)
	l.workers.Wait()
	l.clean()
}

// Guards against a second execution, or `not run` for a request that ran, when a request is repeated across a cut between
// availability zones (I4, I5; F6).
func TestRepeatAcrossCut(t *testing.T) {
	t.Parallel()
	f, g := newGated(t, 4)
	owner, other := f.node("a-1"), f.node("b-1")
	keys := issue(4, owner.Listen)
	f.wantOrder(owner, keys[0], "before", csapi.Answer, 1)
	g.shut("order")
	first := make(chan csapi.Outcome, 1)
	go func() {
		got, _ := order(other.Listen, keys[1], "forwarded", 4*time.Second)
		first <- got
	}()
	eventually(t, ample, "forwarded dispatch", func() bool { return f.ledger.Executions("forwarded") == 1 })
	f.cutZone("a", true, true)
	g.open()
	if got := <-first; got != csapi.Unknown {
		t.Errorf("the outcome behind the cut: got %q", got)
	}
	f.wantOrder(other, keys[0], "before", csapi.Unknown, 1)
	f.wantOrder(other, keys[1], "forwarded", csapi.Unknown, 1)
	f.wantOrder(other, keys[2], "during", csapi.Unknown, 0)
	f.wantOrder(owner, keys[1], "forwarded", csapi.Answer, 1)
	f.wantOrder(owner, keys[3], "inside", csapi.Answer, 1)
	for _, n := range f.nodes {
		l := &load{fleet: f, name: "cut " + string(n.Name), keyed: 2, limit: 4 * time.Second, nodes: []string{n.Listen}}
		l.start(1, 10)
		l.workers.Wait()
		l.clean()
	}
	f.heal()
	f.waitLeaders()
	for _, n := range f.nodes {
		f.wantOrder(n, keys[0], "before", csapi.Answer, 1)
		f.wantOrder(n, keys[1], "forwarded", csapi.Answer, 1)
		f.wantOrder(n, keys[3], "inside", csapi.Answer, 1)
	}
	// A link may deliver the forwarded request after the cut. Its repetition shares that one execution.
	f.wantOrder(other, keys[2], "during", csapi.Answer, 1)
}

// Guards against a lost record, a second execution or `not run` when the answer comes after its caller has gone, timed out
// or closed its sending side (I4, I5).
func TestCallerGone(t *testing.T) {
	t.Parallel()
	f, g := newGated(t, 4)
	owner, other := f.node("a-1"), f.node("b-1")
	keys := issue(3, owner.Listen)
	g.shut("order")
	conn := f.rawOrder(owner, keys[0], "gone")
	eventually(t, ample, "dispatch", func() bool { return f.ledger.Executions("gone") == 1 })
	_ = conn.Close()
	if got, _ := order(other.Listen, keys[1], "late", 300*time.Millisecond); got != csapi.Unknown {
		t.Errorf("after the timeout: got %q", got)
	}
	half := f.rawOrder(owner, keys[2], "half")
	eventually(t, ample, "dispatch", func() bool { return f.ledger.Executions("half") == 1 })
	_ = half.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(half), nil)
	if err == nil && csapi.Outcome(response.Header.Get(csapi.OutcomeHeader)) != csapi.Unknown {
		t.Errorf("to the closed side: got status %d, header %v, want unknown", response.StatusCode, response.Header)
	}
	g.open()
	for i, id := range []string{"gone", "late", "half"} {
		eventually(t, ample, "answer of "+id, func() bool {
			got, body := order(other.Listen, keys[i], id, 2*time.Second)
			return got == csapi.Answer && body == id+"\nanswer"
		})
		f.wantOrder(owner, keys[i], id, csapi.Answer, 1)
	}
}

// rawOrder sends a request with a key over a connection of its own.
func (f *fleet) rawOrder(n *node, key csapi.Key, id string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", n.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: node\r\n%s: %s\r\n%s: 20s\r\nContent-Length: %d\r\n\r\n%s\n",
		csapi.RequestsPath("order"), csapi.KeyHeader, key, csapi.TimeoutHeader, len(id)+1, id)
	if err != nil {
		f.t.Fatal(err)
	}
	return conn
}
