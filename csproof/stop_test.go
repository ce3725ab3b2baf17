package csproof

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csfake"
)

// tally counts the outcomes of requests and keeps the first response of each kind that no test expects.
type tally struct {
	mu       sync.Mutex
	counts   map[csapi.Outcome]int
	notRun   []string
	examples map[csapi.Outcome]string
}

func newTally() *tally {
	return &tally{counts: map[csapi.Outcome]int{}, examples: map[csapi.Outcome]string{}}
}

func (y *tally) add(id string, r reply, err error) csapi.Outcome {
	o := outcome(r, err)
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.counts[o]++; y.counts[o] == 1 {
		y.examples[o] = fmt.Sprintf("%s: status %d, %s, %v", id, r.status, r.body, err)
	}
	if o == csapi.NotRun {
		y.notRun = append(y.notRun, id)
	}
	return o
}

func (y *tally) count(o csapi.Outcome) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.counts[o]
}

// check reports requests without a clear outcome, and requests that ran although they were reported as not run (I4).
func (y *tally) check(t *testing.T, ledger *csfake.Ledger) {
	t.Helper()
	for _, o := range []csapi.Outcome{"", csapi.Unknown} {
		if n := y.count(o); n > 0 {
			t.Errorf("%d requests with outcome %q; first: %s", n, o, y.examples[o])
		}
	}
	for _, id := range y.notRun {
		if n := ledger.Executions(id); n > 0 {
			t.Errorf("%s was reported as not run and ran %d times", id, n)
		}
	}
}

func keys(t *testing.T, n *node, count int) []string {
	t.Helper()
	r, err := send(n.Listen, "POST", fmt.Sprintf("/v1/keys?count=%d", count), nil, nil)
	var out []string
	if err == nil {
		err = json.Unmarshal(r.body, &out)
	}
	if err != nil || len(out) != count {
		t.Fatalf("%d keys of %d: %v", len(out), count, err)
	}
	return out
}

func request(n *node, job, id, key string) (reply, error) {
	headers := map[string]string{csapi.TeamHeader: "team", csapi.TimeoutHeader: "2s"}
	if key != "" {
		headers[csapi.KeyHeader] = key
	}
	return send(n.Listen, "POST", "/v1/jobs/"+job+"/requests", headers, []byte(id+"\n"))
}

// Guards against a planned stop that cuts requests in flight, loses the response on a kept-alive connection, reports one
// that ran as not run, or does not end (I7, I4, I5). The callers observe Retry-After.
func TestStopUnderLoad(t *testing.T) {
	c := newCluster(t, 2)
	waitRevision(t, ample, c.apply(c.nodes[0], 1), c.nodes...)
	ledger := csfake.NewLedger()
	c.addTargets(ledger, 30*time.Millisecond)
	victim := c.leader()
	y := newTally()
	var callers sync.WaitGroup
	for i := range 16 {
		job, issued := "quote", make([]string, 1000)
		if i%2 == 0 {
			job, issued = "order", keys(t, victim, len(issued))
		}
		callers.Go(func() {
			for number, key := range issued {
				id := fmt.Sprintf("%s-%d-%d", job, i, number)
				r, err := request(victim, job, id, key)
				if y.add(id, r, err); err != nil {
					return // the process has ended, or check reports the error
				}
				if seconds, err := strconv.Atoi(r.header.Get(csapi.RetryHeader)); err == nil {
					time.Sleep(time.Duration(seconds) * time.Second)
				}
			}
		})
	}
	eventually(t, ample, "load", func() bool { return y.count(csapi.Answer) >= 300 })
	start := time.Now()
	if status := victim.stop(syscall.SIGTERM); status != 0 {
		t.Errorf("exit status %d", status)
	}
	t.Logf("stopped after %v", time.Since(start))
	callers.Wait()
	y.check(t, ledger)
	for _, id := range ledger.Duplicates() {
		if id[0] == 'o' {
			t.Errorf("%s ran %d times", id, ledger.Executions(id))
		}
	}
	t.Logf("%d answers, %d not run", y.count(csapi.Answer), y.count(csapi.NotRun))
}
