package cstask

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// workerReservationTime is how long a worker is reserved for one task. For the same time afterwards, the pool makes no
// other reservation.
const workerReservationTime = 10 * time.Minute

// workerReservation reserves a worker for a task that is past its latest start and does not fit. Without it, smaller tasks
// would take all capacity that becomes free.
type workerReservation struct {
	task  csmodel.TaskID
	vm    csmodel.VMID
	until time.Time
}

// placeTasks proposes leases of waiting tasks to workers, in the order of their latest starts.
func (ts *tickState) placeTasks() {
	ts.applyWorkerReservations()
	ts.latePools = make(csmodel.Set[csmodel.PoolID])
	queue := ts.newClassQueue()
	for len(queue) > 0 && ts.proposals < maxProposals {
		head := queue[0]
		if !ts.tryPlace(head.class, head.first) {
			heap.Pop(&queue)
			continue
		}
		next, ok := ts.head(head.class)
		if !ok {
			heap.Pop(&queue)
			continue
		}
		queue[0].first = next
		heap.Fix(&queue, 0)
	}
	for _, class := range ts.classes {
		class.restoreVisited()
	}
}

// newClassQueue returns the size classes that have a waiting task, and deletes the others.
func (ts *tickState) newClassQueue() classQueue {
	var queue classQueue
	for key, class := range ts.classes {
		ts.updateLatestStarts(class)
		first, ok := ts.head(class)
		if !ok {
			delete(ts.classes, key)
			continue
		}
		queue = append(queue, classHead{first: first, class: class})
	}
	heap.Init(&queue)
	return queue
}

// tryPlace handles the first entry of a size class and reports whether this tick should try the next one of the class.
func (ts *tickState) tryPlace(class *sizeClass, e classEntry) bool {
	heap.Pop(class)
	class.visited = append(class.visited, e)
	rec := e.record
	if _, ok := ts.pending[rec.id]; ok {
		return true
	}
	pool, ok := ts.Scheduler.pools[rec.job.id]
	if !ok {
		return ts.handleUnknownJob(rec)
	}
	required := ts.table.requirements(rec)
	w, fitsOnlyFailed := ts.chooseWorker(rec, pool, required)
	if w != nil {
		ts.proposeLease(rec, w, required)
		return true
	}
	if ts.tooLarge(required) {
		ts.proposeSetAside(rec, ReasonTooLarge)
		return true
	}
	if fitsOnlyFailed {
		return len(class.visited) < maxProposals
	}
	ts.reserveWorker(rec, pool, required, e.latestStart)
	class.unplaced++
	return class.unplaced < maxUnplaced
}

// handleUnknownJob sets aside a task whose job has no configured pool once its deadline has passed. It reports whether it
// did.
func (ts *tickState) handleUnknownJob(rec *record) bool {
	if nanos(ts.now) <= rec.deadline {
		return false
	}
	ts.proposeSetAside(rec, ReasonUnknownJob)
	return true
}

// chooseWorker returns the best worker for a task, or nil. A worker on which the task already failed is chosen only when the
// pool has no other one in service. fitsOnlyFailed reports that the task fits only on such workers while others exist.
func (ts *tickState) chooseWorker(rec *record, pool csmodel.PoolID, required Usage) (best *workerState, fitsOnlyFailed bool) {
	var fallback *workerState // a worker on which the task already failed
	untried := false
	for _, w := range ts.pools[pool] {
		if !w.Serving || w.Quarantined {
			continue
		}
		failed := rec.run != nil && slices.Contains(rec.run.failedVMs, w.VM)
		untried = untried || !failed
		if !ts.fits(w, rec, required) {
			continue
		}
		switch {
		case failed:
			fallback = w
		case best == nil || ts.better(w, best, rec.job.id):
			best = w
		}
	}
	if best == nil && !untried {
		return fallback, false
	}
	return best, best == nil && fallback != nil
}

func (ts *tickState) fits(w *workerState, rec *record, required Usage) bool {
	if w.unreservedCPU < required.CPU || w.unreservedMemory < required.Memory {
		return false
	}
	if w.reservedFor != "" && w.reservedFor != rec.id {
		return false
	}
	return ts.health.allowsTask(w.VM, w.taskCount, ts.now)
}

