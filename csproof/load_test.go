package csproof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// startLimit is the stated time within which urgent work starts.
const startLimit = 2600 * time.Millisecond

// fleet is a cluster with a configuration and a target for each VM.
type fleet struct {
	*cluster
	ledger  *csfake.Ledger
	specs   map[csmodel.VMID]csfake.TargetConfig
	targets map[csmodel.VMID]*csfake.Target
}

// newFleet starts a cluster, submits a configuration and starts the targets, which adjust may change.
func newFleet(t *testing.T, perZone int, configured csconfig.Configuration, adjust func(*csfake.TargetConfig)) *fleet {
	t.Helper()
	f := &fleet{
		cluster: newCluster(t, perZone), ledger: csfake.NewLedger(),
		specs: map[csmodel.VMID]csfake.TargetConfig{}, targets: map[csmodel.VMID]*csfake.Target{},
	}
	eventually(t, ample, "configuration accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), ample)
		defer cancel()
		verdict, err := f.nodes[0].client.ApplyConfiguration(ctx, configured, 0)
		return err == nil && verdict.Result == csapi.Accepted
	})
	for _, pool := range configured.Pools {
		for i := range pool.Size {
			zone := []csmodel.AvailabilityZone{"a", "b", "c"}[i%3]
			spec := csfake.TargetConfig{
				ID: csmodel.VMID(fmt.Sprintf("%s-%d", pool.Name, i)), Zone: zone, Rack: csmodel.Rack(fmt.Sprintf("%s-%d", zone, i/3)),
				Pool: pool.Name, Cores: 16000, Memory: 16 * csmodel.GiB, Nodes: f.addresses(zone), Ledger: f.ledger,
			}
			if adjust != nil {
				adjust(&spec)
			}
			f.specs[spec.ID] = spec
			f.boot(spec.ID)
		}
	}
	eventually(t, ample, "configuration and serving VMs on every node", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return n.status().Revision == 0 || !n.serving(len(f.targets)) })
	})
	return f
}

// boot starts the target of a VM, also after its loss.
func (f *fleet) boot(vm csmodel.VMID) {
	target, err := csfake.NewTarget(f.specs[vm])
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(target.Close)
	f.targets[vm] = target
}

func (f *fleet) busy() int {
	total := 0
	for _, target := range f.targets {
		total += target.Busy()
	}
	return total
}

