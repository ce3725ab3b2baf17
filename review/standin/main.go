//go:build review

// Command standin starts the programs of the deploy file as separate processes beside stand-ins of executors, the VM interface,
// the operator and clients, plays one case and reports whether a rule was broken: it exits with 1 if so, with 0 if the rule held
// and with 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is one case.
type scenario struct {
	entries int
	pools   []string
	standby string
	// machines is the number of machines of each pool.
	machines map[string]int
	play     func(w *world, trouble bool) error
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD TROUBLE")
		os.Exit(exitFailed)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(playCase(s, os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func playCase(s scenario, program, record string, trouble bool) int {
	w, err := newWorld(program, record, s.entries, s.pools, s.standby)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, p := range s.pools {
		w.addMachines(p, s.machines[p])
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitFailed)
	}()
	defer w.close()
	w.logf("case begins, trouble=%t", trouble)
	if err := w.open(); err != nil {
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.logf("the system is ready")
	if err := s.play(w, trouble); err != nil {
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.broken {
		fmt.Println(line)
	}
	w.logf("case ends: %d starts, %d breaks", w.starts, len(w.broken))
	if len(w.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// Times of the rule that accepted jobs are not lost.
const (
	finishTime = 14 * time.Second // finish_s, from the end of the traffic
	stuckTime  = 3 * time.Second
	watchTime  = 5 * time.Second
	sampleTime = 100 * time.Millisecond
)

// checkLost asks for all accepted jobs finishTime after the end of the traffic. A job is lost if for stuckTime it has nothing
// running although a task's turn has come, its service has room for the step twice over, and less than half of the service's
// room is in use. Jobs that can never be done and lasting jobs do not count.
func (w *world) checkLost(pool string) {
	w.logf("traffic ends")
	time.Sleep(finishTime)
	var open, due []*job
	w.mu.Lock()
	for _, j := range w.order {
		if !j.acceptedAt.IsZero() && !j.hopeless && !j.phases[0].LongRunning && j.queue == queuePath(pool) {
			due = append(due, j)
		}
	}
	w.mu.Unlock()
	var collect sync.Mutex
	every(len(due), 0, func(i int) {
		j := due[i]
		status, state := w.askPatiently(j)
		switch {
		case status != http.StatusOK:
			w.breakRule("LOST: job %s was accepted %.1f s ago, and its state cannot be read: status %d", j.id, time.Since(j.acceptedAt).Seconds(), status)
		case state == "queued" || state == "running":
			collect.Lock()
			open = append(open, j)
			collect.Unlock()
		}
	})
	w.logf("%d jobs of %s are open %s after the end of the traffic", len(open), pool, finishTime)
	stuck := map[*job]time.Time{}
	lost := map[*job]bool{}
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(sampleTime) {
		room, used := w.room(pool)
		for _, j := range open {
			if lost[j] {
				continue
			}
			w.mu.Lock()
			need := int64(j.phases[0].Count) * j.phases[0].Cpu
			idle := j.running == 0 && j.done < j.tasks()
			w.mu.Unlock()
			switch {
			case !idle || room-used < 2*need || used*2 >= room:
				delete(stuck, j)
			case stuck[j].IsZero():
				stuck[j] = time.Now()
			case time.Since(stuck[j]) > stuckTime:
				lost[j] = true
				w.breakRule("LOST: job %s accepted %.1f s ago has %d of %d tasks done and nothing running for %.1f s; %d of %d thousandths of a core of %s are in use",
					j.id, time.Since(j.acceptedAt).Seconds(), j.done, j.tasks(), time.Since(stuck[j]).Seconds(), used, room, pool)
			}
		}
	}
	for _, j := range open {
		w.ask(j)
	}
}

// askPatiently asks for the state of a job at several entries before it gives up. A job that is not known is not asked for again.
func (w *world) askPatiently(j *job) (status int, state string) {
	const tries = 4
	for range tries {
		if status, state = w.ask(j); status == http.StatusOK || status == http.StatusGone {
			break
		}
		time.Sleep(sampleTime)
	}
	return status, state
}

func (j *job) tasks() int {
	n := 0
	for _, p := range j.phases {
		n += p.Count
	}
	return n
}

// room returns the room of a pool's executors and what is in use, in thousandths of a core.
func (w *world) room(pool string) (room, used int64) {
	for _, e := range w.lives(pool) {
		room += machineCPU
		used += e.used()
	}
	return room, used
}

// every calls f n times over a time, each call in its own goroutine, and returns when all have returned.
func every(n int, over time.Duration, f func(i int)) {
	done := make(chan struct{})
	begun := time.Now()
	for i := range n {
		time.Sleep(time.Until(begun.Add(over * time.Duration(i) / time.Duration(n))))
		go func() {
			f(i)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}
