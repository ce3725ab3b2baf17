//go:build review

package main

import (
	"os"
	"time"
)

func init() { cases[6] = crashLoop }

// crashLoop: an executor with open runs crashes, starts again under its id, announces itself, crashes before it has answered a
// call and is lost for good. Its tasks must run again elsewhere.
func crashLoop(w *world, trouble bool) int {
	const work = 8 * time.Second
	if err := w.open(8, 3); err != nil {
		w.notef("%v", err)
		return unable
	}
	job, accepted := w.submit(step{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: work.Milliseconds()})
	if !accepted || !until(5*time.Second, func() bool { return w.runningOf(job) == 4 }) {
		w.notef("the job does not begin")
		return unable
	}
	if trouble {
		first := w.runsOf(job)[0].on
		time.Sleep(time.Second)
		w.notef("%s crashes", first.id)
		first.crash()
		time.Sleep(time.Second)
		// CRASHES=1 leaves out the second crash, to show that one alone does no harm.
		second := &executor{
			world: w, id: first.id, index: first.index, born: time.Now().UnixMilli(), started: time.Now(), address: first.address, zone: first.zone,
			stop: make(chan struct{}), running: map[string]*taskRun{}, highest: map[string]int{}, wake: make(chan struct{}),
			mute: os.Getenv("CRASHES") != "1",
		}
		w.notef("%s starts again", second.id)
		if err := second.open(); err != nil {
			w.notef("%v", err)
			return unable
		}
		if second.mute && !until(3*time.Second, func() bool { return !second.alive() }) {
			w.notef("%s was not called and crashes", second.id)
			second.crash()
		}
	}
	// The lease of the lost runs has ended after the longest lease; then the job has to be done within its work.
	state := w.await(job, longestLease+work+finishTime, "completed", "failed")
	if state == "completed" {
		w.notef("the job is completed")
		return held
	}
	idle := w.idleSpan(job, 30*time.Second)
	w.notef("state %q; for %.1f s nothing of the job ran, though the other executors are idle", w.state(job), idle.Seconds())
	if idle > idleLimit {
		w.notef("LOST: an accepted job has nothing running while a task's turn has come and there is capacity")
		return broken
	}
	return held
}
