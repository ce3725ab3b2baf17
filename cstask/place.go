package cstask

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// holdTime is how long a worker is kept free for one task, and how long the pool then keeps none.
const holdTime = 10 * time.Minute

// hold keeps a worker free for a task that is past its latest start and does not fit, because smaller tasks would
// otherwise take every gap before it.
type hold struct {
	task  csmodel.TaskID
	vm    csmodel.VMID
	until time.Time
}

// place leases waiting tasks to workers, earliest latest-start first.
func (r *round) place() {
	r.applyHolds()
	r.late = make(csmodel.Set[csmodel.PoolID])
	f := r.front()
	for len(f) > 0 && r.leases < maxLeases {
		c := f[0]
		if !r.consider(c.shape, c.first) {
			heap.Pop(&f)
			continue
		}
		next, ok := r.head(c.shape)
		if !ok {
			heap.Pop(&f)
			continue
		}
		f[0].first = next
		heap.Fix(&f, 0)
	}
	for _, sh := range r.shapes {
		sh.restore()
	}
}

func (r *round) front() front {
	var f front
	for k, sh := range r.shapes {
		r.refresh(sh)
		first, ok := r.head(sh)
		if !ok {
			delete(r.shapes, k)
			continue
		}
		f = append(f, candidate{first: first, shape: sh})
	}
	heap.Init(&f)
	return f
}

// consider handles the first entry of a shape and tells whether the shape's next one is worth a look in this tick.
func (r *round) consider(sh *shape, e entry) bool {
	heap.Pop(sh)
	sh.later = append(sh.later, e)
	rec := e.record
	if _, ok := r.pending[rec.id]; ok {
		return true
	}
	pool, ok := r.Scheduler.pools[rec.job.id]
	if !ok {
		return r.withoutPool(rec)
	}
	need := r.table.need(rec)
	w, excluded := r.choose(rec, pool, need)
	if w != nil {
		r.lease(rec, w, need)
		return true
	}
	if r.tooLarge(need) {
		r.setAside(rec, ReasonTooLarge)
		return true
	}
	if excluded {
		return len(sh.later) < maxLeases
	}
	r.keepFree(rec, pool, need, e.key)
	sh.misses++
	return sh.misses < maxMisses
}

// withoutPool sets a task aside that no configured pool carries once its deadline has passed.
func (r *round) withoutPool(rec *record) bool {
	if nanos(r.now) <= rec.deadline {
		return false
	}
	r.setAside(rec, ReasonUnknownJob)
	return true
}

// choose returns the best worker for a task. excluded tells that the task would fit, but only where it already failed.
func (r *round) choose(rec *record, pool csmodel.PoolID, need Usage) (best *slot, excluded bool) {
	var last *slot // a worker that already failed the task
	others := false
	for _, w := range r.pools[pool] {
		if !w.Serving || w.Quarantined {
			continue
		}
		failed := rec.run != nil && slices.Contains(rec.run.workers, w.VM)
		others = others || !failed
		if !r.fits(w, rec, need) {
			continue
		}
		switch {
		case failed:
			last = w
		case best == nil || r.better(w, best, rec.job.id):
			best = w
		}
	}
	if best == nil && !others {
		return last, false
	}
	return best, best == nil && last != nil
}

func (r *round) fits(w *slot, rec *record, need Usage) bool {
	if w.cpu < need.CPU || w.memory < need.Memory {
		return false
	}
	if w.held != "" && w.held != rec.id {
		return false
	}
	return r.health.allows(w.VM, w.tasks, r.now)
}

// better orders workers by health, then by the number of tasks of the job in the zone, in the rack and by load.
func (r *round) better(a, b *slot, id csmodel.JobID) bool {
	if x, y := r.health.failing(a.VM), r.health.failing(b.VM); x != y {
		return y
	}
	order := cmp.Or(
		cmp.Compare(r.inZone(a, id), r.inZone(b, id)),
		cmp.Compare(r.inRack(a, id), r.inRack(b, id)),
		cmp.Compare(b.cpu, a.cpu),
		cmp.Compare(b.memory, a.memory),
	)
	return order < 0
}

func (r *round) inZone(w *slot, id csmodel.JobID) int {
	return r.spreadOf(spreadKey{job: id, zone: w.Zone})
}

func (r *round) inRack(w *slot, id csmodel.JobID) int {
	return r.spreadOf(spreadKey{job: id, zone: w.Zone, rack: w.Rack})
}

func (r *round) lease(rec *record, w *slot, need Usage) {
	term := minLease + time.Duration(len(r.workers))*leasePerVM
	r.act(Propose{Command: Lease{ID: rec.id, VM: w.VM, Fence: rec.fence, Expiry: r.now.Add(term)}})
	r.reserve(w, rec.job.id, need)
	r.pending[rec.id] = proposal{fence: rec.fence, vm: w.VM, need: need, until: r.now.Add(pendingTime)}
	r.leases++
}

func (r *round) setAside(rec *record, reason Reason) {
	r.act(Propose{Command: SetAside{ID: rec.id, Fence: rec.fence, Reason: reason}})
	r.pending[rec.id] = proposal{fence: rec.fence, until: r.now.Add(pendingTime)}
	r.leases++
}

// tooLarge tells whether no worker of the region could run a task even if it were empty. A new leader first observes
// for a while, because its list of workers may be incomplete.
func (r *round) tooLarge(need Usage) bool {
	if len(r.workers) == 0 || r.now.Sub(r.started) < settleTime {
		return false
	}
	return !slices.ContainsFunc(r.workers, func(w *slot) bool { return w.CPU >= need.CPU && w.Memory >= need.Memory })
}

func (r *round) applyHolds() {
	for pool, h := range r.holds {
		rec, ok := r.table.tasks[h.task]
		if !ok || rec.state != StateWaiting || r.now.After(h.until.Add(holdTime)) {
			delete(r.holds, pool)
			continue
		}
		if r.now.After(h.until) {
			continue
		}
		for _, w := range r.pools[pool] {
			if w.VM == h.vm {
				w.held = h.task
			}
		}
	}
}

// keepFree notes that a task past its latest start does not fit, and keeps the worker with the most room for it.
func (r *round) keepFree(rec *record, pool csmodel.PoolID, need Usage, latest int64) {
	if latest > nanos(r.now) {
		return
	}
	r.late.Add(pool)
	if _, ok := r.holds[pool]; ok {
		return
	}
	var best *slot
	for _, w := range r.pools[pool] {
		usable := w.Serving && !w.Quarantined && w.CPU >= need.CPU && w.Memory >= need.Memory
		if !usable || !r.health.allows(w.VM, 0, r.now) || rec.run != nil && slices.Contains(rec.run.workers, w.VM) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(w.cpu, best.cpu), cmp.Compare(w.memory, best.memory)) > 0 {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.held = rec.id
	r.holds[pool] = hold{task: rec.id, vm: best.VM, until: r.now.Add(holdTime)}
}
