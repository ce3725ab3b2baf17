package csfake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csdispatch"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
)

// entry is a single entry node without links and disk. It connects the decision packages as a node does.
type entry struct {
	*httptest.Server
	client   *csdispatch.Client
	attempts sync.WaitGroup

	mu       sync.Mutex
	keys     *csrequest.Keys
	router   *csrequest.Router
	registry *cstarget.Registry
	holder   *cstarget.Holder
	next     csrequest.RequestID
	bodies   map[csrequest.RequestID][]byte
	replies  map[csrequest.RequestID]chan csrequest.Reply
	aborts   map[csmodel.AttemptID]context.CancelFunc
}

func newEntry(t *testing.T, c csconfig.Configuration) *entry {
	keys := csrequest.NewKeys(csrequest.KeysConfig{Node: "n1", Incarnation: 1})
	n := &entry{
		client:   csdispatch.NewClient(csdispatch.Config{}),
		keys:     keys,
		router:   csrequest.NewRouter(csrequest.Config{Node: "n1", Incarnation: 1, Zone: "z1", Keys: keys}),
		registry: cstarget.NewRegistry(cstarget.Config{Node: "n1", Started: time.Now()}),
		holder:   cstarget.NewHolder(cstarget.HolderConfig{Node: "n1", Incarnation: 1, Zone: "z1"}),
		bodies:   map[csrequest.RequestID][]byte{},
		replies:  map[csrequest.RequestID]chan csrequest.Reply{},
		aborts:   map[csmodel.AttemptID]context.CancelFunc{},
	}
	n.step(csrequest.Configure{Configuration: c})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/targets", n.announce)
	mux.HandleFunc("POST /v1/keys", n.issue)
	mux.HandleFunc("POST /v1/jobs/{job}/requests", n.request)
	n.Server = httptest.NewServer(mux)
	stop := make(chan struct{})
	var ticks sync.WaitGroup
	ticks.Add(1)
	go func() {
		defer ticks.Done()
		for {
			select {
			case <-time.After(5 * time.Millisecond):
				n.tick()
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		ticks.Wait()
		n.mu.Lock()
		for _, abort := range n.aborts {
			abort()
		}
		n.mu.Unlock()
		n.attempts.Wait()
		n.client.Close()
		n.Close()
	})
	return n
}

func (n *entry) step(e csrequest.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.execute(n.router.Step(time.Now(), e))
}

func (n *entry) execute(commands []csrequest.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case csrequest.Record:
			if c.ID != 0 {
				n.execute(n.router.Step(time.Now(), csrequest.Recorded{ID: c.ID}))
			}
		case csrequest.Dispatch:
			ctx, cancel := context.WithCancel(context.Background())
			n.aborts[c.Attempt] = cancel
			body := n.bodies[c.Request]
			n.attempts.Add(1)
			go func() {
				defer n.attempts.Done()
				defer cancel()
				n.step(n.client.Do(ctx, c, body))
			}()
		case csrequest.Abort:
			n.aborts[c.Attempt]()
		case csrequest.Reply:
			n.replies[c.ID] <- c
		case csrequest.Demand:
			n.holder.Demand(c.SlotDemand)
		default:
		}
	}
}

func (n *entry) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.registry.Tick(now)
	summaries := n.registry.Summaries(now, n.router.Waits(now))
	n.holder.Summaries("n1", summaries)
	n.execute(n.router.Step(now, csrequest.SummariesChanged{Node: "n1", Pools: summaries}))
	var uses []cstarget.TargetUse
	for _, u := range n.router.Uses() {
		uses = append(uses, cstarget.TargetUse(u))
	}
	n.holder.Uses(uses)
	for _, q := range n.holder.Requests(now) {
		n.holder.Granted(n.registry.Grantor().Request(now, q.Request))
	}
	n.execute(n.router.Step(now, csrequest.SlotsChanged{Leases: n.holder.Leases(now)}))
	n.execute(n.router.Step(now, csrequest.Tick{}))
}

