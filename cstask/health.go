package cstask

import (
	"math"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Bounds of the back-off of failing workers.
const (
	backoffFirst  = 2 * time.Second
	backoffLimit  = 5 * time.Minute
	backoffStart  = 2.0  // failures in a row before a worker waits
	jobFailWeight = 0.25 // weight of a failure of a job that fails everywhere
	jobFailVMs    = 3    // different VMs that failed a job without a success in between
	healthMemory  = time.Hour
)

// health follows the outcomes of workers and jobs. A worker that fails everything is always idle, so without a back-off
// it would attract all tasks.
type health struct {
	workers map[csmodel.VMID]workerHealth
	jobs    map[csmodel.JobID][]csmodel.VMID // different VMs that failed the job since its last success
}

type workerHealth struct {
	streak float64 // failures in a row, halved by each success
	until  time.Time
	seen   time.Time
}

func newHealth() health {
	return health{
		workers: make(map[csmodel.VMID]workerHealth),
		jobs:    make(map[csmodel.JobID][]csmodel.VMID),
	}
}

func (h *health) observe(o outcome, now time.Time) {
	if o.ok {
		h.succeed(o)
		return
	}
	w := h.workers[o.vm]
	w.streak += h.weight(o)
	w.seen = now
	if w.streak >= backoffStart {
		factor := math.Exp2(min(w.streak-backoffStart, 30))
		w.until = now.Add(min(time.Duration(factor*float64(backoffFirst)), backoffLimit))
	}
	h.workers[o.vm] = w
}

func (h *health) succeed(o outcome) {
	delete(h.jobs, o.id)
	w, ok := h.workers[o.vm]
	if !ok {
		return
	}
	w.streak /= 2
	if w.streak < 1 {
		delete(h.workers, o.vm)
		return
	}
	h.workers[o.vm] = w
}

// weight is lower for a job that fails on several VMs, because then the job is at fault rather than the worker.
func (h *health) weight(o outcome) float64 {
	vms := h.jobs[o.id]
	if len(vms) < jobFailVMs && !slices.Contains(vms, o.vm) {
		vms = append(vms, o.vm)
		h.jobs[o.id] = vms
	}
	if len(vms) < jobFailVMs {
		return 1
	}
	return jobFailWeight
}

// allows tells whether a worker that runs the given number of tasks may get another one. A failing worker gets one at a
// time.
func (h *health) allows(vm csmodel.VMID, running int, now time.Time) bool {
	w, ok := h.workers[vm]
	if !ok || w.streak < backoffStart {
		return true
	}
	return running == 0 && !now.Before(w.until)
}

func (h *health) failing(vm csmodel.VMID) bool { return h.workers[vm].streak >= 1 }

func (h *health) prune(now time.Time) {
	for vm, w := range h.workers {
		if now.Sub(w.seen) > healthMemory {
			delete(h.workers, vm)
		}
	}
}
