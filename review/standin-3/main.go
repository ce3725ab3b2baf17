//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held     = 0
	brokenIt = 1
	cannot   = 2
)

// catchUp is how long a machine counts as lost after it is back.
const catchUp = 4 * time.Second

var cases = map[string]func(*world, bool) error{
	"lost":   lostCase,
	"avail":  availCase,
	"budget": budgetCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(cannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return cannot
	}
	go w.watch()
	err = cases[name](w, os.Getenv("TROUBLE") != "0")
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.record.Close()
	switch {
	case err != nil:
		w.logf("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return cannot
	case len(w.violation) > 0:
		fmt.Println("broken:", strings.Join(w.violation, "\nbroken: "))
		return brokenIt
	default:
		w.logf("the rule held")
		fmt.Println("held")
		return held
	}
}

// longest is the time after which a case that has not ended is given up.
const longest = 110 * time.Second

// watch ends everything when the case is interrupted or takes too long.
func (w *world) watch() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(longest):
	}
	w.logf("given up")
	w.close()
	os.Exit(cannot)
}

// batchLoad submits small jobs until quit is closed.
func (w *world) batchLoad(quit chan struct{}, every time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				all.Go(func() {
					w.submit(quickPrefix, []phase{{Count: 6, Cpu: 9000, MemMb: 4000, EstimateMs: 300}}, func(int, int) (time.Duration, string) {
						return time.Duration(200+rand.N(200)) * time.Millisecond, "done"
					})
				})
			}
		}
	})
	return &all
}

// waitAtWork waits until all tasks of a step that lasts are at work.
func (w *world) waitAtWork(j *job, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		n := 0
		for i := range j.steps[0].Count {
			if atWork(w.task(fmt.Sprintf("%s.0.0.%d", j.id, i))) {
				n++
			}
		}
		w.mu.Unlock()
		if n == j.steps[0].Count {
			return true
		}
	}
	return false
}

// storesUp tells whether all stores have run for a time.
func (w *world) storesUp(d time.Duration) bool {
	for _, s := range w.stores {
		if s.upFor() < d {
			return false
		}
	}
	return true
}

