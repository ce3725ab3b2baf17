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
		return t.missing(c.ID)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state == StateLeased && r.run.vm == c.VM:
		return r.result(Repeated)
	case r.state != StateWaiting:
		return r.result(Refused)
	case c.VM == "" || !c.Expiry.After(at):
		return r.result(Stale)
	}
	t.leave(r)
	t.hold(r, c.VM, nanos(at), nanos(c.Expiry))
	return r.result(OK)
}

func (c Renew) apply(t *Table, at time.Time) Result {
	except := csmodel.NewSet(c.Except...)
	expiry := nanos(c.Expiry)
	count := 0
	for _, vm := range c.VMs {
		h, ok := t.holders[vm]
		if !ok {
			continue
		}
		for _, r := range h.records {
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
		return t.missing(c.ID)
	case r.fence != c.Fence:
		return r.result(Stale)
	case r.state != StateLeased:
		return r.result(Refused)
	case len(c.Data) > MaxBlob:
		return r.result(Invalid)
	case c.Sequence < r.run.sequence:
		return r.result(Stale)
	case c.Sequence == r.run.sequence && c.Sequence != 0 && !c.Release:
		return r.result(Repeated)
	}
	// A release is accepted beyond the limit on bytes, because the VM has already stopped the task.
	if grown := t.bytes + len(c.Data) - len(r.run.checkpoint); grown > t.limits.Bytes && !c.Release {
		return r.result(Full)
	}
	t.saveCheckpoint(r, c, at)
	if c.Release {
		t.requeue(r)
	}
	return r.result(OK)
}

func (t *Table) saveCheckpoint(r *record, c Checkpoint, at time.Time) {
	r.run.peak.raise(c.Used)
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
	for _, h := range t.holders {
		for _, r := range h.records {
			if r.run.expiry <= nanos(at) {
				expired = append(expired, r)
			}
		}
	}
	t.loseAll(expired)
	t.history.forget(t.now, t.limits)
	return Result{Status: OK, Count: len(expired)}
}

// Release returns the tasks of a VM whose processes are known to have ended to the queue, before their leases expire.
func (t *Table) Release(vm csmodel.VMID, at time.Time) int {
	t.advance(at)
	h, ok := t.holders[vm]
	if !ok {
		return 0
	}
	lost := slices.Clone(h.records)
	t.loseAll(lost)
	return len(lost)
}

// loseAll ends the attempts of the given tasks in the order of their ids, so that replicas agree on the queue order.
func (t *Table) loseAll(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	seen := make(csmodel.Set[csmodel.VMID])
	for _, r := range records {
		// One event such as a partition ends all attempts of a VM; it counts as one failure of the VM.
		if !seen.Has(r.run.vm) {
			seen.Add(r.run.vm)
			t.feed.add(outcome{vm: r.run.vm, id: r.job.id})
		}
		t.count(r, r.run.vm, func(*run) {})
		t.returnOrSetAside(r)
	}
}

// count records that an attempt on the VM was lost or failed. mark is called once for each different VM.
func (t *Table) count(r *record, vm csmodel.VMID, mark func(*run)) {
	r.run.failures++
	if slices.Contains(r.run.workers, vm) {
		return
	}
	r.run.workers = append(r.run.workers, vm)
	mark(r.run)
}

func (t *Table) returnOrSetAside(r *record) {
	if len(r.run.workers) < MaxWorkers && r.run.failures < MaxFailures {
		t.requeue(r)
		return
	}
	reason := ReasonWorkers
	if r.run.overruns >= MaxWorkers {
		reason = ReasonOverrun
	}
	t.setAside(r, reason)
}

func (t *Table) requeue(r *record) {
	t.leave(r)
	r.fence++
	t.wait(r)
}

func (t *Table) setAside(r *record, reason Reason) {
	t.leave(r)
	r.fence++
	r.state = StateSetAside
	r.reason = reason
	t.aside++
}
