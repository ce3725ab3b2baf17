package csrun

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// limitLogInterval is the minimum time between two log lines about one account at its limit or over its share of a pool.
const limitLogInterval = 5 * time.Second

// accountsOf returns the accounts of the round with their headroom, and a function that tells what they use in a pool. It returns nil, and costs
// nothing, where no job that waits or runs belongs to an account.
func (r *runner) accountsOf(t *csjob.Table) (*csplan.Accounts, func(csmodel.PoolID) map[csmodel.AccountID]csjob.Resources) {
	owned := false
	for _, p := range r.pools {
		owned = owned || p.hasAccounts
	}
	if !owned {
		return nil, nil
	}
	type poolAccount struct {
		pool csmodel.PoolID
		id   csmodel.AccountID
	}
	pending, pendingIn := map[csmodel.AccountID]csjob.Resources{}, map[poolAccount]csjob.Resources{}
	for key, l := range r.pendingStarts {
		j := t.Job(key.Job)
		if j == nil || j.Submission.Account == "" || started(j, key, l) {
			continue
		}
		id, need := j.Submission.Account, j.Submission.Steps[key.Step].Resources
		in := poolAccount{t.QueueSettings(j).Pool, id}
		pending[id], pendingIn[in] = pending[id].Add(need), pendingIn[in].Add(need)
	}
	accounts := csplan.NewAccounts(func(id csmodel.AccountID) csplan.Account {
		a, known := t.Account(id)
		if !known {
			return csplan.Account{}
		}
		return csplan.Account{Limited: a.Limited(), Headroom: a.Headroom(t.AccountUsage(id).Add(pending[id])), Weight: a.Weight}
	})
	return accounts, func(pool csmodel.PoolID) map[csmodel.AccountID]csjob.Resources {
		used := map[csmodel.AccountID]csjob.Resources{}
		for id, r := range t.PoolUsage(pool) {
			used[id] = used[id].Add(r)
		}
		for in, r := range pendingIn {
			if in.pool == pool {
				used[in.id] = used[in.id].Add(r)
			}
		}
		return used
	}
}

// started reports whether the table holds the run of a pending start already. The start is no longer pending once its commit is reported.
func started(j *csjob.Job, key csjob.TaskKey, l csjob.Incarnation) bool {
	task := j.Task(key)
	if task == nil {
		return true // the job has ended, so that the start has no effect any more
	}
	for i := range task.Runs {
		if task.Runs[i].Incarnation == l {
			return true
		}
	}
	return false
}

// withhold removes the batch work that waits for the quota of its account from the load that arriving jobs offer, and logs the accounts. It
// returns the number of long-running tasks that wait for their quota, by step.
func (r *runner) withhold(
	now time.Time, t *csjob.Table, accounts *csplan.Accounts, pools []*csplan.Pool, ids []csmodel.PoolID, demand Demand,
) map[csplan.StepKey]int {
	clear(r.quotas.waiting)
	var longRunning map[csplan.StepKey]int
	for i, p := range pools {
		d := demand[ids[i]]
		for n := range p.Work {
			w := &p.Work[n]
			tasks := w.Withheld()
			if tasks == 0 {
				continue
			}
			r.quotas.add(w.Job.Submission.Account)
			if w.Step.LongRunning {
				if longRunning == nil {
					longRunning = map[csplan.StepKey]int{}
				}
				longRunning[w.Key] = tasks
				continue
			}
			// What arrives and has to wait for its quota is no load, as far as it waits already.
			d.Offered = max(0, d.Offered-csmodel.MilliCPU(tasks)*w.Step.Resources.CPU)
		}
		demand[ids[i]] = d
	}
	for id, steps := range r.quotas.waiting {
		r.logLimit(now, t, accounts, id, steps)
	}
	for i, p := range pools {
		for _, o := range p.OverShare {
			r.logOverShare(now, ids[i], o)
		}
	}
	return longRunning
}

// logLimit writes a line about an account with steps that wait for its quota. What it uses includes the starts of the round.
func (r *runner) logLimit(now time.Time, t *csjob.Table, accounts *csplan.Accounts, id csmodel.AccountID, steps int) {
	if !r.quotas.due(now, accountLine{account: id}) {
		return
	}
	a, _ := t.Account(id)
	used := a.Headroom(csjob.Resources{}).Sub(accounts.Headroom(id))
	r.log.Info("account at its limit", zap.String("account", string(id)), zap.Int("steps", steps),
		zap.Int64("cpu", int64(used.CPU)), zap.Int64("cpu_limit", int64(a.Limit.CPU)),
		zap.Int64("memory", int64(used.Memory)), zap.Int64("memory_limit", int64(a.Limit.Memory)),
		zap.Int("gpus", used.GPUs), zap.Int("gpus_limit", a.Limit.GPUs))
}

// logOverShare writes a line about an account whose work waits for that of accounts below their share.
func (r *runner) logOverShare(now time.Time, pool csmodel.PoolID, o csplan.OverShare) {
	if r.quotas.due(now, accountLine{o.Account, pool}) {
		r.log.Info("account over its share", zap.String("account", string(o.Account)), zap.String("pool", string(pool)),
			zap.Int("steps", o.Steps), zap.String("used", percent(o.Used)), zap.String("share", percent(o.Share)))
	}
}

func percent(f float64) string { return strconv.FormatFloat(100*f, 'f', 1, 64) + "%" }

// quotaWaits counts the steps that wait for the quota of their account.
type quotaWaits struct {
	waiting  map[csmodel.AccountID]int // steps in the last round
	loggedAt map[accountLine]time.Time
	// reportedAt is when the metrics of accounts were last updated.
	reportedAt time.Time
}

func (q *quotaWaits) add(id csmodel.AccountID) {
	if q.waiting == nil {
		q.waiting = map[csmodel.AccountID]int{}
	}
	q.waiting[id]++
}

// accountLine identifies the log lines about an account, or about an account in a pool.
type accountLine struct {
	account csmodel.AccountID
	pool    csmodel.PoolID
}

// due reports whether a line is due, and records that it is written. It bounds the lines that it remembers.
func (q *quotaWaits) due(now time.Time, l accountLine) bool {
	if last, logged := q.loggedAt[l]; logged && now.Sub(last) < limitLogInterval {
		return false
	}
	if q.loggedAt == nil || len(q.loggedAt) >= maxAccountLines {
		q.loggedAt = map[accountLine]time.Time{}
	}
	q.loggedAt[l] = now
	return true
}

// maxAccountLines covers 630 accounts in several pools.
const maxAccountLines = 10_000
