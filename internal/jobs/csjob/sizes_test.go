package csjob

import (
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// sizeCase is a shape of jobs.
type sizeCase struct {
	name   string
	jobs   int
	steps  int
	tasks  int // of each step
	spec   int // bytes
	start  int // tasks of each step that are started
	cancel bool
}

var sizeCases = []sizeCase{
	{name: "one task", jobs: 20_000, steps: 1, tasks: 1},
	{name: "one task, started", jobs: 20_000, steps: 1, tasks: 1, start: 1},
	{name: "one task, ended", jobs: 20_000, steps: 1, tasks: 1, start: 1, cancel: true},
	{name: "five steps of 32 tasks", jobs: 5000, steps: 5, tasks: 32},
	{name: "five steps of 32 tasks, all started", jobs: 500, steps: 5, tasks: 32, start: 32},
	{name: "one of 5,000 tasks started", jobs: 50, steps: 1, tasks: 5000, start: 1},
	{name: "a specification of 8 KiB", jobs: 2000, steps: 1, tasks: 1, spec: 8 << 10},
}

// fill applies the commands of a case to a table.
func (c sizeCase) fill(t testing.TB, table *Table) {
	t.Helper()
	index := csmodel.Index(0)
	apply := func(command Command) {
		b, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		index++
		if v := ParseVerdict(table.Apply(csraft.Entry{Index: index, At: time.Unix(1_800_000_000, 0), Data: b})); v != Accepted {
			t.Fatalf("got verdict %d, want %d", v, Accepted)
		}
	}
	key := QueueKey{Host: "queue.example.org", Prefix: "/kind/jobs/"}
	config := Config{Version: 1, Pools: []Pool{{ID: "p"}}, Queues: []Queue{{Key: key, Name: "q", Pool: "p", Attempts: 1, Timeout: time.Second}}}
	target := Target{Incarnation: Incarnation{Target: "i-0123456789"}, Pool: "p"}
	apply(Command{Config: &config, Targets: []TargetEvent{{Target: target}}})
	for n := range c.jobs {
		s := Submission{ID: ID(fmt.Sprintf("%016x", n)), Queue: key, Spec: string(make([]byte, c.spec))}
		for i := range c.steps {
			step := Step{Tasks: c.tasks, Resources: Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Image: "image-of-the-step"}
			if i > 0 {
				step.After = []int{i - 1}
			}
			s.Steps = append(s.Steps, step)
		}
		apply(Command{Submit: &s})
		var starts []Start
		for i := range c.steps {
			for k := range c.start {
				starts = append(starts, Start{Task: TaskKey{Job: s.ID, Step: i, Index: k}, Attempt: 1, Incarnation: target.Incarnation})
			}
		}
		apply(Command{Starts: starts})
		if c.cancel {
			apply(Command{Cancel: &JobRef{Queue: key, ID: s.ID}})
			var ends []End
			for _, o := range starts {
				ends = append(ends, End{Task: o.Task, Attempt: 1, Incarnation: o.Incarnation, Outcome: OutcomeStopped})
			}
			apply(Command{Ends: ends})
		}
	}
}

// heap returns the bytes of live objects.
func heap() csmodel.Bytes {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return csmodel.Bytes(m.HeapAlloc)
}

// Pattern: clients send more jobs than a store has memory for. Guards against an estimate that is below what the jobs take with a
// snapshot of them, so that the process is terminated, or so far above that jobs are refused in vain.
func TestSizeCoversMeasuredMemory(t *testing.T) {
	for _, c := range sizeCases {
		t.Run(c.name, func(t *testing.T) {
			before := heap()
			var table Table
			c.fill(t, &table)
			live := heap() - before
			snapshot, err := table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			// While a snapshot is encoded, its buffer and the copy that is returned exist.
			used := live + 2*csmodel.Bytes(len(snapshot))
			t.Logf("per job: live %d, snapshot %d, estimate %d bytes", int(live)/c.jobs, len(snapshot)/c.jobs, int(table.Size())/c.jobs)
			if got := table.Size(); got < used || got > 4*used {
				t.Errorf("got an estimate of %d bytes, want it between the %d used and four times that", got, used)
			}
		})
	}
}

// Guards against an estimate that drifts: it must be the same after a restart from a snapshot, and nothing once all jobs are forgotten.
func TestSizeIsRebuiltAndReturnsToZero(t *testing.T) {
	for _, c := range sizeCases {
		c.jobs = 3
		t.Run(c.name, func(t *testing.T) {
			var table, restored Table
			c.fill(t, &table)
			table.addCancelled("unknown", time.Unix(1_800_000_000, 0))
			snapshot, err := table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			if got, want := restored.Footprint(), table.Footprint(); got != want {
				t.Errorf("got %+v after the snapshot was restored, want %+v", got, want)
			}
			var sum Footprint
			for _, u := range restored.owners {
				sum = sum.Add(u.footprint)
			}
			if got, want := sum, table.Footprint(); got != want {
				t.Errorf("got %+v for all owners together, want %+v", got, want)
			}
			var ids []ID
			for id, j := range table.state.Jobs {
				ids = append(ids, id)
				table.cancel(JobRef{Queue: j.Submission.Queue, ID: id}, time.Unix(1_800_000_000, 0))
			}
			for _, id := range ids {
				var ends []End
				table.state.Jobs[id].eachRun(func(k TaskKey, r Run) {
					ends = append(ends, End{Task: k, Attempt: r.Attempt, Incarnation: r.Incarnation, Outcome: OutcomeStopped})
				})
				for _, e := range ends {
					table.endRun(e, time.Unix(1_800_000_000, 0))
				}
			}
			table.pruneEnded(time.Unix(1_800_000_000, 0).Add(time.Hour))
			if got := table.Footprint(); got != (Footprint{}) || len(table.state.Jobs) != 0 || len(table.owners) != 0 {
				t.Errorf("got %+v for %d jobs of %d owners after their retention, want none", got, len(table.state.Jobs), len(table.owners))
			}
		})
	}
}

// Guards against jobs that are accepted although there is no memory for their tasks once these begin.
func TestFootprintOfSubmissionCoversItsTasks(t *testing.T) {
	for _, c := range sizeCases {
		if c.cancel {
			continue // an ended job takes less
		}
		c.jobs = 1
		t.Run(c.name, func(t *testing.T) {
			var table Table
			c.fill(t, &table)
			for _, j := range table.state.Jobs {
				want := j.footprint.Total() - runBytes*csmodel.Bytes(j.OpenRuns)
				if got := j.Submission.Footprint().Total(); got < want {
					t.Errorf("got %d bytes for the submission, want at least the %d of the job", got, want)
				}
			}
		})
	}
}

// Guards against a snapshot that differs from what earlier versions write and read.
func TestSnapshotFormat(t *testing.T) {
	for _, c := range sizeCases {
		c.jobs = 3
		t.Run(c.name, func(t *testing.T) {
			var table, restored Table
			c.fill(t, &table)
			earlier, err := encMode.Marshal(table.state)
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(earlier); err != nil {
				t.Fatal(err)
			}
			snapshot, err := restored.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if got, want := len(snapshot), len(earlier)+8; got != want { // the number of jobs has a fixed length
				t.Errorf("got %d bytes, want %d", got, want)
			}
			var got, want state
			if err := errors.Join(decMode.Unmarshal(snapshot, &got), decMode.Unmarshal(earlier, &want)); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got the state %+v, want %+v", got, want)
			}
		})
	}
}
