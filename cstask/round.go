package cstask

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// round is the working state of one tick.
type round struct {
	*Scheduler
	now     time.Time
	workers []*slot // ordered by VM
	pools   map[csmodel.PoolID][]*slot
	spread  map[spreadKey]int
	actions []Action
	leases  int
}

// slot is a worker with the capacity that is left after reservations that its report does not show yet.
type slot struct {
	Worker
	cpu    csmodel.MilliCPU
	memory csmodel.Bytes
	tasks  int
	held   csmodel.TaskID // the only task that may be placed here
}

// spreadKey counts the tasks of a job in a failure domain. Rack is empty for the count of a zone.
type spreadKey struct {
	job  csmodel.JobID
	zone csmodel.AvailabilityZone
	rack csmodel.Rack
}

func newRound(s *Scheduler, t *Table, workers []Worker, now time.Time) *round {
	r := &round{
		Scheduler: s,
		now:       now,
		workers:   make([]*slot, 0, len(workers)),
		pools:     make(map[csmodel.PoolID][]*slot),
		spread:    make(map[spreadKey]int),
	}
	slots := make([]slot, len(workers))
	byVM := make(map[csmodel.VMID]*slot, len(s.pending))
	for i, w := range workers {
		slots[i] = slot{Worker: w, cpu: w.FreeCPU, memory: w.FreeMemory}
		r.workers = append(r.workers, &slots[i])
	}
	slices.SortFunc(r.workers, func(a, b *slot) int { return cmp.Compare(a.VM, b.VM) })
	for _, w := range r.workers {
		r.pools[w.Pool] = append(r.pools[w.Pool], w)
		r.reserveLeased(t, w)
		if len(s.pending) > 0 {
			byVM[w.VM] = w
		}
	}
	for id, p := range s.pending {
		if w, ok := byVM[p.vm]; ok {
			r.reserve(w, t.tasks[id].job.id, p.need)
		}
	}
	return r
}

// reserveLeased subtracts what the leased tasks of a worker are expected to use beyond what its report shows.
func (r *round) reserveLeased(t *Table, w *slot) {
	h, ok := t.holders[w.VM]
	if !ok {
		return
	}
	for _, rec := range h.records {
		need := t.need(rec)
		used := w.usage(rec)
		r.reserve(w, rec.job.id, Usage{
			CPU:    max(0, need.CPU-used.CPU),
			Memory: max(0, need.Memory-used.Memory),
		})
	}
}

func (r *round) reserve(w *slot, id csmodel.JobID, need Usage) {
	w.cpu -= need.CPU
	w.memory -= need.Memory
	w.tasks++
	r.spread[spreadKey{job: id, zone: w.Zone}]++
	r.spread[spreadKey{job: id, zone: w.Zone, rack: w.Rack}]++
}

// usage returns what the worker reports for a leased task; it is zero when the report does not show the attempt.
func (w *slot) usage(rec *record) Usage {
	if i, ok := w.running(rec); ok {
		return w.Running[i].Used
	}
	return Usage{}
}

func (w *slot) running(rec *record) (int, bool) {
	i := slices.IndexFunc(w.Running, func(x Running) bool { return x.Task == rec.id && x.Fence == rec.fence })
	return i, i >= 0
}

func (r *round) act(a Action) { r.actions = append(r.actions, a) }

// renew extends the leases of workers that still report, half way through their term.
func (r *round) renew() {
	term := minLease + time.Duration(len(r.workers))*leasePerVM
	c := Renew{Expiry: r.now.Add(term)}
	for _, w := range r.workers {
		h, ok := r.table.holders[w.VM]
		if !ok || r.now.Sub(w.Reported) > reportLimit {
			continue
		}
		if _, ok := r.renewed[w.VM]; ok {
			continue
		}
		if !r.dueForRenewal(w, h, term) {
			continue
		}
		c.VMs = append(c.VMs, w.VM)
		c.Except = append(c.Except, w.notRunning(h)...)
		r.renewed[w.VM] = r.now
	}
	if len(c.VMs) == 0 {
		return
	}
	slices.Sort(c.Except)
	r.act(Propose{Command: c})
}

func (r *round) dueForRenewal(w *slot, h *holder, term time.Duration) bool {
	limit := nanos(r.now.Add(term / 2))
	return slices.ContainsFunc(h.records, func(rec *record) bool { return rec.run.expiry < limit && !w.gone(rec) })
}

// notRunning lists the leased tasks that the worker should have started but does not report.
func (w *slot) notRunning(h *holder) []csmodel.TaskID {
	var ids []csmodel.TaskID
	for _, rec := range h.records {
		if w.gone(rec) {
			ids = append(ids, rec.id)
		}
	}
	return ids
}

func (w *slot) gone(rec *record) bool {
	if nanos(w.Reported) < rec.run.since+int64(startGrace) {
		return false
	}
	_, ok := w.running(rec)
	return !ok
}

// expire proposes to end the leases that have run out.
func (r *round) expire() {
	if r.now.Sub(r.expired) < pendingTime {
		return
	}
	now := nanos(r.now)
	for _, h := range r.table.holders {
		if slices.ContainsFunc(h.records, func(rec *record) bool { return rec.run.expiry <= now }) {
			r.expired = r.now
			r.act(Propose{Command: Expire{}})
			return
		}
	}
}
