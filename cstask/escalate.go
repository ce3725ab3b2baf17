package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Parameters of the escalation against overrunning tasks.
const (
	escalationDelay   = 30 * time.Second // between steps, so that reports show the effect of the last one
	escalationTimeout = 5 * time.Minute  // without an observed overrun, after which a throttle ends
	// overrunFactor is the ratio of usage to reservation above which a task on a full worker counts as overrunning.
	overrunFactor = 1.5
)

// escalationLevel is the last step taken against an attempt.
type escalationLevel uint8

const (
	levelNone escalationLevel = iota
	levelThrottle
	levelMove
	levelStop
)

// runtimeFactor returns how many times its expected run time a task may take before this step. It applies only while other
// tasks of the pool are late, because declared run times can be far from the actual ones.
func (l escalationLevel) runtimeFactor() int64 {
	switch l {
	case levelThrottle:
		return 2
	case levelMove:
		return 4
	default:
		return 8
	}
}

type attemptKey struct {
	task  csmodel.TaskID
	fence csmodel.Fence
}

type escalation struct {
	level    escalationLevel
	takenAt  time.Time // when the step was taken
	lastSeen time.Time // when the overrun was last observed
}

// supervise compares the reported tasks with the table, stops those without a lease and escalates against overrunning ones.
// It skips workers whose report and leases are unchanged.
func (ts *tickState) supervise() {
	for _, w := range ts.workers {
		if !w.changed {
			continue
		}
		for _, attempt := range w.Running {
			rec, ok := ts.table.tasks[attempt.Task]
			switch {
			case ok && attempt.Fence > rec.fence:
				continue // the report is ahead of this replica
			case !ok || rec.fence != attempt.Fence || rec.state != StateLeased || rec.run.vm != w.VM:
				ts.stopUnleased(w, attempt)
			default:
				ts.escalate(w, attempt, rec)
			}
		}
	}
}

// stopUnleased stops an attempt that was cancelled, expired or moved. It repeats the stop only after escalationDelay,
// because reports lag and may still list the attempt.
func (ts *tickState) stopUnleased(w *workerState, attempt Running) {
	key := attemptKey{task: attempt.Task, fence: attempt.Fence}
	e, ok := ts.escalations[key]
	if ok && e.level == levelStop && ts.now.Sub(e.takenAt) < escalationDelay {
		return
	}
	ts.escalations[key] = escalation{level: levelStop, takenAt: ts.now, lastSeen: ts.now}
	ts.addAction(Stop{VM: w.VM, Task: attempt.Task, Fence: attempt.Fence})
}

// escalate takes the next step against an attempt that overruns.
func (ts *tickState) escalate(w *workerState, attempt Running, rec *record) {
	key := attemptKey{task: attempt.Task, fence: attempt.Fence}
	e, known := ts.escalations[key]
	next := min(e.level+1, levelStop)
	if !ts.overruns(w, attempt, rec, next) {
		ts.endThrottle(w, key, e)
		return
	}
	e.lastSeen = ts.now
	if !known || ts.now.Sub(e.takenAt) >= escalationDelay {
		e.level, e.takenAt = next, ts.now
		ts.applyStep(w, attempt, next)
	}
	ts.escalations[key] = e
}

// overruns reports whether an attempt exceeds its reservation on a full worker, or its run time while the pool is late.
func (ts *tickState) overruns(w *workerState, attempt Running, rec *record, next escalationLevel) bool {
	required := ts.table.requirements(rec)
	full := w.FreeCPU <= 0 && exceedsReservation(int64(attempt.Used.CPU), int64(required.CPU)) ||
		w.FreeMemory <= 0 && exceedsReservation(int64(attempt.Used.Memory), int64(required.Memory))
	slow := ts.latePools.Has(w.Pool) && int64(attempt.Used.Runtime) > next.runtimeFactor()*int64(required.Runtime)
	return full || slow
}

func exceedsReservation(used, reserved int64) bool {
	return float64(used) > overrunFactor*float64(reserved)
}

// endThrottle ends a throttle when no overrun was observed for escalationTimeout.
func (ts *tickState) endThrottle(w *workerState, key attemptKey, e escalation) {
	if e.level != levelThrottle || ts.now.Sub(e.lastSeen) < escalationTimeout {
		return
	}
	delete(ts.escalations, key)
	ts.addAction(Throttle{VM: w.VM, Task: key.task, Fence: key.fence, Off: true})
}

func (ts *tickState) applyStep(w *workerState, attempt Running, level escalationLevel) {
	switch level {
	case levelThrottle:
		ts.addAction(Throttle{VM: w.VM, Task: attempt.Task, Fence: attempt.Fence})
	case levelMove:
		ts.addAction(TakeCheckpoint{VM: w.VM, Task: attempt.Task, Fence: attempt.Fence})
	default:
		ts.addAction(Stop{VM: w.VM, Task: attempt.Task, Fence: attempt.Fence, Overrun: true})
	}
}