// better reports whether worker a is preferred to b: first by health, then by fewer tasks of the job in the zone and in the
// rack, then by more unreserved CPU and memory.
func (ts *tickState) better(a, b *workerState, id csmodel.JobID) bool {
	if x, y := ts.health.failing(a.VM), ts.health.failing(b.VM); x != y {
		return y
	}
	order := cmp.Or(
		cmp.Compare(ts.tasksInZone(a, id), ts.tasksInZone(b, id)),
		cmp.Compare(ts.tasksInRack(a, id), ts.tasksInRack(b, id)),
		cmp.Compare(b.unreservedCPU, a.unreservedCPU),
		cmp.Compare(b.unreservedMemory, a.unreservedMemory),
	)
	return order < 0
}

func (ts *tickState) tasksInZone(w *workerState, id csmodel.JobID) int {
	return ts.tasksInDomain(domainKey{job: id, zone: w.Zone})
}

func (ts *tickState) tasksInRack(w *workerState, id csmodel.JobID) int {
	return ts.tasksInDomain(domainKey{job: id, zone: w.Zone, rack: w.Rack})
}

func (ts *tickState) proposeLease(rec *record, w *workerState, required Usage) {
	leaseTime := minLeaseTime + time.Duration(len(ts.workers))*leaseTimePerVM
	ts.addAction(Propose{Command: Lease{ID: rec.id, VM: w.VM, Fence: rec.fence, Expiry: ts.now.Add(leaseTime)}})
	ts.reserveCapacity(w, rec.job.id, required)
	ts.pending[rec.id] = proposal{fence: rec.fence, vm: w.VM, required: required, until: ts.now.Add(proposalTimeout)}
	ts.proposals++
}

func (ts *tickState) proposeSetAside(rec *record, reason Reason) {
	ts.addAction(Propose{Command: SetAside{ID: rec.id, Fence: rec.fence, Reason: reason}})
	ts.pending[rec.id] = proposal{fence: rec.fence, until: ts.now.Add(proposalTimeout)}
	ts.proposals++
}

// tooLarge reports whether no worker of the region could run a task even if it were idle. It returns false during the
// discovery time of a new leader, because the list of workers may be incomplete.
func (ts *tickState) tooLarge(required Usage) bool {
	if len(ts.workers) == 0 || ts.now.Sub(ts.started) < discoveryTime {
		return false
	}
	return !slices.ContainsFunc(ts.workers, func(w *workerState) bool { return w.CPU >= required.CPU && w.Memory >= required.Memory })
}

func (ts *tickState) applyWorkerReservations() {
	for pool, reservation := range ts.workerReservations {
		rec, ok := ts.table.tasks[reservation.task]
		if !ok || rec.state != StateWaiting || ts.now.After(reservation.until.Add(workerReservationTime)) {
			delete(ts.workerReservations, pool)
			continue
		}
		if ts.now.After(reservation.until) {
			continue
		}
		for _, w := range ts.pools[pool] {
			if w.VM == reservation.vm {
				w.reservedFor = reservation.task
			}
		}
	}
}

// reserveWorker marks the pool as late and reserves the worker with the most unreserved capacity when a task that does not
// fit is past its latest start. It reserves none while the pool has a reservation.
func (ts *tickState) reserveWorker(rec *record, pool csmodel.PoolID, required Usage, latestStart int64) {
	if latestStart > nanos(ts.now) {
		return
	}
	ts.latePools.Add(pool)
	if _, ok := ts.workerReservations[pool]; ok {
		return
	}
	var best *workerState
	for _, w := range ts.pools[pool] {
		usable := w.Serving && !w.Quarantined && w.CPU >= required.CPU && w.Memory >= required.Memory
		if !usable || !ts.health.allowsTask(w.VM, 0, ts.now) || rec.run != nil && slices.Contains(rec.run.failedVMs, w.VM) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(w.unreservedCPU, best.unreservedCPU),
			cmp.Compare(w.unreservedMemory, best.unreservedMemory),
		) > 0 {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reservedFor = rec.id
	ts.workerReservations[pool] = workerReservation{task: rec.id, vm: best.VM, until: ts.now.Add(workerReservationTime)}
}
