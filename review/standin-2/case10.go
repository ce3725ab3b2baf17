//go:build review

package main

import "time"

func init() { cases[10] = gangFails }

// gangFails: an executor fails all that it starts, for a short time. A gang that runs there fails once, which is less often than
// its queue allows.
func gangFails(w *world, trouble bool) int {
	const attempts, members = 3, 4
	if err := w.open(12, attempts); err != nil {
		w.notef("%v", err)
		return unable
	}
	if trouble {
		e := w.all()[0]
		e.mu.Lock()
		e.failsAll = true
		e.mu.Unlock()
		w.notef("%s fails all that it starts", e.id)
		time.AfterFunc(5*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.failsAll = false
			w.notef("%s is sound again", e.id)
		})
	}
	job, accepted := w.submit(step{Count: members, Cpu: 2000, MemMb: 256, EstimateMs: 1000, Gang: true})
	if !accepted {
		return unable
	}
	state := w.await(job, 40*time.Second, "completed", "failed")
	failedAttempts := map[int]bool{}
	failedRuns := map[string]int{}
	for _, r := range w.runsOf(job) {
		if r.how == "failed" {
			failedAttempts[r.attempt] = true
			failedRuns[r.task]++
		}
	}
	most := 0
	for _, n := range failedRuns {
		most = max(most, n)
	}
	w.notef("state %q; the gang failed in %d attempts, no task more than %d times, and %d are allowed", state, len(failedAttempts), most, attempts)
	switch {
	case state == "completed":
		return held
	case state == "failed" && len(failedAttempts) < attempts && most < attempts:
		w.notef("LOST: the job is shown as failed without cause")
		return broken
	case state == "failed":
		return held
	default:
		return unable
	}
}