func (n *entry) announce(w http.ResponseWriter, r *http.Request) {
	var a cstarget.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	n.mu.Lock()
	defer n.mu.Unlock()
	reply, _ := n.registry.Announce(time.Now(), a)
	_ = json.NewEncoder(w).Encode(reply)
}

func (n *entry) issue(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var texts []string
	for _, k := range n.keys.Issue(time.Now(), keyBatch) {
		texts = append(texts, k.String())
	}
	_ = json.NewEncoder(w).Encode(texts)
}

func (n *entry) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	timeout, _ := time.ParseDuration(r.Header.Get(headerWait))
	done := make(chan csrequest.Reply, 1)
	n.mu.Lock()
	n.next++
	id := n.next
	n.bodies[id] = body
	n.replies[id] = done
	n.execute(n.router.Step(time.Now(), csrequest.Arrive{
		ID: id, Job: csmodel.JobID(r.PathValue("job")), Team: csmodel.TeamID(r.Header.Get(headerTeam)), Timeout: timeout,
		Key: r.Header.Get(headerKey), Size: csmodel.Bytes(len(body)),
	}))
	n.mu.Unlock()
	reply := <-done
	w.Header().Set(headerResult, reply.Outcome.String())
	if reply.Outcome == csrequest.Answered {
		w.Header().Set(csdispatch.HeaderDigest, csdispatch.Digest(reply.Answer.Body))
		_, _ = w.Write(reply.Answer.Body)
	}
}

// Guards against duplicates, wrong outcomes and a failing target without quarantine when the packages work together over
// HTTP, while one target fails everything and one is lost.
func TestEntryNode(t *testing.T) {
	n := newEntry(t, csconfig.Configuration{
		Pools: []csconfig.Pool{{Name: "p"}},
		Jobs:  []csconfig.Job{{Name: "order", Pool: "p"}},
		Teams: []csconfig.Team{{Name: "a", Share: 1}},
	})
	address := strings.TrimPrefix(n.URL, "http://")
	ledger := NewLedger()
	var targets []*Target
	for _, id := range []csmodel.VMID{"vm1", "vm2", "vm3"} {
		n.mu.Lock()
		n.registry.Own(time.Now(), cstarget.Ownership{VM: id, Pool: "p", Fence: 1, Usable: true})
		n.mu.Unlock()
		target, err := NewTarget(TargetConfig{ID: id, Zone: "z1", Pool: "p", Nodes: []string{address}, Ledger: ledger})
		if err != nil {
			t.Fatal(err)
		}
		defer target.Close()
		targets = append(targets, target)
	}
	targets[0].SetFault(FaultFail)
	callers := NewCallers(CallersConfig{
		Nodes: []string{address}, Job: "order", Team: "a", Keyed: true, Seed: 1,
		Rate: func(since time.Duration) float64 {
			if since > 500*time.Millisecond {
				targets[1].Kill()
			}
			return 300
		},
	})
	r := callers.Run(context.Background(), time.Second)
	t.Logf("%d calls: %d answers, %d not run, %d unknown, p99 %d us",
		r.Calls, r.Answers, r.NotRun, r.Unknown, r.Latency.ValueAtQuantile(99))
	if r.Answers == 0 || r.Unknown == 0 || r.Wrong+r.Failed > 0 || r.Answers+r.NotRun+r.Unknown+r.Dropped != r.Calls {
		t.Errorf("got %+v", r)
	}
	if got := ledger.Duplicates(); len(got) > 0 {
		t.Errorf("ran more than once: %v", got)
	}
	for _, id := range r.NotRunIDs {
		if ledger.Executions(id) > 0 {
			t.Errorf("%s is reported as not run, but ran", id)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.registry.Health().Quarantined("vm1") {
		t.Error("the failing target is not quarantined")
	}
}
