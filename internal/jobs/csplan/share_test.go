package csplan

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	shareVMs       = 10
	shareTime      = 10 * time.Second // in which jobs arrive
	shareFloodFrom = 2 * time.Second
	shareFloodEnd  = 8 * time.Second
	shareDeviation = 0.2 // standard deviation of the logarithms of run times
)

// shareAccount is an account of a shareSim.
type shareAccount struct {
	id     csmodel.AccountID
	weight float64
	rate   float64 // jobs per second
	flood  float64 // factor of the rate from shareFloodFrom to shareFloodEnd; zero is 1
	step   csjob.Step
}

// shareResult is what became of the jobs of an account.
type shareResult struct {
	jobs, onTime int
	work         float64 // core seconds of its runs while jobs arrived
}

func (r shareResult) share() float64 { return float64(r.onTime) / float64(max(1, r.jobs)) }

// shareSim simulates one pool and the jobs of several accounts, with the table that decides about surplus.
type shareSim struct {
	accounts []shareAccount
	ignored  bool // accounts have no influence
	seed     uint64

	table   csjob.Table
	index   csmodel.Index
	at      time.Time
	slots   []*Slot
	runs    []simRun
	runTime map[csjob.TaskKey]time.Duration
	results map[csmodel.AccountID]*shareResult
	owner   map[csjob.ID]csmodel.AccountID
	open    map[csjob.ID]bool // jobs that are not done
}

func (sim *shareSim) apply(c csjob.Command) {
	b, err := c.Encode()
	if err != nil {
		panic(err) // every command can be encoded
	}
	sim.index++
	sim.table.Apply(csraft.Entry{Index: sim.index, At: sim.at, Data: b})
}

func (sim *shareSim) setUp() {
	sim.at = time.Unix(1_800_000_000, 0).UTC()
	sim.runTime, sim.results = map[csjob.TaskKey]time.Duration{}, map[csmodel.AccountID]*shareResult{}
	sim.owner, sim.open = map[csjob.ID]csmodel.AccountID{}, map[csjob.ID]bool{}
	q := testQueue
	q.Pool, q.Attempts, q.Timeout = "p", 2, time.Second
	config := csjob.Config{Version: 1, Pools: []csjob.Pool{{ID: "p"}}, Queues: []csjob.Queue{q}}
	for _, a := range sim.accounts {
		sim.results[a.id] = &shareResult{}
		config.Accounts = append(config.Accounts, csjob.Account{ID: a.id, Weight: a.weight})
	}
	sim.apply(csjob.Command{Config: &config})
	for n := range shareVMs {
		s := slot(fmt.Sprint(n), simVMCPU, 1<<20)
		sim.slots = append(sim.slots, s)
		sim.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: s.Incarnation, Pool: "p"}}}})
	}
}

// run runs the simulation and returns the results by account.
func (sim *shareSim) run() map[csmodel.AccountID]*shareResult {
	sim.setUp()
	start := sim.at
	random := make([]*rand.Rand, len(sim.accounts))
	next := make([]time.Time, len(sim.accounts))
	for n := range sim.accounts {
		// Each account has random numbers of its own, so that the flood of one leaves the arrivals of the others as they are.
		random[n], next[n] = rand.New(rand.NewPCG(sim.seed, uint64(n))), start
	}
	for ; sim.at.Before(start.Add(shareTime + 3*time.Second)); sim.at = sim.at.Add(simTick) {
		for n, a := range sim.accounts {
			for ; !next[n].After(sim.at) && next[n].Before(start.Add(shareTime)); next[n] = next[n].Add(gap(random[n], a, next[n].Sub(start))) {
				sim.submit(a, random[n])
			}
		}
		sim.endRuns()
		sim.place(sim.at.Before(start.Add(shareTime)))
	}
	return sim.results
}

