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

// accountUse is the sum of the resources of an account's open runs.
type accountUse struct {
	total  Resources
	queues map[*Queue]Resources // by the queue of the job
}

// AccountUsage returns the resources of all open runs of a client account, with the full resources of each step. This includes runs that may
// never have started, that are being stopped, and those on a lost incarnation whose end is not recorded.
func (t *Table) AccountUsage(id csmodel.AccountID) Resources {
	if u := t.usage[id]; u != nil {
		return u.total
	}
	return Resources{}
}

// QueueUsage returns the resources of all open runs by account and queue, in no particular order.
func (t *Table) QueueUsage() iter.Seq2[csmodel.AccountID, QueueUse] {
	return func(yield func(csmodel.AccountID, QueueUse) bool) {
		for id, u := range t.usage {
			for q, r := range u.queues {
				if q != nil && !yield(id, QueueUse{Pool: q.Pool, Used: r}) {
					return
				}
			}
		}
	}
}

// QueueUse is what an account's open runs of one queue use.
type QueueUse struct {
	Pool csmodel.PoolID
	Used Resources
}

// countRun adds a run of a step to the usage of its account.
func (t *Table) countRun(j *Job, step int) {
	id := j.Submission.Account
	if id == "" {
		return
	}
	u := t.usage[id]
	if u == nil {
		u = &accountUse{queues: map[*Queue]Resources{}}
		if t.usage == nil {
			t.usage = map[csmodel.AccountID]*accountUse{}
		}
		t.usage[id] = u
	}
	r := j.Submission.Steps[step].Resources
	u.total = u.total.Add(r)
	u.queues[j.queue] = u.queues[j.queue].Add(r)
}

// discountRun removes a run of a step from the usage of its account.
func (t *Table) discountRun(j *Job, step int) {
	u := t.usage[j.Submission.Account]
	if u == nil {
		return
	}
	r := j.Submission.Steps[step].Resources
	u.total = u.total.Sub(r)
	if u.queues[j.queue] = u.queues[j.queue].Sub(r); u.queues[j.queue] == (Resources{}) {
		delete(u.queues, j.queue)
	}
	if u.total == (Resources{}) {
		delete(t.usage, j.Submission.Account)
	}
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
