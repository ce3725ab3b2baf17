//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"time"
)

var scenarios = map[string]scenario{
	"hopeless-lasting": {
		entries: 2, pools: []string{"amber", "birch", "spare"}, standby: "spare",
		machines: map[string]int{"amber": 3, "birch": 3, "spare": 2}, play: playHopelessLasting,
	},
	"hopeless-batch": {
		entries: 2, pools: []string{"amber", "birch", "spare"}, standby: "spare",
		machines: map[string]int{"amber": 3, "birch": 3, "spare": 2}, play: playHopelessBatch,
	},
	"schedules": {
		entries: 2, pools: []string{"amber", "birch", "spare"}, standby: "spare",
		machines: map[string]int{"amber": 3, "birch": 3, "spare": 2}, play: playSchedules,
	},
	"many-tasks": {
		entries: 2, pools: []string{"amber", "birch"}, machines: map[string]int{"amber": 8, "birch": 3}, play: playManyTasks,
	},
	"pending": {
		entries: 2, pools: []string{"amber", "birch", "spare"}, standby: "spare",
		machines: map[string]int{"amber": 8, "birch": 4, "spare": 4}, play: playPending,
	},
}

// hopelessMemory is more memory in MiB than any machine has.
const hopelessMemory = 4 * machineMemory

// playHopelessLasting submits lasting jobs of which one in twenty-one asks for more memory than any machine has, and batch jobs
// after them.
func playHopelessLasting(w *world, trouble bool) error {
	const lasting, oneIn = 130, 21
	every(lasting, 3200*time.Millisecond, func(i int) {
		p := phase{Count: 1, Cpu: 100, MemMb: 64, LongRunning: true}
		hopeless := trouble && i%oneIn == oneIn/2
		if hopeless {
			p.MemMb = hopelessMemory
		}
		w.submit(w.newJob(lastingPath("amber"), hopeless, p))
	})
	every(20, 20*time.Second, func(int) {
		w.submit(w.newJob(queuePath("amber"), false, phase{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 500}))
	})
	w.checkLost("amber")
	return nil
}

// playHopelessBatch submits small batch jobs of which three in a hundred ask for more memory than any machine has, and then a
// rush of larger jobs that the pool needs some seconds for.
func playHopelessBatch(w *world, trouble bool) error {
	const jobs, inHundred = 1500, 3
	every(jobs, 38*time.Second, func(i int) {
		p := phase{Count: 1, Cpu: 500, MemMb: 64, EstimateMs: 200}
		hopeless := trouble && i%100 < inHundred
		if hopeless {
			p.MemMb = hopelessMemory
		}
		w.submit(w.newJob(queuePath("amber"), hopeless, p))
	})
	every(60, 4*time.Second, func(int) {
		w.submit(w.newJob(queuePath("amber"), false, phase{Count: 8, Cpu: 2000, MemMb: 256, EstimateMs: 1000}))
	})
	w.checkLost("amber")
	return nil
}

// playSchedules submits jobs that repeat every five minutes for a year, among others. The platform ends each process that uses more
// memory than its machine has, and starts it again.
func playSchedules(w *world, trouble bool) error {
	stop, ends := make(chan struct{}), make(chan map[string]int, 1)
	go func() { ends <- w.guardMemory(stop) }()
	const (
		jobs     = 90
		schedule = 30 // of these jobs, one in three, repeat
		interval = 5 * time.Minute
		repeats  = 365 * 24 * 12
	)
	small := phase{Count: 1, Cpu: 500, MemMb: 64, EstimateMs: 500}
	refused := make(chan bool, jobs)
	every(jobs, 30*time.Second, func(i int) {
		j := w.newJob(queuePath("amber"), false, small)
		if trouble && i%(jobs/schedule) == 0 {
			j = w.newTimedJob(queuePath("amber"), true, map[string]any{
				"StartAtMs": time.Now().Add(interval).UnixMilli(), "IntervalMs": interval.Milliseconds(), "Repeats": repeats,
			}, small)
		}
		refused <- !w.submit(j)
	})
	close(refused)
	n := 0
	for r := range refused {
		if r {
			n++
		}
	}
	w.logf("%d of %d jobs were not accepted", n, jobs)
	w.checkLost("amber")
	close(stop)
	over := 0
	for name, n := range <-ends {
		w.logf("%s was ended %d times for its memory", name, n)
		if n > allowedEnds {
			over++
		}
	}
	if 2*over >= len(w.stores) {
		w.breakRule("FAULT: %d of %d stores were ended more than %d times for their memory", over, len(w.stores), allowedEnds)
	}
	return nil
}

