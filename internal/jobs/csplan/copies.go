package csplan

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// copyShare is the largest fraction of a pool's CPU that copies use together.
	copyShare = 0.05
	// copyGain is the largest expected time of a copy as a fraction of the remaining time of the run. In a trial 165 of 188 copies that were
	// expected to end just before the run were in vain.
	copyGain = 0.5
)

// LongRun is the only open run of a task, which may need a copy.
type LongRun struct {
	Job    *csjob.Job
	Task   csjob.TaskKey
	Target csjob.TargetID
	Rack   string
	Passed time.Duration // since its start
	// StartDelay is the expected time from the decision about a copy until it runs.
	StartDelay time.Duration
	// Prediction is what was expected of the run.
	Prediction *Prediction
	// After is the expected time from the end of the task until the client account can see that of the job.
	After time.Duration
	// Deadline and Expiry are when the job has to be done to be on time, and to have a value.
	Deadline, Expiry time.Time
}

// CopyReason is why a run gets a copy.
type CopyReason struct {
	Unusual   time.Duration // run time from which a run is unusually long
	Remaining time.Duration // expected without a copy
	CopyTime  time.Duration // expected until the end of a copy
	// Lateness is how late the job would be without a copy.
	Lateness time.Duration
}

// NeedsCopy reports whether a run is unusually long, its job would be late without a copy, and a copy is expected to end in at most
// copyGain of the remaining time and while the job has a value.
func (r *LongRun) NeedsCopy(now time.Time) (CopyReason, bool) {
	step := &r.Job.Submission.Steps[r.Task.Step]
	unusual, known := r.Prediction.Quantile(UnusualQuantile)
	if !known || !step.MayCopy() || r.Passed <= unusual {
		return CopyReason{}, false
	}
	reason := CopyReason{Unusual: unusual, Remaining: r.Prediction.Remaining(r.Passed), CopyTime: r.StartDelay + r.Prediction.Typical}
	reason.Lateness = now.Add(reason.Remaining + r.After).Sub(r.Deadline)
	hasValue := now.Add(reason.CopyTime + r.After).Before(r.Expiry)
	gain := float64(reason.CopyTime) <= copyGain*float64(reason.Remaining)
	return reason, reason.Lateness > 0 && gain && hasValue
}

// CopyRoom is what a pool has left for copies after all other work of a round is placed.
type CopyRoom struct {
	Capacity csmodel.MilliCPU // of the targets that take tasks
	Copies   csmodel.MilliCPU // used by open and pending copies
	Waiting  csmodel.MilliCPU // of waiting tasks that aren't late
	// Take takes the resources of a task from the quota of the account of a job, and returns false if they exceed it. Nil is no quota.
	Take func(*csjob.Job, csjob.Resources) bool
}

// Copy is a placed copy of a run.
type Copy struct {
	Placement
	CopyReason
}

// PlaceCopies places copies of unusually long runs, those of the earliest deadlines first, and subtracts their resources from the slots. A
// copy runs on another target and in another rack than the run. Copies get only what the waiting work that is on time leaves free.
func PlaceCopies(now time.Time, runs []LongRun, slots []*Slot, room CopyRoom) []Copy {
	free := -room.Waiting
	for _, s := range slots {
		free += s.Free.CPU
	}
	slices.SortStableFunc(runs, func(a, b LongRun) int { return a.Deadline.Compare(b.Deadline) })
	var out []Copy
	for i := range runs {
		r := &runs[i]
		step := &r.Job.Submission.Steps[r.Task.Step]
		need := step.Needs()
		if need.CPU > free || float64(room.Copies+need.CPU) > copyShare*float64(room.Capacity) {
			continue
		}
		reason, needed := r.NeedsCopy(now)
		if !needed {
			continue
		}
		s := r.bestSlot(slots, need)
		if s == nil || (room.Take != nil && !room.Take(r.Job, step.Resources)) {
			continue
		}
		s.Allocate(step, r.key())
		room.Copies += need.CPU
		free -= need.CPU
		out = append(out, Copy{Placement{Task: r.Task, Slot: s}, reason})
	}
	return out
}

func (r *LongRun) key() StepKey {
	return StepKey{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step}
}

// bestSlot returns the slot with the least free CPU that may take a copy, or nil.
func (r *LongRun) bestSlot(slots []*Slot, need csjob.Resources) *Slot {
	w := Work{Job: r.Job, Key: r.key(), Step: &r.Job.Submission.Steps[r.Task.Step]}
	var best *Slot
	for _, s := range slots {
		if s.Incarnation.Target == r.Target || (s.Rack != "" && s.Rack == r.Rack) || !s.Preferred || s.EvictingSoon {
			continue
		}
		if s.Free.Fits(need) && eligible(&w, s) && (best == nil || s.Free.CPU < best.Free.CPU) {
			best = s
		}
	}
	return best
}
