package csrun

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: an account sends several times what its quota holds, batch and long-running. Guards against VMs that are requested for work that may
// not run, and against a quota that is reached without a trace in the log or one line for each round.
func TestWorkBeyondQuotaIsNoDemand(t *testing.T) {
	var out bytes.Buffer
	log, err := cslog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	sim := newSimulationOf(8, log)
	sim.noArrivals, sim.accounts = true, 1
	sim.advance(3 * time.Second) // targets have joined and run the long-running tasks of populate
	demand := func() PoolDemand { return sim.r.leader.demand.Load().demand["pool-0"] }
	before := demand()
	config := *sim.table.Config()
	config.Version++
	config.Accounts = []csjob.Account{{ID: simAccount(0), Limit: csjob.Resources{CPU: 5000, Memory: 20_000}}}
	sim.commit(csjob.Command{Config: &config})
	lasting := csjob.Step{Tasks: 3, Resources: csjob.Resources{CPU: 1000, Memory: 1000}, LongRunning: true}
	batch := csjob.Step{Tasks: 8, Resources: csjob.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Minute}
	sim.submit(queueKey(0, 2), lasting)
	sim.submit(queueKey(0, 0), batch)
	sim.submit(queueKey(0, 2), lasting)
	sim.advance(2 * time.Second)
	got := demand()
	if got.Waiting != before.Waiting || got.Late != before.Late {
		t.Errorf("got a demand of %d waiting and %d late, want %d and %d: all that waits exceeds the quota", got.Waiting, got.Late, before.Waiting, before.Late)
	}
	if want := before.LongRunning + 5000; got.LongRunning != want {
		t.Errorf("got a demand of %d for long-running tasks, want %d", got.LongRunning, want)
	}
	if want := before.Memory + 5000; got.Memory != want {
		t.Errorf("got a demand of %d MiB, want %d", got.Memory, want)
	}
	if used := sim.table.AccountUsage(simAccount(0)); used != (csjob.Resources{CPU: 5000, Memory: 5000}) {
		t.Errorf("got usage %+v, want five of six long-running tasks, which go before the batch job", used)
	}
	if got := strings.Count(out.String(), "account at its limit"); got != 1 {
		t.Errorf("got %d lines on the limit, want 1 in %s:\n%s", got, limitLogInterval, out.String())
	}
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, "account at its limit") || strings.Contains(line, "quota_waits=2") {
			t.Log(line)
		}
	}
}

// Guards against metrics that grow with the number of accounts.
func TestLargestAccounts(t *testing.T) {
	var all []accountUse
	for n := range 30 {
		all = append(all, accountUse{id: csmodel.AccountID(fmt.Sprintf("a%02d", n)), used: csjob.Resources{CPU: csmodel.MilliCPU(n * 7 % 30)}})
	}
	largest, other := largestAccounts(all, 20)
	if got, want := largest[0].used.CPU, csmodel.MilliCPU(29); len(largest) != 20 || got != want {
		t.Errorf("got %d accounts, the first of which uses %d, want 20 and %d", len(largest), got, want)
	}
	if want := csmodel.MilliCPU(45); other.CPU != want {
		t.Errorf("got %d for all others, want %d", other.CPU, want)
	}
}
