package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

func (c Finish) apply(t *Table, at time.Time) Result {
	r, ok := t.tasks[c.ID]
	if !ok {
		return t.repeatedFinish(c)
	}
	switch {
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateLeased:
		return r.result(Refused)
	case len(c.Result) > MaxBlobBytes:
		return r.result(Invalid)
	}
	t.outcomes.add(outcome{vm: r.run.vm, jobID: r.job.id, succeeded: true})
	t.learnUsage(r.job, c.Used)
	t.endTask(r, StateFinished, at, c.Result)
	return Result{Status: OK, State: StateFinished, Fence: c.Fence}
}

// repeatedFinish returns Repeated when the attempt that finished the task sends its Finish again.
func (t *Table) repeatedFinish(c Finish) Result {
	result := t.endedOrNotFound(c.ID)
	if result.State == StateFinished && result.Fence == c.Fence {
		result.Status = Repeated
	}
	return result
}

func (c Fail) apply(t *Table, at time.Time) Result {
	r, ok := t.tasks[c.ID]
	switch {
	case !ok:
		return t.endedOrNotFound(c.ID)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateLeased:
		return r.result(Refused)
	}
	r.run.message = c.Message[:min(len(c.Message), MaxMessageBytes)]
	r.run.peak.raiseTo(c.Used)
	vm := r.run.vm
	if !c.Overrun {
		t.outcomes.add(outcome{vm: vm, jobID: r.job.id})
	}
	t.recordFailure(r, vm, func(run *runState) {
		if c.Final {
			run.finalFailures++
		}
		if c.Overrun {
			run.overruns++
		}
	})
	if r.run.finalFailures >= finalFailureVMs {
		t.endTask(r, StateFailed, at, nil)
		return Result{Status: OK, State: StateFailed, Fence: c.Fence}
	}
	t.requeueOrSetAside(r)
	return r.result(OK)
}

// finalFailureVMs is the number of different VMs that must report a final failure before the task fails. One report does
// not suffice, because a faulty VM reports every task as failed.
const finalFailureVMs = 2

func (c Cancel) apply(t *Table, at time.Time) Result {
	if r, ok := t.tasks[c.ID]; ok {
		fence := r.fence
		t.endTask(r, StateCancelled, at, nil)
		return Result{Status: OK, State: StateCancelled, Fence: fence}
	}
	result := t.endedOrNotFound(c.ID)
	if result.State == StateCancelled {
		result.Status = Repeated
	}
	return result
}

func (c CancelBatch) apply(t *Table, at time.Time) Result {
	if len(c.IDs) > MaxBatch {
		return Result{Status: Invalid}
	}
	count := 0
	for _, id := range c.IDs {
		if (Cancel{ID: id}).apply(t, at).Status == OK {
			count++
		}
	}
	return Result{Status: OK, Count: count}
}

func (c SetAside) apply(t *Table, _ time.Time) Result {
	r, ok := t.tasks[c.ID]
	switch {
	case !ok:
		return t.endedOrNotFound(c.ID)
	case r.state == StateSetAside && r.fence == c.Fence+1:
		return r.result(Repeated)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateWaiting:
		return r.result(Refused)
	}
	t.setAside(r, c.Reason)
	return r.result(OK)
}

func (c Retry) apply(t *Table, _ time.Time) Result {
	r, ok := t.tasks[c.ID]
	switch {
	case !ok:
		return t.endedOrNotFound(c.ID)
	case r.state == StateWaiting && r.fence == c.Fence+1:
		return r.result(Repeated)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateSetAside:
		return r.result(Refused)
	}
	if r.run != nil {
		r.run.failedVMs = nil
		r.run.finalFailures, r.run.overruns, r.run.failures = 0, 0, 0
	}
	t.requeue(r)
	return r.result(OK)
}

// Estimate returns the expected usage of a job's tasks. It returns false when fewer than MinSamples runs have finished.
func (t *Table) Estimate(id csmodel.JobID) (Usage, bool) {
	j, ok := t.jobs[id]
	if !ok || j.estimator == nil {
		return Usage{}, false
	}
	return j.estimator.estimate()
}