func gap(r *rand.Rand, a shareAccount, since time.Duration) time.Duration {
	rate := a.rate
	if a.flood > 0 && since >= shareFloodFrom && since < shareFloodEnd {
		rate *= a.flood
	}
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (sim *shareSim) submit(a shareAccount, r *rand.Rand) {
	id := csjob.ID(fmt.Sprintf("%s-%06d", a.id, sim.results[a.id].jobs))
	sim.results[a.id].jobs++
	sim.owner[id], sim.open[id] = a.id, true
	for n := range a.step.Tasks {
		sim.runTime[csjob.TaskKey{Job: id, Index: n}] = time.Duration(float64(a.step.Estimate) * math.Exp(shareDeviation*r.NormFloat64()))
	}
	s := csjob.Submission{ID: id, Queue: testQueue.Key, Steps: []csjob.Step{a.step}}
	if !sim.ignored {
		s.Account = a.id
	}
	sim.apply(csjob.Command{Submit: &s})
}

// endRuns ends the runs that are due and counts the jobs that were done on time.
func (sim *shareSim) endRuns() {
	open := sim.runs[:0]
	var c csjob.Command
	for _, r := range sim.runs {
		if r.ends.After(sim.at) {
			open = append(open, r)
			continue
		}
		r.slot.Free = r.slot.Free.Add(r.job.Submission.Steps[0].Needs())
		c.Ends = append(c.Ends, csjob.End{Task: r.key, Attempt: 1, Incarnation: r.slot.Incarnation})
	}
	sim.runs = open
	sim.apply(c)
	for _, e := range c.Ends {
		j := sim.table.Job(e.Task.Job)
		if id := j.Submission.ID; j.State == csjob.Completed && sim.open[id] {
			delete(sim.open, id)
			limit := testQueue.Objective + time.Duration(testQueue.Stretch*float64(j.Submission.Steps[0].Estimate))
			if j.Ended.Sub(j.Accepted) <= limit {
				sim.results[sim.owner[id]].onTime++
			}
		}
	}
}

// place starts waiting tasks. counted is set while the work of the runs counts.
func (sim *shareSim) place(counted bool) {
	work := Waiting(sim.at, &LearnedEstimator{}, testQueue, sim.table.Active())
	Sort(work)
	p := Pool{
		Work: work, Slots: sim.slots, Used: func() map[csmodel.AccountID]csjob.Resources { return maps.Collect(sim.table.PoolUsage("p")) },
		Capacity: csjob.Resources{CPU: shareVMs * simVMCPU, Memory: shareVMs << 20},
	}
	var accounts *Accounts
	if !sim.ignored {
		accounts = NewAccounts(func(id csmodel.AccountID) Account {
			a, _ := sim.table.Account(id)
			return Account{Weight: a.Weight}
		})
	}
	accounts.Place([]*Pool{&p}, func(csjob.TaskKey) bool { return false })
	var c csjob.Command
	for _, o := range p.Placed {
		o.Slot.Starting = 0 // targets confirm starts at once
		j := sim.table.Job(o.Task.Job)
		sim.runs = append(sim.runs, simRun{o.Slot, j, o.Task, sim.at.Add(sim.runTime[o.Task] + simEndDelay)})
		c.Starts = append(c.Starts, csjob.Start{Task: o.Task, Attempt: 1, Incarnation: o.Slot.Incarnation})
		if counted {
			sim.results[sim.owner[o.Task.Job]].work += sim.runTime[o.Task].Seconds() * float64(j.Submission.Steps[0].Resources.CPU) / 1000
		}
	}
	sim.apply(c)
}

func (r *shareResult) add(o *shareResult) {
	r.jobs += o.jobs
	r.onTime += o.onTime
}

// others adds up the results of all accounts but one.
func others(results map[csmodel.AccountID]*shareResult, but csmodel.AccountID) (sum shareResult) {
	for id, r := range results {
		if id != but {
			sum.add(r)
		}
	}
	return sum
}

var smallStep = csjob.Step{Tasks: 6, Resources: csjob.Resources{CPU: simTaskCPU, Memory: simTaskMemory}, Estimate: 640 * time.Millisecond}

// twentyAccounts returns 20 accounts of unequal size that use about two thirds of the pool. The first is one of the large ones.
func twentyAccounts() []shareAccount {
	var out []shareAccount
	for n := range 20 {
		rate := 0.7
		if n < 4 {
			rate = 4.5
		}
		out = append(out, shareAccount{id: csmodel.AccountID(fmt.Sprintf("a%02d", n)), weight: 1.2 * rate, rate: rate, step: smallStep})
	}
	return out
}

const shareSeeds = 20

// compared runs a simulation in which accounts are ignored, for the figures of docs/design/shares.md. They take as long as those under test, so
// only verbose tests make them.
func compared(sim shareSim) map[csmodel.AccountID]*shareResult {
	if !testing.Verbose() {
		out := map[csmodel.AccountID]*shareResult{}
		for _, a := range sim.accounts {
			out[a.id] = &shareResult{}
		}
		return out
	}
	sim.ignored = true
	return sim.run()
}

// Pattern: one of 20 accounts sends eight times its usual load for six seconds. Guards against a flood that makes the jobs of other accounts
// late: their share on time may change by at most 0.02 (page of the deployments), over twenty seeds.
func TestFloodOfOneAccountLeavesOthersOnTime(t *testing.T) {
	t.Parallel()
	var calm, flood, ignored shareResult
	worst := 0.0
	for seed := range uint64(shareSeeds) {
		accounts := twentyAccounts()
		before := (&shareSim{accounts: accounts, seed: seed}).run()
		flooded := twentyAccounts()
		flooded[0].flood = 8
		after := (&shareSim{accounts: flooded, seed: seed}).run()
		plain := compared(shareSim{accounts: flooded, seed: seed})
		a, b, c := others(before, "a00"), others(after, "a00"), others(plain, "a00")
		calm.add(&a)
		flood.add(&b)
		ignored.add(&c)
		worst = max(worst, a.share()-b.share())
	}
	t.Logf("others on time: %.3f without the flood, %.3f with it, %.3f with it where accounts are ignored; largest loss of a seed %.3f",
		calm.share(), flood.share(), ignored.share(), worst)
	if lost := calm.share() - flood.share(); lost > 0.02 {
		t.Errorf("got a loss of %.3f, want at most 0.02", lost)
	}
}

// Pattern: two large accounts together send 1.8 times what the pool holds, within their weights, beside a small account whose jobs need about
// its whole share each while they run. Guards against a small account that waits behind the backlog of the large ones although it uses less
// than its share.
func TestSmallAccountBesideLargeOnes(t *testing.T) {
	t.Parallel()
	cases := []struct {
		rate float64 // jobs per second; 1.6 need the whole share of the account
		want float64 // share on time
	}{{0.5, 0.9}, {1, 0.75}}
	for _, c := range cases {
		var small, ignored shareResult
		for seed := range uint64(shareSeeds) {
			accounts := []shareAccount{
				{id: "small", weight: 3, rate: c.rate, step: smallStep},
				{id: "large-1", weight: 40, rate: 40, step: smallStep},
				{id: "large-2", weight: 40, rate: 40, step: smallStep},
			}
			small.add((&shareSim{accounts: accounts, seed: seed}).run()["small"])
			ignored.add(compared(shareSim{accounts: accounts, seed: seed})["small"])
		}
		t.Logf("%.1f jobs per second of the small account: on time %.3f, %.3f where accounts are ignored", c.rate, small.share(), ignored.share())
		if got := small.share(); got < c.want {
			t.Errorf("got %.3f of %.1f jobs per second on time, want %.2f", got, c.rate, c.want)
		}
	}
}

// Pattern: all accounts send 1.4 times what the pool holds in proportion to their weights. Guards against shares that cost more than they give:
// at least nine tenths of the jobs that are on time where accounts are ignored must be.
func TestSharesCostLittleInEvenOverload(t *testing.T) {
	t.Parallel()
	var shared, ignored shareResult
	for seed := range uint64(shareSeeds) {
		accounts := twentyAccounts()
		for i := range accounts {
			accounts[i].rate *= 2.2
			accounts[i].weight = 2 * accounts[i].rate
		}
		a, b := others((&shareSim{accounts: accounts, seed: seed}).run(), ""), others((&shareSim{accounts: accounts, seed: seed, ignored: true}).run(), "")
		shared.add(&a)
		ignored.add(&b)
	}
	t.Logf("on time: %.3f, %.3f where accounts are ignored", shared.share(), ignored.share())
	if got, want := shared.share(), 0.9*ignored.share(); got < want {
		t.Errorf("got %.3f of the jobs on time, want %.3f", got, want)
	}
}

// Guards against capacity that is left idle, or a job that is held back, because its account has had its share: nobody else wants it.
func TestSharesAreWorkConserving(t *testing.T) {
	now := time.Now()
	for _, surplus := range []bool{false, true} {
		var jobs []*csjob.Job
		for n := range 100 {
			j := job(fmt.Sprint(n), now, step(1, 1000, 1))
			j.Submission.Account, j.Surplus = "a", surplus
			jobs = append(jobs, j)
		}
		other := job("other", now, step(1, 40_000, 1)) // fits no slot
		other.Submission.Account = "b"
		work := Waiting(now, &LearnedEstimator{}, testQueue, append(jobs, other))
		Sort(work)
		p := Pool{
			Work: work, Slots: []*Slot{slot("1", 32_000, 1<<20), slot("2", 32_000, 1<<20)}, Capacity: csjob.Resources{CPU: 64_000, Memory: 2 << 20},
		}
		weights := map[csmodel.AccountID]float64{"a": 1, "b": 99}
		NewAccounts(func(id csmodel.AccountID) Account { return Account{Weight: weights[id]} }).Place([]*Pool{&p}, func(csjob.TaskKey) bool { return false })
		if got, want := len(p.Placed), 64; got != want {
			t.Errorf("surplus %t: got %d tasks placed on two idle slots, want %d", surplus, got, want)
		}
	}
}

// Pattern: an account with tasks of half a VM beside accounts with small tasks that fill every gap, together 1.7 times what the pool holds.
// Guards against large tasks that never find room: the account has to get at least two thirds of its share of the pool.
func TestLargeJobsBesideSmallOnes(t *testing.T) {
	t.Parallel()
	large := csjob.Step{Tasks: 2, Resources: csjob.Resources{CPU: 16_000, Memory: simTaskMemory}, Estimate: 640 * time.Millisecond}
	var work, ignored float64
	for seed := range uint64(shareSeeds) {
		accounts := []shareAccount{
			{id: "large", weight: 10, rate: 10, step: large}, // 20 core seconds a job
			{id: "small-1", weight: 25, rate: 25, step: smallStep},
			{id: "small-2", weight: 25, rate: 25, step: smallStep},
		}
		work += (&shareSim{accounts: accounts, seed: seed}).run()["large"].work / shareSeeds
		ignored += compared(shareSim{accounts: accounts, seed: seed})["large"].work / shareSeeds
	}
	share := shareTime.Seconds() * shareVMs * float64(simVMCPU) / 1000 * 10 / 60
	t.Logf("work of the account with large tasks over its share: %.2f, %.2f where accounts are ignored", work/share, ignored/share)
	if got := work / share; got < 2.0/3 {
		t.Errorf("got %.2f of the share of the account with large tasks, want 0.67", got)
	}
}