// playPending sends a few jobs while a rack of their pool's machines crashes, and asks how many jobs of the queue have not begun.
func playPending(w *world, trouble bool) error {
	const jobs = 6
	path := queuePath("amber")
	// Some jobs show where the next ones will be placed.
	every(16, 4*time.Second, func(int) {
		w.submit(w.newJob(path, false, phase{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 500}))
	})
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.mu.Lock()
		rack := w.lastRack
		w.mu.Unlock()
		w.logf("rack %s crashes", rack)
		for _, e := range w.lives("amber") {
			if e.machine.rack == rack {
				w.crash(e.machine, rackCrash)
			}
		}
	}
	every(jobs, 300*time.Millisecond, func(int) {
		w.submit(w.newJob(path, false, phase{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 500}))
	})
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.checkPending(path)
	}
	w.checkLost("amber")
	return nil
}

// rackCrash is how long the machines of a rack are down.
const rackCrash = 7500 * time.Millisecond

// pendingAge is the age from which an accepted job that has not begun has to be counted: visible_ms and 2 s.
const pendingAge = 5 * time.Second

// checkPending asks an entry for the number of jobs of a queue that have not begun. The answer may be 2 s old, so a job counts
// only if it was accepted before and begins later than the question and its answer.
func (w *world) checkPending(path string) {
	w.mu.Lock()
	var due []*job
	for _, j := range w.order {
		if j.queue == path && !j.acceptedAt.IsZero() && time.Since(j.acceptedAt) > pendingAge && j.begun == 0 {
			due = append(due, j)
		}
	}
	w.mu.Unlock()
	p := w.entry()
	status, b, err := w.call(http.MethodGet, "http://"+p.front()+path, queueHost, nil, 3*time.Second)
	var answer struct{ Pending int }
	if err != nil || status != http.StatusOK || json.Unmarshal(b, &answer) != nil {
		w.logf("GET %s at %s -> %d %v", path, p.name, status, err)
		return
	}
	w.mu.Lock()
	waiting := 0
	for _, j := range due {
		if j.begun == 0 {
			waiting++
		}
	}
	w.mu.Unlock()
	w.logf("GET %s at %s -> Pending %d; %d jobs accepted over %s ago have not begun", path, p.name, answer.Pending, waiting, pendingAge)
	if answer.Pending*2 < waiting {
		w.breakRule("MIXED: %s gives %d jobs as pending, %d that were accepted over %s ago have not begun", p.name, answer.Pending, waiting, pendingAge)
	}
}

// playManyTasks lets jobs of many small tasks wait for the end of a job that fills the machines of their pool, and sends ordinary
// jobs to another pool.
func playManyTasks(w *world, trouble bool) error {
	go w.submit(w.newJob(queuePath("amber"), false, phase{Count: 8, Cpu: machineCPU, MemMb: 256, EstimateMs: 10000}))
	time.Sleep(time.Second)
	if trouble {
		every(13, 4*time.Second, func(int) {
			w.submit(w.newJob(queuePath("amber"), true, phase{Count: 5000, Cpu: 2, MemMb: 8, EstimateMs: 500}))
		})
	}
	every(30, 20*time.Second, func(int) {
		w.submit(w.newJob(queuePath("birch"), false, phase{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 500}))
	})
	w.checkLost("birch")
	return nil
}
