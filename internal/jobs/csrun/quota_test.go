package csrun_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// quotaCheck checks the limits of accounts in a cluster. It counts runs itself and does not use the index of the table.
type quotaCheck struct {
	cluster  *cluster
	limits   map[csmodel.AccountID]csjob.Resources // in force
	earlier  []earlierLimits
	version  int64
	used     map[csmodel.AccountID]csjob.Resources // after the last command
	started  int
	proposal int64 // version of the last proposed configuration
	atLimit  int   // commands with starts after which an account has less than one core left
}

// earlierLimits are limits that are no longer in force.
type earlierLimits struct {
	limits map[csmodel.AccountID]csjob.Resources
	ended  time.Time
}

// allowed reports whether a limit that was in force when a start was placed covers the use of an account.
func (q *quotaCheck) allowed(id csmodel.AccountID, used csjob.Resources) bool {
	ok := q.limits[id].Fits(used)
	for _, e := range q.earlier {
		ok = ok || (time.Since(e.ended) <= limitDelay && e.limits[id].Fits(used))
	}
	return ok
}

// limitDelay is how long after a change of a limit the starts that a round has placed before may still be proposed.
const limitDelay = 50 * time.Millisecond

func newQuotaCheck(i *cluster) *quotaCheck {
	q := &quotaCheck{cluster: i, proposal: 1, used: map[csmodel.AccountID]csjob.Resources{}}
	i.state.proposed, i.state.applied = q.proposed, q.applied
	return q
}

// configure sets the limits of all accounts.
func (q *quotaCheck) configure(limits map[csmodel.AccountID]csjob.Resources) {
	var config csjob.Config
	q.cluster.state.set(func() { config = *q.cluster.state.table.Config() })
	q.proposal++
	config.Version, config.Accounts = q.proposal, nil
	for id, limit := range limits {
		config.Accounts = append(config.Accounts, csjob.Account{ID: id, Limit: limit})
	}
	q.cluster.propose(csjob.Command{Config: &config})
}

// sum returns what the open runs in the table use.
func (q *quotaCheck) sum() map[csmodel.AccountID]csjob.Resources {
	out := map[csmodel.AccountID]csjob.Resources{}
	for _, j := range q.cluster.state.table.Active() {
		for _, o := range j.Begun {
			for s, tasks := range o.Tasks {
				for n := range tasks {
					for range tasks[n].Runs {
						out[j.Submission.Account] = out[j.Submission.Account].Add(j.Submission.Steps[s].Resources)
					}
				}
			}
		}
	}
	return out
}

// applied checks that no command lets the use of an account grow beyond its limit. The lock of the state is held.
func (q *quotaCheck) applied() {
	if c := q.cluster.state.table.Config(); c.Version != q.version {
		q.earlier = append(q.earlier, earlierLimits{q.limits, time.Now()})
		q.version, q.limits = c.Version, map[csmodel.AccountID]csjob.Resources{}
		for _, a := range c.Accounts {
			q.limits[a.ID] = a.Limit
		}
	}
	sum := q.sum()
	for id, limit := range q.limits {
		over := limit.Sub(sum[id])
		if !over.Fits(csjob.Resources{}) && !q.used[id].Fits(sum[id]) {
			q.cluster.t.Errorf("account %s grew from %+v to %+v, limit %+v", id, q.used[id], sum[id], limit)
		}
		if got := q.cluster.state.table.AccountUsage(id); got != sum[id] {
			q.cluster.t.Errorf("account %s: got usage %+v in the index, want %+v", id, got, sum[id])
		}
	}
	q.used = sum
}

// proposed checks that the leader proposes no start beyond a limit, counting the open runs and the starts that may still be committed. The lock
// of the state is held.
func (q *quotaCheck) proposed(c csjob.Command) {
	if len(c.Starts) == 0 {
		return
	}
	sum := q.sum()
	add := func(c csjob.Command) {
		for _, s := range c.Starts {
			j := q.cluster.state.table.Job(s.Task.Job)
			if task := j.Task(s.Task); c.Term == q.cluster.state.term && task != nil && task.Attempts < s.Attempt {
				sum[j.Submission.Account] = sum[j.Submission.Account].Add(j.Submission.Steps[s.Task.Step].Resources)
			}
		}
	}
	add(c)
	for _, o := range q.cluster.state.withheld {
		add(o)
	}
	q.started += len(c.Starts)
	accounts := csmodel.NewSet[csmodel.AccountID]()
	for _, s := range c.Starts {
		accounts.Add(q.cluster.state.table.Job(s.Task.Job).Submission.Account)
	}
	for id := range accounts {
		if left := q.limits[id].Sub(sum[id]); left.CPU < 1000 {
			q.atLimit++
		}
		if !q.allowed(id, sum[id]) {
			q.cluster.t.Errorf("starts that may be committed bring account %s to %+v, limit %+v", id, sum[id], q.limits[id])
		}
	}
}

