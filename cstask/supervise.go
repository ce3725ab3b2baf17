package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Steps against overrunning tasks.
const (
	rungDelay  = 30 * time.Second // between steps, so that a report shows the effect of the last one
	rungMemory = 5 * time.Minute  // without an overrun, after which a throttle is ended
	// overrunFactor is how far usage may exceed the reservation before a task is held responsible for a full worker.
	overrunFactor = 1.5
)

// rungLevel is the last step that was taken against an attempt.
type rungLevel uint8

const (
	rungNone rungLevel = iota
	rungThrottle
	rungMove
	rungStop
)

// runtimeFactor returns how many times the expected run time a task may take before a step. It only counts while other
// tasks of the pool are late, because declared run times are far from the actual ones.
func (l rungLevel) runtimeFactor() int64 {
	switch l {
	case rungThrottle:
		return 2
	case rungMove:
		return 4
	default:
		return 8
	}
}

type attemptKey struct {
	task  csmodel.TaskID
	fence csmodel.Fence
}

type rung struct {
	level rungLevel
	at    time.Time // when the step was taken
	seen  time.Time // when the overrun was last observed
}

// supervise compares the reported tasks with the table and acts on overrunning ones. A report that was seen before adds
// nothing.
func (r *round) supervise() {
	for _, w := range r.workers {
		if !w.fresh {
			continue
		}
		for _, x := range w.Running {
			rec, ok := r.table.tasks[x.Task]
			switch {
			case ok && x.Fence > rec.fence:
				continue // the report is ahead of this replica
			case !ok || rec.fence != x.Fence || rec.state != StateLeased || rec.run.vm != w.VM:
				r.stopUnleased(w, x)
			default:
				r.limit(w, x, rec)
			}
		}
	}
}

// stopUnleased stops an attempt that was cancelled, expired or moved. It repeats the step only after a delay, because
// reports lag.
func (r *round) stopUnleased(w *slot, x Running) {
	k := attemptKey{task: x.Task, fence: x.Fence}
	g, ok := r.rungs[k]
	if ok && g.level == rungStop && r.now.Sub(g.at) < rungDelay {
		return
	}
	r.rungs[k] = rung{level: rungStop, at: r.now, seen: r.now}
	r.act(Stop{VM: w.VM, Task: x.Task, Fence: x.Fence})
}

// limit takes the next step against an attempt that overruns.
func (r *round) limit(w *slot, x Running, rec *record) {
	k := attemptKey{task: x.Task, fence: x.Fence}
	g, known := r.rungs[k]
	next := min(g.level+1, rungStop)
	if !r.overruns(w, x, rec, next) {
		r.relax(w, k, g)
		return
	}
	g.seen = r.now
	if !known || r.now.Sub(g.at) >= rungDelay {
		g.level, g.at = next, r.now
		r.step(w, x, next)
	}
	r.rungs[k] = g
}

func (r *round) overruns(w *slot, x Running, rec *record, next rungLevel) bool {
	need := r.table.need(rec)
	full := w.FreeCPU <= 0 && exceeds(int64(x.Used.CPU), int64(need.CPU)) ||
		w.FreeMemory <= 0 && exceeds(int64(x.Used.Memory), int64(need.Memory))
	slow := r.late.Has(w.Pool) && int64(x.Used.Runtime) > next.runtimeFactor()*int64(need.Runtime)
	return full || slow
}

func exceeds(used, reserved int64) bool { return float64(used) > overrunFactor*float64(reserved) }

// relax ends a throttle when the overrun has not been seen for a while.
func (r *round) relax(w *slot, k attemptKey, g rung) {
	if g.level != rungThrottle || r.now.Sub(g.seen) < rungMemory {
		return
	}
	delete(r.rungs, k)
	r.act(Throttle{VM: w.VM, Task: k.task, Fence: k.fence, Off: true})
}

func (r *round) step(w *slot, x Running, level rungLevel) {
	switch level {
	case rungThrottle:
		r.act(Throttle{VM: w.VM, Task: x.Task, Fence: x.Fence})
	case rungMove:
		r.act(TakeCheckpoint{VM: w.VM, Task: x.Task, Fence: x.Fence})
	default:
		r.act(Stop{VM: w.VM, Task: x.Task, Fence: x.Fence, Overrun: true})
	}
}
