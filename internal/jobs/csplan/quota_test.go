package csplan

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: an account at its quota floods a pool with work of every kind beside the job of another account. Guards against work that waits for
// its quota and reserves targets, ends the round for others, or requests VMs; and against a gang of which a part starts.
func TestWorkWithoutHeadroomHoldsNothing(t *testing.T) {
	now := time.Now()
	lasting := func(s csjob.Step) csjob.Step { s.LongRunning = true; return s }
	gang := func(s csjob.Step) csjob.Step { s.Gang = true; return s }
	bestEffort := func(s csjob.Step) csjob.Step { s.BestEffort = true; return s }
	cases := []struct {
		name     string
		step     csjob.Step // of each of 100 jobs
		headroom csjob.Resources
		free     csmodel.MilliCPU // of each of two slots of 32 cores
		other    int              // tasks of the other account placed, of 4
		placed   int              // tasks of the account placed
		withheld int              // steps of which tasks have no headroom
	}{
		{"batch", step(2, 1000, 1), csjob.Resources{Memory: 100}, 4000, 4, 0, 100},
		{"batch with headroom for three tasks", step(2, 1000, 1), csjob.Resources{CPU: 3999, Memory: 100}, 8000, 4, 3, 99},
		{"long-running, larger than what is free", lasting(step(1, 20_000, 1)), csjob.Resources{CPU: 19_999, Memory: 100}, 4000, 4, 0, 100},
		{"batch, larger than what is free, with headroom for one", step(1, 20_000, 1), csjob.Resources{CPU: 20_000, Memory: 100}, 4000, 4, 0, 99},
		{"gang of three with headroom for two", gang(step(3, 1000, 1)), csjob.Resources{CPU: 2000, Memory: 100}, 8000, 4, 0, 100},
		{"best effort counts in full", bestEffort(step(1, 1000, 1)), csjob.Resources{CPU: 2000, Memory: 100}, 4000, 4, 2, 98},
		{"above a lowered limit, without CPU", step(1, 0, 1), csjob.Resources{CPU: -1, Memory: 100}, 4000, 4, 0, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var jobs []*csjob.Job
			for n := range 100 {
				j := job(fmt.Sprint("limited-", n), now, c.step)
				j.Submission.Account, j.AcceptIndex = "limited", csmodel.Index(n)
				jobs = append(jobs, j)
			}
			other := job("other", now.Add(time.Second), step(4, 1000, 1)) // less urgent
			other.Submission.Account = "other"
			p := Pool{
				Work: Waiting(now, &LearnedEstimator{}, testQueue, append(jobs, other)), Slots: []*Slot{slot("1", c.free, 1<<20), slot("2", c.free, 1<<20)},
				Capacity: csjob.Resources{CPU: 64_000, Memory: 2 << 20},
			}
			Sort(p.Work)
			NewAccounts(func(id csmodel.AccountID) Account { return Account{Limited: id == "limited", Headroom: c.headroom} }).
				Place([]*Pool{&p}, func(csjob.TaskKey) bool { return false })
			got := map[bool]int{}
			for _, o := range p.Placed {
				got[o.Task.Job == "other"]++
			}
			withheld := 0
			for i := range p.Work {
				if p.Work[i].Withheld() > 0 {
					withheld++
				}
			}
			if got[true] != c.other || got[false] != c.placed || withheld != c.withheld {
				t.Errorf("got %d tasks of the other account, %d of the limited one and %d steps withheld, want %d, %d and %d",
					got[true], got[false], withheld, c.other, c.placed, c.withheld)
			}
		})
	}
}

// Pattern: an account has work in several pools and headroom for one task. Guards against headroom that goes to the pool that comes first, and
// against a surplus job that takes it from an owed one.
func TestHeadroomGoesToMostUrgentWorkOfAllPools(t *testing.T) {
	now := time.Now()
	lasting := step(1, 1000, 1)
	lasting.LongRunning = true
	pool := func(id string, surplus bool, s csjob.Step) *Pool {
		j := job(id, now, s)
		j.Submission.Account, j.Surplus = "a", surplus
		return &Pool{Work: Waiting(now, &LearnedEstimator{}, testQueue, []*csjob.Job{j}), Slots: []*Slot{slot(id, 32_000, 1<<20)}}
	}
	pools := []*Pool{pool("surplus", true, lasting), pool("batch", false, step(1, 1000, 1)), pool("lasting", false, lasting)}
	NewAccounts(func(csmodel.AccountID) Account {
		return Account{Limited: true, Headroom: csjob.Resources{CPU: 1000, Memory: 100}}
	}).Place(pools, func(csjob.TaskKey) bool { return false })
	if len(pools[0].Placed) != 0 || len(pools[1].Placed) != 0 || len(pools[2].Placed) != 1 {
		t.Errorf("got %d surplus, %d batch and %d long-running tasks placed, want 0, 0 and 1", len(pools[0].Placed), len(pools[1].Placed), len(pools[2].Placed))
	}
}