// runsCounted checks that every run on a target that is still there is an open run in the table.
func (q *quotaCheck) runsCounted() {
	w := q.cluster.simulator
	w.mu.Lock()
	defer w.mu.Unlock()
	q.cluster.state.View(func(t *csjob.Table) {
		for _, k := range w.targets {
			w.expireLease(k)
			for key, r := range k.running {
				open := false
				if task := t.Job(key.Job).Task(key); task != nil {
					for _, o := range task.Runs {
						open = open || o.Attempt == r.attempt
					}
				}
				if !open {
					q.cluster.t.Errorf("%s with attempt %d runs on %s and is not counted", key, r.attempt, k.incarnation.Target)
				}
			}
		}
	})
}

// Pattern: accounts send several times what their limits allow, while answers are lost, starts arrive late, commits stall, targets fall silent,
// and leaders and limits change. Guards against an account that gets more than its limit because a start that may exist was not counted, and
// against usage that is never given back.
//
// It is not parallel, because it takes the processors from the tests that run in real time.
func TestQuotasUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newCluster(t, seed, 4, faults{lostAnswers: 0.05, lateOrders: 0.05, failedRuns: 0.05})
				q := newQuotaCheck(i)
				random := rand.New(rand.NewPCG(seed, 3))
				term := csmodel.Term(1)
				limit := func() csjob.Resources {
					return csjob.Resources{CPU: csmodel.MilliCPU(4000 + random.IntN(6000)), Memory: csjob.MiB(400 + random.IntN(1000))}
				}
				randomLimits := func() map[csmodel.AccountID]csjob.Resources {
					return map[csmodel.AccountID]csjob.Resources{"a": limit(), "b": limit(), "c": limit()}
				}
				q.configure(randomLimits())
				var lasting []csjob.ID
				for n := range 120 {
					id := csjob.ID(fmt.Sprintf("%016x", n))
					s := step(1+random.IntN(5), csmodel.MilliCPU(500+random.IntN(1500)), time.Duration(10+random.IntN(80))*time.Millisecond)
					s.Gang, s.BestEffort = random.IntN(8) == 0, random.IntN(8) == 0
					if s.Gang {
						s.Tasks, s.Resources.CPU = 2, 1000
					}
					if random.IntN(12) == 0 {
						s.LongRunning, s.Gang = true, false
						lasting = append(lasting, id)
					}
					i.submitFor(csmodel.AccountID([]string{"a", "a", "a", "b", "c"}[random.IntN(5)]), id, s)
					switch random.IntN(14) {
					case 0:
						q.configure(randomLimits())
					case 1:
						i.state.stall()
					case 2:
						i.state.resume(random.IntN(2) == 0)
					case 3:
						i.leader.Follow()
						held := i.state.endStall()
						term++
						i.beginTerm(term)
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
						i.state.applyWithheld(held)
						i.state.onChange()
					case 4:
						target := csjob.TargetID(fmt.Sprint(1 + random.IntN(4)))
						i.withTarget(target, func(k *simulatedTarget) { k.unreachable = !k.unreachable })
					}
					time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
					q.runsCounted()
				}
				i.state.resume(true)
				for n := range 4 {
					i.withTarget(csjob.TargetID(fmt.Sprint(n+1)), func(k *simulatedTarget) { k.unreachable = false })
				}
				for _, id := range lasting {
					i.propose(csjob.Command{Cancel: &csjob.JobRef{Queue: testKey, ID: id}})
				}
				i.awaitAllJobs(60 * time.Second)
				i.checkInvariants()
				t.Logf("%d starts, %d commands at a limit", q.started, q.atLimit)
				if q.atLimit == 0 {
					t.Error("got no account at its limit, so that nothing was checked")
				}
				for id := range q.limits {
					if got := i.state.table.AccountUsage(id); got != (csjob.Resources{}) {
						t.Errorf("account %s: got usage %+v after the last job, want none", id, got)
					}
				}
			})
		})
	}
}

// submitFor submits a job of an account.
func (i *cluster) submitFor(account csmodel.AccountID, id csjob.ID, steps ...csjob.Step) {
	i.t.Helper()
	s := csjob.Submission{ID: id, Queue: testKey, Steps: steps, Account: account}
	i.simulator.mu.Lock()
	i.simulator.jobs[id] = s
	i.simulator.mu.Unlock()
	if got := i.propose(csjob.Command{Submit: &s}); got != csjob.Accepted {
		i.t.Fatalf("submission of %s: got verdict %d, want accepted", id, got)
	}
}
