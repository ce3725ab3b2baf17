package cstask

import (
	"math"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Parameters of the back-off of failing workers.
const (
	initialBackoff   = 2 * time.Second
	maxBackoff       = 5 * time.Minute
	backoffThreshold = 2.0       // failure score at which a worker backs off
	failingJobWeight = 0.25      // weight of a failure of a job that fails everywhere
	failingJobVMs    = 3         // different VMs that failed a job without a success in between
	healthRetention  = time.Hour // since the last failure of a worker
)

// healthTracker tracks the outcomes of attempts by worker and job. A worker that fails every task is always idle, so
// without a back-off it would attract all tasks.
type healthTracker struct {
	workers   map[csmodel.VMID]workerHealth
	failedVMs map[csmodel.JobID][]csmodel.VMID // different VMs that failed the job since its last success
}

type workerHealth struct {
	failureScore float64 // sum of the failure weights, halved by each success
	blockedUntil time.Time
	lastFailure  time.Time
}

func newHealthTracker() healthTracker {
	return healthTracker{
		workers:   make(map[csmodel.VMID]workerHealth),
		failedVMs: make(map[csmodel.JobID][]csmodel.VMID),
	}
}

func (h *healthTracker) observe(o outcome, now time.Time) {
	if o.succeeded {
		h.recordSuccess(o)
		return
	}
	w := h.workers[o.vm]
	w.failureScore += h.failureWeight(o)
	w.lastFailure = now
	if w.failureScore >= backoffThreshold {
		factor := math.Exp2(min(w.failureScore-backoffThreshold, 30))
		w.blockedUntil = now.Add(min(time.Duration(factor*float64(initialBackoff)), maxBackoff))
	}
	h.workers[o.vm] = w
}

func (h *healthTracker) recordSuccess(o outcome) {
	delete(h.failedVMs, o.jobID)
	w, ok := h.workers[o.vm]
	if !ok {
		return
	}
	w.failureScore /= 2
	if w.failureScore < 1 {
		delete(h.workers, o.vm)
		return
	}
	h.workers[o.vm] = w
}

// failureWeight returns how much a failure adds to the failure score of the worker. It is lower for a job that fails on
// several VMs, because then the job is at fault rather than the worker.
func (h *healthTracker) failureWeight(o outcome) float64 {
	vms := h.failedVMs[o.jobID]
	if len(vms) < failingJobVMs && !slices.Contains(vms, o.vm) {
		vms = append(vms, o.vm)
		h.failedVMs[o.jobID] = vms
	}
	if len(vms) < failingJobVMs {
		return 1
	}
	return failingJobWeight
}

// allowsTask reports whether a worker that runs the given number of tasks may get another one. A failing worker gets one
// at a time, after its back-off.
func (h *healthTracker) allowsTask(vm csmodel.VMID, running int, now time.Time) bool {
	w, ok := h.workers[vm]
	if !ok || w.failureScore < backoffThreshold {
		return true
	}
	return running == 0 && !now.Before(w.blockedUntil)
}

func (h *healthTracker) failing(vm csmodel.VMID) bool { return h.workers[vm].failureScore >= 1 }

func (h *healthTracker) prune(now time.Time) {
	for vm, w := range h.workers {
		if now.Sub(w.lastFailure) > healthRetention {
			delete(h.workers, vm)
		}
	}
}
