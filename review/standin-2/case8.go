//go:build review

package main

import "time"

func init() { cases[8] = spreadJobs }

// spreadJobs: a service has jobs that last, each with one task on each executor. One executor is lost for good, so each of these
// jobs has a task without a place. Other jobs of the service must still run.
func spreadJobs(w *world, trouble bool) int {
	const executors, lasting = 8, 45
	if err := w.open(executors, 3); err != nil {
		w.notef("%v", err)
		return unable
	}
	jobs := []string{}
	for range lasting {
		id, accepted := w.submit(step{Count: executors, Cpu: 100, MemMb: 64, AntiAffinity: 1, LongRunning: true, MayMiss: 1})
		if !accepted {
			return unable
		}
		jobs = append(jobs, id)
	}
	complete := func() bool {
		for _, id := range jobs {
			if w.runningOf(id) != executors {
				return false
			}
		}
		return true
	}
	if !until(20*time.Second, complete) {
		w.notef("the lasting jobs do not all run")
		return unable
	}
	w.notef("%d lasting jobs run on %d executors, each with %d of %d mCPU in use", lasting, executors, lasting*100, executorCPU)
	batch := step{Count: 2, Cpu: 1000, MemMb: 256, EstimateMs: 500}
	before, accepted := w.submit(batch)
	if !accepted || w.await(before, 10*time.Second, "completed") != "completed" {
		w.notef("a job does not run before the disruption")
		return unable
	}
	if trouble {
		e := w.all()[executors-1]
		w.notef("%s crashes for good", e.id)
		e.crash()
		time.Sleep(2*longestLease + 2*time.Second) // its lease is over for certain
	}
	job, accepted := w.submit(batch)
	if !accepted {
		return unable
	}
	if w.await(job, finishTime, "completed") == "completed" {
		w.notef("the job is completed")
		return held
	}
	idle := w.idleSpan(job, 15*time.Second)
	w.notef("state %q; for %.1f s nothing of the job ran, %d of its tasks were ever started", w.state(job), idle.Seconds(), len(w.runsOf(job)))
	if idle > idleLimit {
		w.notef("LOST: an accepted job has nothing running while a task's turn has come and there is capacity")
		return broken
	}
	return held
}
