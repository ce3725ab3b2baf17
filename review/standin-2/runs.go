//go:build review

package main

import (
	"fmt"
	"time"
)

// gang is what the stand-ins know of a job's step: how long its tasks take, and for a gang its members.
type gang struct {
	step    step
	attempt int // of the members
	members map[string]*taskRun
	since   time.Time     // when all members were present; zero before
	resumed time.Duration // work that the members' checkpoint stands for
	final   time.Duration // work at the end of the attempt
}

func gangKey(job string, step int) string { return fmt.Sprintf("%s.%d", job, step) }

// gangsOf records the steps of a job that is about to be sent. The caller holds the lock.
func (w *world) gangsOf(job string, steps []step) {
	for i, s := range steps {
		w.gangs[gangKey(job, i)] = &gang{step: s, members: map[string]*taskRun{}}
	}
}

// began records a start. Tasks of a gang begin to work once all of them are present.
func (w *world) began(r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	job, _, number, _ := taskName(r.task)
	g := w.gangs[gangKey(job, number)]
	if g == nil {
		w.notefLocked("%s was sent by no client", r.task)
		return
	}
	lasts := time.Duration(g.step.EstimateMs) * time.Millisecond
	if !g.step.Gang {
		if !g.step.LongRunning {
			time.AfterFunc(lasts, func() { r.on.finish(r, "done") })
		}
		return
	}
	if r.attempt > g.attempt {
		g.attempt, g.members, g.since, g.resumed, g.final = r.attempt, map[string]*taskRun{}, time.Time{}, workOf(r.checkpoint), 0
	}
	if r.attempt < g.attempt {
		return
	}
	g.members[r.task] = r
	if len(g.members) < g.step.Count {
		time.AfterFunc(gangTimeout, func() { w.timeOut(g, r) })
		return
	}
	g.since = time.Now()
	attempt := g.attempt
	time.AfterFunc(lasts-g.resumed, func() { w.endGang(g, attempt, nil, "done") })
}

// timeOut ends a member whose gang is not complete.
func (w *world) timeOut(g *gang, r *taskRun) {
	w.mu.Lock()
	alone := g.attempt == r.attempt && g.since.IsZero()
	w.mu.Unlock()
	if alone {
		r.on.finish(r, "alone")
	}
}

// endGang ends all members of an attempt but one in the same way.
func (w *world) endGang(g *gang, attempt int, except *taskRun, how string) {
	w.mu.Lock()
	members := []*taskRun{}
	if g.attempt == attempt {
		for _, r := range g.members {
			if r != except && r.to.IsZero() {
				members = append(members, r)
			}
		}
	}
	w.mu.Unlock()
	for _, r := range members {
		r.on.finish(r, how)
	}
}

// ended records the end of a run. The other members of its gang end as well.
func (w *world) ended(r *taskRun, how string) {
	w.mu.Lock()
	r.to, r.how = time.Now(), how
	w.notefLocked("%s: %s attempt %d ends %s", r.on.id, r.task, r.attempt, how)
	job, _, number, _ := taskName(r.task)
	g := w.gangs[gangKey(job, number)]
	breaks := g != nil && g.step.Gang && g.attempt == r.attempt && how != "done" && how != "broken" && how != "alone"
	if breaks && g.final == 0 {
		g.final = g.work()
	}
	w.mu.Unlock()
	if breaks {
		go w.endGang(g, r.attempt, r, "broken")
	}
}

// work is the work that a gang has done.
func (g *gang) work() time.Duration {
	if g.since.IsZero() {
		return g.resumed
	}
	return g.resumed + time.Since(g.since)
}

// saved returns the checkpoint of a run: one for each second of its work, the same for all members of a gang.
func (w *world) saved(r *taskRun) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, number, _ := taskName(r.task)
	g := w.gangs[gangKey(job, number)]
	if g == nil || !g.step.Checkpointing || !g.step.Gang || g.attempt != r.attempt {
		return ""
	}
	work := g.final
	if work == 0 {
		work = g.work()
	}
	if work < time.Second {
		return r.checkpoint
	}
	return fmt.Sprintf("%08x%s", work.Truncate(time.Second).Milliseconds(), job[:8])
}

// percent returns the progress of a run. A task that lasts is at work from its start.
func (w *world) percent(r *taskRun) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(stepOf(r))]
	switch {
	case g == nil || (g.step.Gang && g.since.IsZero()):
		return 0
	case g.step.LongRunning:
		return 100
	}
	return min(99, int(100*time.Since(r.from).Milliseconds()/max(1, g.step.EstimateMs)))
}

// load returns the processor time in use, in thousandths of a core.
func (w *world) load(r *taskRun) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gangKey(stepOf(r))]; g != nil {
		return g.step.Cpu
	}
	return 0
}

func stepOf(r *taskRun) (job string, step int) {
	job, _, step, _ = taskName(r.task)
	return job, step
}

// workOf returns the work that a checkpoint stands for.
func workOf(checkpoint string) time.Duration {
	var ms int64
	if len(checkpoint) < 8 {
		return 0
	}
	if _, err := fmt.Sscanf(checkpoint[:8], "%x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// runsOf returns copies of the runs of a job's tasks, in the order of their starts.
func (w *world) runsOf(job string) []taskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []taskRun
	for _, r := range w.runs {
		if id, _, _, _ := taskName(r.task); id == job {
			out = append(out, *r)
		}
	}
	return out
}

// runningOf returns the number of runs of a job that have not ended.
func (w *world) runningOf(job string) int {
	n := 0
	for _, r := range w.runsOf(job) {
		if r.to.IsZero() {
			n++
		}
	}
	return n
}

// idleSpan watches a job for a time and returns the longest span in which nothing of it ran.
func (w *world) idleSpan(job string, watch time.Duration) time.Duration {
	longest, since := time.Duration(0), time.Now()
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runningOf(job) > 0 {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}
