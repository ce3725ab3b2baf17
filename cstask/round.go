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
	extra   map[spreadKey]int // proposed leases by job and failure domain
	actions []Action
	leases  int
}

// slot is a worker with the capacity that is left after reservations that its report does not show yet.
type slot struct {
	*Worker
	cpu    csmodel.MilliCPU
	memory csmodel.Bytes
	tasks  int
	held   csmodel.TaskID // the only task that may be placed here
	fresh  bool           // the report or the leases have changed since the last tick
}

// load is what the leased tasks of a worker are expected to use beyond what its report shows. It is computed once for
// each report and change of leases, because going through all leases on each tick takes 3% of a core at 3,200 workers.
type load struct {
	reported time.Time
	version  uint64 // of the holder; 0 without leases
	zone     csmodel.AvailabilityZone
	rack     csmodel.Rack
	need     Usage
	jobs     []csmodel.JobID // of the leased tasks
	tick     uint64          // the last tick that saw the worker
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
		extra:     make(map[spreadKey]int),
	}
	s.ticks++
	slots := make([]slot, len(workers))
	for i := range workers {
		w := &workers[i]
		slots[i] = slot{Worker: w, cpu: w.FreeCPU, memory: w.FreeMemory}
		r.workers = append(r.workers, &slots[i])
	}
	slices.SortFunc(r.workers, func(a, b *slot) int { return cmp.Compare(a.VM, b.VM) })
	for _, w := range r.workers {
		r.pools[w.Pool] = append(r.pools[w.Pool], w)
		r.reserveLeased(t, w)
	}
	for vm, l := range s.loads {
		if l.tick != s.ticks {
			s.unspread(l)
			delete(s.loads, vm)
		}
	}
	r.reservePending(t)
	return r
}

// reserveLeased subtracts the load of the leased tasks.
func (r *round) reserveLeased(t *Table, w *slot) {
	h := t.holders[w.VM]
	var version uint64
	if h != nil {
		version = h.version
	}
	l, ok := r.loads[w.VM]
	same := ok && l.version == version && l.reported.Equal(w.Reported) && l.zone == w.Zone && l.rack == w.Rack
	if !same {
		if ok {
			r.unspread(l)
		}
		l = &load{reported: w.Reported, version: version, zone: w.Zone, rack: w.Rack}
		r.loads[w.VM] = l
		w.fresh = true
		r.measure(t, w, h, l)
	}
	l.tick = r.ticks
	w.cpu -= l.need.CPU
	w.memory -= l.need.Memory
	w.tasks = len(l.jobs)
}

func (r *round) measure(t *Table, w *slot, h *holder, l *load) {
	if h == nil {
		return
	}
	l.jobs = make([]csmodel.JobID, 0, len(h.records))
	for _, rec := range h.records {
		need := t.need(rec)
		used := w.usage(rec)
		l.need.CPU += max(0, need.CPU-used.CPU)
		l.need.Memory += max(0, need.Memory-used.Memory)
		l.jobs = append(l.jobs, rec.job.id)
		r.spread[spreadKey{job: rec.job.id, zone: l.zone}]++
		r.spread[spreadKey{job: rec.job.id, zone: l.zone, rack: l.rack}]++
	}
}

// unspread takes a load out of the counts by failure domain.
func (s *Scheduler) unspread(l *load) {
	for _, id := range l.jobs {
		for _, k := range []spreadKey{{job: id, zone: l.zone}, {job: id, zone: l.zone, rack: l.rack}} {
			s.spread[k]--
			if s.spread[k] == 0 {
				delete(s.spread, k)
			}
		}
	}
}

// reservePending subtracts the leases that are proposed and not committed.
func (r *round) reservePending(t *Table) {
	if len(r.pending) == 0 {
		return
	}
	byVM := make(map[csmodel.VMID]*slot, len(r.workers))
	for _, w := range r.workers {
		byVM[w.VM] = w
	}
	for id, p := range r.pending {
		if w, ok := byVM[p.vm]; ok {
			r.reserve(w, t.tasks[id].job.id, p.need)
		}
	}
}

func (r *round) reserve(w *slot, id csmodel.JobID, need Usage) {
	w.cpu -= need.CPU
	w.memory -= need.Memory
	w.tasks++
	r.extra[spreadKey{job: id, zone: w.Zone}]++
	r.extra[spreadKey{job: id, zone: w.Zone, rack: w.Rack}]++
}

func (r *round) spreadOf(k spreadKey) int { return r.spread[k] + r.extra[k] }

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
		if !ok || !w.fresh || r.now.Sub(w.Reported) > reportLimit {
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
	if r.now.Sub(r.expired) < expireEvery {
		return
	}
	r.expired = r.now
	now := nanos(r.now)
	for _, h := range r.table.holders {
		if slices.ContainsFunc(h.records, func(rec *record) bool { return rec.run.expiry <= now }) {
			r.act(Propose{Command: Expire{}})
			return
		}
	}
}