// lostCase: an executor with a task that lasts is lost for good, and the leader is killed some seconds later.
func lostCase(w *world, trouble bool) error {
	if err := w.startAll(10, 2); err != nil {
		return err
	}
	j, ok := w.submit(lastingPrefix, []phase{{Count: 4, Cpu: 2700, MemMb: 9700, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}, nil)
	if !ok || !w.waitAtWork(j, 10*time.Second) {
		return fmt.Errorf("the job that lasts isn't at work")
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	task := w.task(j.id + ".0.0.0")
	victim := task.runs[len(task.runs)-1].life
	others := -1
	for _, m := range w.machines {
		if m.life != nil {
			others++
		}
	}
	w.mu.Unlock()
	calm := time.Now()
	lastRun := time.Now()
	if trouble {
		victim.end("lost for good")
		lastRun = time.Now()
		time.Sleep(3 * time.Second)
		leader := w.leader()
		if leader == nil {
			return fmt.Errorf("no leader")
		}
		leader.signal(syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		for leader.upFor() == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		// The core is stable again a contact time after the last event on one of its machines.
		calm = time.Now().Add(3 * time.Second)
		w.logf("the core counts as stable from %.3f s on", calm.Sub(w.began).Seconds())
	}
	// A task that lasts has to run from 6 s after its last run on, unless the last 3 s and the 4 s before them weren't calm.
	from := calm.Add(4 * time.Second)
	if after := lastRun.Add(6 * time.Second); after.After(from) {
		from = after
	}
	idle := time.Time{}
	for until := from.Add(8 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		runs := false
		for _, r := range task.runs {
			runs = runs || r.how == ""
		}
		switch {
		case runs || time.Now().Before(from):
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		case time.Since(idle) >= 3*time.Second:
			w.broken("LOST: %s is to last and hasn't run for 3 s after 4 calm seconds, %.1f s after its last run, with %d other executors, each with capacity for it",
				task.name, time.Since(lastRun).Seconds(), others)
			until = time.Now().Add(-time.Second)
		}
		done := len(w.violation) > 0
		w.mu.Unlock()
		if done {
			break
		}
	}
	for until := time.Now().Add(12 * time.Second); !w.waitAtWork(j, 100*time.Millisecond) && time.Now().Before(until); {
	}
	w.logf("%s is at work again: %v, %.1f s after its last run", task.name, w.waitAtWork(j, time.Millisecond), time.Since(lastRun).Seconds())
	return nil
}

// availCase: a wave of maintenance under load, while the stores are restarted in turn, each time the one that leads.
func availCase(w *world, trouble bool) error {
	const workers = 14
	if err := w.startAll(workers, 2); err != nil {
		return err
	}
	var lasting []*job
	for range 5 {
		j, ok := w.submit(lastingPrefix, []phase{{Count: 5, Cpu: 2700, MemMb: 9700, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}, nil)
		if !ok {
			return fmt.Errorf("job not accepted")
		}
		lasting = append(lasting, j)
	}
	for _, j := range lasting {
		if !w.waitAtWork(j, 10*time.Second) {
			return fmt.Errorf("job %s isn't at work", j.id)
		}
	}
	quit := make(chan struct{})
	load := w.batchLoad(quit, 60*time.Millisecond)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	last := time.Time{}
	rolls := 0
	if trouble {
		w.mu.Lock()
		w.onStop = func(r *run) {
			mu.Lock()
			defer mu.Unlock()
			if rolls >= 20 || time.Since(last) < catchUp || !w.storesUp(catchUp) {
				return
			}
			if leader := w.leader(); leader != nil {
				last = time.Now()
				rolls++
				w.logf("the stop of %s is under way", r.task.name)
				leader.signal(syscall.SIGTERM)
			}
		}
		w.mu.Unlock()
	}
	// Waves of four machines follow one another, so that some task moves most of the time.
	for wave := 1; wave <= 9 && !w.anyBroken(); wave++ {
		var machines []string
		for i := range 4 {
			machines = append(machines, fmt.Sprintf("%q", fmt.Sprintf("m-%02d", ((wave-1)*4+i)%workers)))
		}
		w.startWave(wave, strings.Join(machines, ","))
		for until := time.Now().Add(6500 * time.Millisecond); time.Now().Before(until) && !w.anyBroken(); {
			time.Sleep(50 * time.Millisecond)
		}
	}
	close(quit)
	load.Wait()
	return nil
}

// startWave sends the order for a wave until it is acknowledged.
func (w *world) startWave(wave int, machines string) {
	body := fmt.Sprintf(`{"Wave":%d,"Machines":[%s],"DeadlineS":26,"MaxCount":2}`, wave, machines)
	for range 50 {
		for _, s := range w.stores {
			status, _, err := w.call("POST", "http://"+s.control()+"/cowslipstream/wave-start", "", []byte(body), time.Second)
			if err == nil && status == 200 {
				w.logf("wave %d acknowledged by %s: %s", wave, s.name, machines)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// anyBroken tells whether a rule was broken.
func (w *world) anyBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.violation) > 0
}

// budgetCase: a task of a speculative step fails as often as its queue allows while its copy runs, and the executor of the copy crashes.
func budgetCase(w *world, trouble bool) error {
	if err := w.startAll(12, 0); err != nil {
		return err
	}
	step := phase{Count: 1, Cpu: 1800, MemMb: 4000, EstimateMs: 300, Speculative: true}
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			w.submit(quickPrefix, []phase{step}, func(int, int) (time.Duration, string) {
				if i == 40 || i == 80 {
					return 4 * time.Second, "done"
				}
				return time.Duration(270+rand.N(60)) * time.Millisecond, "done"
			})
		})
		time.Sleep(60 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(5 * time.Second)
	for try := 1; try <= 3; try++ {
		j, ok := w.submit(quickPrefix, []phase{step}, func(_, attempt int) (time.Duration, string) {
			switch attempt {
			case 1, 2:
				return 60 * time.Millisecond, "failed"
			case 3:
				return 2500 * time.Millisecond, "failed"
			case 4:
				return 6 * time.Second, "done"
			default:
				return 200 * time.Millisecond, "done"
			}
		})
		if !ok {
			return fmt.Errorf("job not accepted")
		}
		crashed := false
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			w.mu.Lock()
			t := w.task(j.id + ".0.0.0")
			var copied *run
			for _, r := range t.runs {
				if r.attempt == 4 && r.how == "" {
					copied = r
				}
			}
			noted := t.failedNoted
			over := len(w.violation) > 0
			w.mu.Unlock()
			if over {
				return nil
			}
			if trouble && !crashed && noted >= queueAttempts && copied != nil {
				crashed = true
				m := copied.life.machine
				copied.life.end("crash")
				time.AfterFunc(4*time.Second, m.boot)
			}
			if !crashed {
				if s := w.state(j); s == "completed" || s == "failed" {
					w.logf("job %s is %s", j.id, s)
					break
				}
			}
		}
	}
	return nil
}
