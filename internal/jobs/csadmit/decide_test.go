package csadmit

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

var testQueue = csjob.Queue{Stretch: 1.6, Objective: 600 * time.Millisecond}

// submission returns a job of one step of half a second, or of a second if the prediction is off by half. Its objective is then 2.2 s, and it
// has to start within 5.6 s to have value.
func submission(waited time.Duration) csjob.Submission {
	return csjob.Submission{ID: "0123456789abcdef", Waited: waited, Steps: []csjob.Step{
		{Tasks: 4, Resources: csjob.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond},
	}}
}

// Pattern: more work arrives for some seconds than a pool can do. Guards against refusals of jobs that might have been done, and against
// jobs that are accepted although it is certain that they can't be.
func TestOnlyCertainCasesAreRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	full := func(remaining time.Duration) *Backlog {
		b := &Backlog{At: now, Now: 10_000}
		b.AddRunning(10_000, remaining)
		return b
	}
	behind := func(work time.Duration) *Backlog { // on-time work that stays ahead of late jobs for 6 s
		b := &Backlog{At: now, Now: 10_000, Longest: 500 * time.Millisecond}
		b.OnTime.add(6*time.Second, 10_000*csmodel.MilliCPU(work.Milliseconds()))
		return b
	}
	aged := func(b *Backlog, age time.Duration) *Backlog { b.At = now.Add(-age); return b }
	movable := func(b *Backlog) *Backlog { b.Movable, b.MoveTime = 1000, 1500*time.Millisecond; return b }
	const noObjective = "without an objective"
	long, due, effort, timeless := submission(0), submission(0), submission(0), submission(0)
	timeless.Spec = noObjective
	long.Steps[0].LongRunning, due.Repeats, effort.Steps[0].BestEffort = true, 1, true
	cases := []struct {
		name    string
		backlog *Backlog
		job     csjob.Submission
		want    Reason
	}{
		{"an idle pool", &Backlog{At: now, Now: 10_000}, submission(0), None},
		{"no round yet", nil, submission(6 * time.Second), None},
		{"no known target", &Backlog{At: now}, submission(6 * time.Second), None},
		{"no value left", &Backlog{At: now, Now: 10_000}, submission(5700 * time.Millisecond), NoValue},
		{"value left", &Backlog{At: now, Now: 10_000}, submission(5500 * time.Millisecond), None},
		{"runs of twice the time that the job has, which may be half as long", full(11 * time.Second), submission(0), None},
		{"runs of more than that", full(12 * time.Second), submission(0), TooLong},
		{"the same, with a VM that can be moved here", movable(full(12 * time.Second)), submission(0), None},
		{"the same, seen before the leader was interrupted", aged(full(12*time.Second), 2*time.Second), submission(0), None},
		{"a job on time, which is soon the most urgent one", behind(20 * time.Second), submission(0), None},
		{"a late job behind more than it can wait for", behind(11 * time.Second), submission(time.Second), TooLong},
		{"a late job behind less, as run times may be half as long", behind(9 * time.Second), submission(time.Second), None},
		{"long-running", full(time.Minute), long, None},
		{"with a due time", full(time.Minute), due, None},
		{"in a queue without an objective", full(time.Minute), timeless, None},
		{"needs no CPU", full(time.Minute), effort, None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := testQueue
			if c.job.Spec == noObjective {
				queue.Objective, queue.Stretch = 0, 0
			}
			d := Decide(now, c.backlog, queue, c.job, &csplan.LearnedEstimator{})
			if d.Reason != c.want {
				t.Errorf("got %s (wait %s, left %s), want %s", d.Reason, d.Wait, d.Left, c.want)
			}
		})
	}
}

// Guards against refused client accounts that return together, or before the job would be accepted.
func TestRetryMeetsAnAcceptingPool(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := &Backlog{At: now, Now: 10_000}
	b.AddRunning(10_000, 20*time.Second)
	least, most := time.Hour, time.Duration(0)
	for i := range 100 {
		s := submission(0)
		s.ID = csjob.ID(fmt.Sprintf("%016x", i))
		d := Decide(now, b, testQueue, s, &csplan.LearnedEstimator{})
		least, most = min(least, d.Retry), max(most, d.Retry)
	}
	// The runs end after 10 s at the earliest, and a job has 5.6 s.
	if mean := 4400 * time.Millisecond; least < mean*74/100 || most > mean*126/100 || most < least*5/4 {
		t.Errorf("got times of %s to %s, want them spread around %s by a quarter", least, most, mean)
	}
	later := *b
	later.At = now.Add(4400 * time.Millisecond)
	later.Running = Profile{}
	later.AddRunning(10_000, 20*time.Second-2*4400*time.Millisecond)
	if d := Decide(later.At, &later, testQueue, submission(0), &csplan.LearnedEstimator{}); d.Reason != None {
		t.Errorf("got %s after the time to retry, want an accepted job", d.Reason)
	}
}

// BenchmarkDecide measures a decision about a job of five steps in a pool of 800 targets.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	backlog := &Backlog{At: now, Now: 800 * 32_000, Longest: 500 * time.Millisecond}
	for i := range 800 {
		backlog.AddRunning(32_000, time.Duration(i)*time.Millisecond)
		backlog.Targets = append(backlog.Targets, Room{Free: 500, Until: time.Duration(i) * time.Millisecond})
	}
	backlog.OnTime.add(5*time.Second, 1<<40)
	s := submission(0)
	for len(s.Steps) < 5 {
		s.Steps = append(s.Steps, csjob.Step{Tasks: 32, Resources: csjob.Resources{CPU: 1000}, Estimate: time.Second, After: []int{len(s.Steps) - 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(now, backlog, testQueue, s, &csplan.LearnedEstimator{})
	}
}
