package cstask

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

func (c Lease) apply(t *Table, at time.Time) Result {
	r, ok := t.tasks[c.ID]
	switch {
	case !ok:
		return t.endedOrNotFound(c.ID)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state == StateLeased && r.run.vm == c.VM:
		return r.result(Repeated)
	case r.state != StateWaiting:
		return r.result(Refused)
	case c.VM == "" || !c.Expiry.After(at):
		return r.result(Stale)
	}
	t.leaveState(r)
	t.addLease(r, c.VM, nanos(at), nanos(c.Expiry))
	return r.result(OK)
}

func (c Renew) apply(t *Table, at time.Time) Result {
	except := csmodel.NewSet(c.Except...)
	expiry := nanos(c.Expiry)
	count := 0
	for _, vm := range c.VMs {
		leases, ok := t.leasesByVM[vm]
		if !ok {
			continue
		}
		for _, r := range leases.records {
			if r.run.expiry <= nanos(at) || except.Has(r.id) {
				continue
			}
			r.run.expiry = max(r.run.expiry, expiry)
			count++
		}
	}
	return Result{Status: OK, Count: count}
}

func (c Checkpoint) apply(t *Table, at time.Time) Result {
	r, ok := t.tasks[c.ID]
	switch {
	case !ok:
		return t.endedOrNotFound(c.ID)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateLeased:
		return r.result(Refused)
	case len(c.Data) > MaxBlobBytes:
		return r.result(Invalid)
	case c.Sequence < r.run.sequence:
		return r.result(Stale)
	case c.Sequence == r.run.sequence && c.Sequence != 0 && !c.Release:
		return r.result(Repeated)
	}
	// A release is accepted even beyond the byte limit, because the VM has already stopped the task.
	if grown := t.bytes + len(c.Data) - len(r.run.checkpoint); grown > t.limits.Bytes && !c.Release {
		return r.result(TableFull)
	}
	t.saveCheckpoint(r, c, at)
	if c.Release {
		t.requeue(r)
	}
	return r.result(OK)
}

func (t *Table) saveCheckpoint(r *record, c Checkpoint, at time.Time) {
	r.run.peak.raiseTo(c.Used)
	if len(c.Data) == 0 {
		return
	}
	t.bytes += len(c.Data) - len(r.run.checkpoint)
	r.run.checkpoint = c.Data
	r.run.checkpointAt = nanos(at)
	r.run.sequence = c.Sequence
}

func (Expire) apply(t *Table, at time.Time) Result {
	var expired []*record
	for _, leases := range t.leasesByVM {
		for _, r := range leases.records {
			if r.run.expiry <= nanos(at) {
				expired = append(expired, r)
			}
		}
	}
	t.loseAttempts(expired)
	t.history.evict(t.now, t.limits)
	return Result{Status: OK, Count: len(expired)}
}

// ReleaseVM ends the leases of a VM whose processes are known to have ended, without waiting for their expiry. The tasks
// return to the queue or are set aside, as after Expire. It returns the number of leases.
func (t *Table) ReleaseVM(vm csmodel.VMID, at time.Time) int {
	t.advanceClock(at)
	leases, ok := t.leasesByVM[vm]
	if !ok {
		return 0
	}
	lost := slices.Clone(leases.records)
	t.loseAttempts(lost)
	return len(lost)
}

// loseAttempts ends the attempts of the given tasks as lost, in the order of their ids, so that replicas agree on the queue
// order.
func (t *Table) loseAttempts(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	seen := make(csmodel.Set[csmodel.VMID])
	for _, r := range records {
		// One event such as a partition ends all attempts of a VM, so it counts as a single failure of the VM.
		if !seen.Has(r.run.vm) {
			seen.Add(r.run.vm)
			t.outcomes.add(outcome{vm: r.run.vm, jobID: r.job.id})
		}
		t.recordFailure(r, r.run.vm, func(*runState) {})
		t.requeueOrSetAside(r)
	}
}

// recordFailure records that an attempt on the VM was lost or failed. onNewVM is called only for the first failure of the
// task on that VM.
func (t *Table) recordFailure(r *record, vm csmodel.VMID, onNewVM func(*runState)) {
	r.run.failures++
	if slices.Contains(r.run.failedVMs, vm) {
		return
	}
	r.run.failedVMs = append(r.run.failedVMs, vm)
	onNewVM(r.run)
}

func (t *Table) requeueOrSetAside(r *record) {
	if len(r.run.failedVMs) < MaxFailedVMs && r.run.failures < MaxFailures {
		t.requeue(r)
		return
	}
	reason := ReasonFailedVMs
	if r.run.overruns >= MaxFailedVMs {
		reason = ReasonOverrun
	}
	t.setAside(r, reason)
}

func (t *Table) requeue(r *record) {
	t.leaveState(r)
	r.fence++
	t.enqueue(r)
}

func (t *Table) setAside(r *record, reason Reason) {
	t.leaveState(r)
	r.fence++
	r.state = StateSetAside
	r.reason = reason
	t.setAsideCount++
}
