package csjob

import (
	"iter"
	"math"

	"cowslipstream.example/cowslipstream/csmodel"
)

// unlimited is the headroom of a component without a limit. It leaves room for sums.
const unlimited = math.MaxInt64 / 4

// Headroom returns what the account may use beyond the resources that it uses already. A component is negative if they exceed the limit,
// and practically infinite if it has none.
func (a Account) Headroom(used Resources) Resources {
	limit := a.Limit
	if limit.CPU == 0 {
		limit.CPU = unlimited
	}
	if limit.Memory == 0 {
		limit.Memory = unlimited
	}
	if limit.GPUs == 0 {
		limit.GPUs = unlimited
	}
	return limit.Sub(used)
}

// Limited reports whether the account has a limit of any component.
func (a Account) Limited() bool { return a.Limit != Resources{} }

// CanRun reports whether the limit of the account allows one task of a step, or all tasks of a gang, while nothing else of the account runs.
func (a Account) CanRun(s Step) bool {
	need := 1
	if s.Gang {
		need = s.Tasks
	}
	return a.Headroom(Resources{}).Room(s.Resources, need) == need
}

// Room returns how many tasks with the given needs fit into headroom, at most limit. Headroom that is exceeded in any component has room for
// none, also for tasks that don't need the component.
func (r Resources) Room(need Resources, limit int) int {
	if !r.Fits(need) {
		return 0
	}
	return r.Count(need, limit)
}

// accountUsage holds what the open runs of accounts use. The zero value is empty.
type accountUsage struct {
	total  map[csmodel.AccountID]Resources
	queues map[*Queue]map[csmodel.AccountID]Resources // by the queue of the job
}

// AccountUsage returns the resources of all open runs of a client account, with the full resources of each step. This includes runs that may
// never have started, that are being stopped, and those on a lost incarnation whose end is not recorded.
func (t *Table) AccountUsage(id csmodel.AccountID) Resources { return t.usage.total[id] }

// PoolUsage returns what the open runs of each account with jobs of a pool's queues use, in no particular order. An account may come up once for
// each queue.
func (t *Table) PoolUsage(pool csmodel.PoolID) iter.Seq2[csmodel.AccountID, Resources] {
	return func(yield func(csmodel.AccountID, Resources) bool) {
		for q, accounts := range t.usage.queues {
			if q == nil || q.Pool != pool {
				continue
			}
			for id, r := range accounts {
				if !yield(id, r) {
					return
				}
			}
		}
	}
}

// countUsage adds a run of a step to the usage of the account of the job, or removes one that has ended.
func (t *Table) countUsage(j *Job, step int, ended bool) {
	id := j.Submission.Account
	if id == "" {
		return
	}
	u := &t.usage
	if u.total == nil {
		u.total, u.queues = map[csmodel.AccountID]Resources{}, map[*Queue]map[csmodel.AccountID]Resources{}
	}
	if u.queues[j.queue] == nil {
		u.queues[j.queue] = map[csmodel.AccountID]Resources{}
	}
	r := j.Submission.Steps[step].Resources
	if ended {
		addUse(u.total, id, Resources{}.Sub(r))
		addUse(u.queues[j.queue], id, Resources{}.Sub(r))
		return
	}
	addUse(u.total, id, r)
	addUse(u.queues[j.queue], id, r)
}

// addUse adds to the use of an account, and drops an account that uses nothing.
func addUse(m map[csmodel.AccountID]Resources, id csmodel.AccountID, r Resources) {
	if sum := m[id].Add(r); sum != (Resources{}) {
		m[id] = sum
		return
	}
	delete(m, id)
}

// withinLimit reports whether the limit of a job's account allows one more run of a step. It decides with the limit at the commit of the
// start, which may be lower than the one that the leader has placed the task with.
func (t *Table) withinLimit(j *Job, step int) bool {
	id := j.Submission.Account
	if id == "" {
		return true
	}
	a, ok := t.Account(id)
	return !ok || !a.Limited() || a.Headroom(t.AccountUsage(id)).Fits(j.Submission.Steps[step].Resources)
}