// toxic adds a fault to a share of the connections of a link.
func (l *link) toxic(kind, stream string, share float64, attributes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"toxicity":%g,"attributes":{%s}}`,
		kind, stream, kind, stream, share, attributes)
	if _, err := l.current.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.t.Error(err)
	}
}

// load sends calls in a closed loop and compares what it was told with the executions at the targets.
type load struct {
	fleet   *fleet
	name    string // starts the ids of the calls
	keyed   int    // each call whose number is a multiple of it carries a key; 0 means none
	job     csmodel.JobID
	limit   time.Duration // of a call
	attempt time.Duration // of one attempt; 0 means that of the call
	nodes   []string

	next, done atomic.Int64
	stop       context.CancelFunc
	workers    sync.WaitGroup

	mu                       sync.Mutex
	answered, notRun, unsure []string // ids by their final outcome
	repeated                 int
	wrong                    []string
	latency                  *hdrhistogram.Histogram // of answers, in microseconds
}

// start begins to send until a number of calls is reached, or until end.
func (l *load) start(workers int, total int64) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	l.fleet.t.Cleanup(l.end)
	for w := range workers {
		l.workers.Go(func() {
			nodes := slices.Concat(l.nodes[w%len(l.nodes):], l.nodes[:w%len(l.nodes)])
			client := csclient.New(csclient.Options{Nodes: nodes, Team: "team", Attempt: l.attempt})
			defer client.Close()
			var keys csapi.Keys
			for ctx.Err() == nil {
				i := l.next.Add(1)
				if i > total {
					return
				}
				l.call(client, i, &keys)
				l.done.Add(1)
			}
		})
	}
}

// end stops the workers after the calls in flight.
func (l *load) end() {
	l.stop()
	l.workers.Wait()
}

// reach waits for a number of ended calls.
func (l *load) reach(n int64) {
	l.fleet.t.Helper()
	eventually(l.fleet.t, 2*time.Minute, fmt.Sprintf("%d calls of %s", n, l.name), func() bool { return l.done.Load() >= n })
}

// call sends one call. One with a key is repeated with the same key through other nodes while its outcome is unknown.
func (l *load) call(client *csclient.Client, i int64, keys *csapi.Keys) {
	r := csclient.Request{Job: "quote", Idempotent: true, Body: fmt.Appendf(nil, "%s-q-%d\n", l.name, i)}
	if l.job != "" {
		r.Job = l.job
	}
	if l.keyed > 0 && i%int64(l.keyed) == 0 {
		r = csclient.Request{Job: "order", Body: fmt.Appendf(nil, "%s-o-%d\n", l.name, i)}
		if len(*keys) == 0 {
			*keys = issue(20, l.nodes...)
		}
		if len(*keys) == 0 {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.notRun = append(l.notRun, csfake.BodyID(r.Body)) // no node issued a key
			return
		}
		r.Key, *keys = (*keys)[0], (*keys)[1:]
	}
	id := csfake.BodyID(r.Body)
	began := time.Now()
	got := l.once(client, r)
	for range 2 {
		if got != csapi.Unknown || r.Key == "" {
			break
		}
		*keys = nil // their issuer may be lost
		if got = l.once(client, r); got == csapi.NotRun {
			got = csapi.Unknown // the first try may still arrive
		}
		l.mu.Lock()
		l.repeated++
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch got {
	case csapi.Answer:
		l.answered = append(l.answered, id)
		_ = l.latency.RecordValue(time.Since(began).Microseconds())
	case csapi.NotRun:
		l.notRun = append(l.notRun, id)
	case csapi.Unknown:
		l.unsure = append(l.unsure, id)
	}
}

// once returns the outcome of one try and notes a response that is none of the three or belongs to another call.
func (l *load) once(client *csclient.Client, r csclient.Request) csapi.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), l.limit)
	defer cancel()
	answer, err := client.Request(ctx, r)
	notRun, unknown := errors.Is(err, csclient.ErrNotRun), errors.Is(err, csclient.ErrUnknown)
	switch id := csfake.BodyID(r.Body); {
	case err == nil && answer.Status == 200 && string(answer.Body) == id+"\nanswer":
		return csapi.Answer
	case err != nil && notRun && !unknown:
		return csapi.NotRun
	case err != nil && unknown && !notRun:
		return csapi.Unknown
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wrong = append(l.wrong, fmt.Sprintf("%s: %d %q %v", id, answer.Status, answer.Body, err))
		return ""
	}
}

// check compares the outcomes with the ledger after all targets have ended their work.
func (l *load) check() {
	l.fleet.t.Helper()
	l.checkIn(l.fleet.ledger.Executions)
}

// checkIn is check with the executions of several ledgers.
func (l *load) checkIn(executions func(id string) int) {
	t := l.fleet.t
	t.Helper()
	eventually(t, ample, "idle targets", func() bool { return l.fleet.busy() == 0 })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.wrong {
		t.Errorf("no outcome, or a mixed or partial answer: %s", w)
	}
	for _, id := range l.notRun {
		if n := executions(id); n != 0 {
			t.Errorf("%s was reported as not run and ran %d times", id, n)
		}
	}
	for i, id := range slices.Concat(l.answered, l.unsure) {
		switch n := executions(id); {
		case n == 0 && i < len(l.answered):
			t.Errorf("%s was answered and did not run", id)
		case n > 1 && strings.Contains(id, "-o-"):
			t.Errorf("%s is not idempotent and ran %d times", id, n)
		}
	}
	if all := len(l.answered) + len(l.notRun) + len(l.unsure); int64(all) != l.done.Load() {
		t.Errorf("%d outcomes of %d calls", all, l.done.Load())
	}
	t.Log(l.summary())
}

// clean is check, and that every call was answered.
func (l *load) clean() {
	l.fleet.t.Helper()
	l.check()
	l.answers()
}

func (l *load) answers() {
	l.fleet.t.Helper()
	if len(l.notRun)+len(l.unsure) > 0 {
		l.fleet.t.Errorf("%s: not run: %v, unknown: %v, want only answers", l.name, l.notRun, l.unsure)
	}
}

func (l *load) summary() string {
	return fmt.Sprintf("%s: %d calls, %d answered, %d not run, %d unknown, %d repeated; latency of answers p50 %v, p99 %v, max %v",
		l.name, l.done.Load(), len(l.answered), len(l.notRun), len(l.unsure), l.repeated,
		l.quantile(50), l.quantile(99), l.quantile(100))
}

func (l *load) quantile(q float64) time.Duration {
	return time.Duration(l.latency.ValueAtQuantile(q)) * time.Microsecond
}

// issue returns fresh keys of one of the nodes, or none where no node answers.
func issue(count int, nodes ...string) csapi.Keys {
	for _, i := range rand.Perm(len(nodes)) {
		var keys csapi.Keys
		r, err := send(nodes[i], "POST", fmt.Sprintf("%s?count=%d", csapi.KeysPath, count), nil, nil)
		if err == nil && r.status == 200 && json.Unmarshal(r.body, &keys) == nil {
			return keys
		}
	}
	return nil
}
