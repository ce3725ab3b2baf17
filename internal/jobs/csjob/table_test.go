package csjob_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

var (
	startTime = time.Unix(1_800_000_000, 0).UTC()
	queueKey  = csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
)

// harness applies commands to a table, as consecutive entries of a log.
type harness struct {
	t           testing.TB
	table       csjob.Table
	index       csmodel.Index
	term        csmodel.Term
	now         time.Time
	lastCommand csjob.Command
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, now: startTime}
	if got := h.apply(csjob.Command{Config: config(1, "p")}); got != csjob.Accepted {
		t.Fatalf("initial configuration: got verdict %d, want accepted", got)
	}
	return h
}

func config(version int64, pool csmodel.PoolID) *csjob.Config {
	return &csjob.Config{
		Version: version, Pools: []csjob.Pool{{ID: pool}}, Document: fmt.Appendf(nil, "%d %s", version, pool),
		Queues: []csjob.Queue{{Key: queueKey, Name: "q", Pool: pool, Attempts: 2, Timeout: time.Second}},
	}
}

func (h *harness) apply(c csjob.Command) csjob.Verdict {
	b, err := c.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	return csjob.ParseVerdict(h.table.Apply(csraft.Entry{Index: h.index, Term: h.term, At: h.now, Data: b}))
}

func incarnation(n int) csjob.Incarnation {
	return csjob.Incarnation{Target: csjob.TargetID(fmt.Sprint("t", n)), StartedAtMs: 1}
}

func task(id csjob.ID, step, index int) csjob.TaskKey {
	return csjob.TaskKey{Job: id, Step: step, Index: index}
}

func steps(n ...int) []csjob.Step {
	var out []csjob.Step
	for i, tasks := range n {
		s := csjob.Step{Tasks: tasks, Resources: csjob.Resources{CPU: 100}}
		if i > 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}

func (h *harness) submit(id csjob.ID, s ...csjob.Step) csjob.Verdict {
	return h.apply(csjob.Command{Submit: &csjob.Submission{ID: id, Queue: queueKey, Steps: s, Spec: "spec"}})
}

func (h *harness) start(k csjob.TaskKey, attempt csjob.Attempt, l csjob.Incarnation) {
	h.apply(csjob.Command{
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: l, Pool: "p"}}},
		Starts:  []csjob.Start{{Task: k, Attempt: attempt, Incarnation: l}},
	})
}

func (h *harness) end(k csjob.TaskKey, attempt csjob.Attempt, o csjob.Outcome) {
	h.apply(csjob.Command{Ends: []csjob.End{{Task: k, Attempt: attempt, Incarnation: incarnation(1), Outcome: o}}})
}

func (h *harness) wantState(id csjob.ID, want csjob.State) {
	h.t.Helper()
	if got := h.table.Job(id).State; got != want {
		h.t.Errorf("job %s: got state %d, want %d", id, got, want)
	}
}

func TestConfigVersions(t *testing.T) {
	cases := []struct {
		name    string
		config  *csjob.Config
		want    csjob.Verdict
		version int64
	}{
		{"higher version", config(7, "p"), csjob.Accepted, 7},
		{"lower version", config(3, "p"), csjob.StaleVersion, 5},
		{"same again", config(5, "p"), csjob.Accepted, 5},
		{"same version, other content", config(5, "other"), csjob.VersionConflict, 5},
		{"unknown pool", &csjob.Config{Version: 9, Queues: config(9, "p").Queues}, csjob.Refused, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.apply(csjob.Command{Config: config(5, "p")})
			if got := h.apply(csjob.Command{Config: c.config}); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
			if got := h.table.Config().Version; got != c.version {
				t.Errorf("got current version %d, want %d", got, c.version)
			}
		})
	}
}

func TestSubmissionIsIdempotent(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		if got := h.submit("a", steps(2)...); got != csjob.Accepted {
			t.Fatalf("got verdict %d, want accepted", got)
		}
	}
	if got, want := len(h.table.Active()), 1; got != want {
		t.Errorf("got %d jobs, want %d", got, want)
	}
	if got, want := h.table.Pending(queueKey), 1; got != want {
		t.Errorf("got %d pending jobs, want %d", got, want)
	}
}

// Guards against a step that starts before all tasks of the steps it depends on are done.
func TestStepWaitsForItsDependencies(t *testing.T) {
	h := newHarness(t)
	h.submit("a", steps(2, 1)...)
	j := h.table.Job("a")
	for i := range 2 {
		if j.Ready(j.Occurrence(0), 1) {
			t.Fatalf("second step is ready with %d of 2 tasks done", i)
		}
		h.start(task("a", 0, i), 1, incarnation(1))
		h.end(task("a", 0, i), 1, csjob.OutcomeDone)
	}
	if !j.Ready(j.Occurrence(0), 1) {
		t.Fatal("second step is not ready after the first")
	}
	h.start(task("a", 1, 0), 1, incarnation(1))
	h.wantState("a", csjob.Running)
	h.end(task("a", 1, 0), 1, csjob.OutcomeDone)
	h.wantState("a", csjob.Completed)
}

// Only runs that failed count towards the failure of the job.
func TestOnlyFailedRunsFailTheJob(t *testing.T) {
	h := newHarness(t)
	h.submit("a", steps(1)...)
	outcomes := []csjob.Outcome{
		csjob.OutcomeStopped, csjob.OutcomeLost, csjob.OutcomeFailed, csjob.OutcomeNotStarted, csjob.OutcomeGangMemberEnded, csjob.OutcomeFailed,
	}
	for i, o := range outcomes {
		h.wantState("a", max(csjob.Queued, csjob.State(min(i, 1))))
		h.start(task("a", 0, 0), csjob.Attempt(i+1), incarnation(1))
		h.end(task("a", 0, 0), csjob.Attempt(i+1), o)
	}
	h.wantState("a", csjob.Failed)
}

// A long-running task starts again after each end, whether done or failed, and never ends its job.
func TestLongRunningTaskStartsAgain(t *testing.T) {
	h := newHarness(t)
	s := steps(1)
	s[0].LongRunning = true
	h.submit("a", s...)
	for i, o := range []csjob.Outcome{csjob.OutcomeDone, csjob.OutcomeFailed, csjob.OutcomeFailed, csjob.OutcomeFailed} {
		h.start(task("a", 0, 0), csjob.Attempt(i+1), incarnation(1))
		h.end(task("a", 0, 0), csjob.Attempt(i+1), o)
		h.wantState("a", csjob.Running)
		if !h.table.Job("a").Task(task("a", 0, 0)).Idle() {
			t.Errorf("task is not idle after outcome %d", o)
		}
	}
}

// Guards against a second start of a running task, a start with a used attempt number, and a start on an incarnation that is
// not the current one.
func TestInvalidStartsHaveNoEffect(t *testing.T) {
	h := newHarness(t)
	h.submit("a", steps(1)...)
	k := task("a", 0, 0)
	h.start(k, 1, incarnation(1))
	h.start(k, 2, incarnation(2)) // attempt 1 is still open
	h.end(k, 1, csjob.OutcomeStopped)
	h.start(k, 1, incarnation(1)) // attempt 1 has been used
	h.apply(csjob.Command{Starts: []csjob.Start{{Task: k, Attempt: 3, Incarnation: csjob.Incarnation{Target: "t1", StartedAtMs: 99}}}})
	if got, want := h.table.Job("a").OpenRuns, 0; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
}

func TestEndOfIncarnationEndsItsRuns(t *testing.T) {
	h := newHarness(t)
	h.submit("a", steps(3)...)
	for i := range 3 {
		h.start(task("a", 0, i), 1, incarnation(i%2))
	}
	h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(0)}, Ended: true}}})
	if got, want := h.table.Job("a").OpenRuns, 1; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
	if h.table.Busy(incarnation(0)) {
		t.Error("an incarnation that has ended is busy")
	}
}

func TestWaveCompletesWithItsLastVM(t *testing.T) {
	h := newHarness(t)
	h.apply(csjob.Command{Wave: &csjob.Wave{ID: "1", VMs: []csmodel.VMID{"a", "b"}, MaxConcurrent: 1}})
	for i, vm := range []csmodel.VMID{"a", "b"} {
		if h.table.Wave("1").Completed() {
			t.Fatalf("wave is completed after %d of 2 VMs", i)
		}
		h.apply(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1"}}})
		h.apply(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1", Done: true, Refused: true}}})
		if h.table.Wave("1").Completed() {
			t.Fatal("a refused order counts as maintenance")
		}
		h.apply(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1"}}, Wave: nil})
		h.apply(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1", Done: true}}})
	}
	if !h.table.Wave("1").Completed() {
		t.Error("wave is not completed after all VMs")
	}
}

// Guards against the loss of an open order for a VM when the end of an earlier order for it arrives late from a former leader,
// and against a new leader that doesn't know who sent the last order for a VM (rule ONE).
func TestLateEndKeepsLaterOrder(t *testing.T) {
	h := newHarness(t)
	earlier := csjob.VMOrder{VM: "a", Pool: "p", Holder: "n1"}
	later := csjob.VMOrder{VM: "a", Pool: "q", Holder: "n2"}
	end := earlier
	end.Done = true
	h.apply(csjob.Command{VMs: []csjob.VMOrder{earlier}})
	h.apply(csjob.Command{VMs: []csjob.VMOrder{end}})
	h.apply(csjob.Command{VMs: []csjob.VMOrder{later}})
	if got, ok := h.table.LastOrder("a"); !ok || got.Holder != "n2" || !got.At.Equal(h.now.UTC().Truncate(time.Millisecond)) {
		t.Errorf("got last order %+v, want holder n2 at %v", got, h.now)
	}
	h.apply(csjob.Command{VMs: []csjob.VMOrder{end}})
	if got, ok := h.table.VMOrders()["a"]; !ok || got != later {
		t.Errorf("got open order %+v, want %+v", got, later)
	}
	end = later
	end.Done, end.Holder = true, "n1" // the current leader records the end
	h.apply(csjob.Command{VMs: []csjob.VMOrder{end}})
	if got, ok := h.table.VMOrders()["a"]; ok {
		t.Errorf("got open order %+v after its end, want none", got)
	}
}

// A replica that was restored from a snapshot midway must reach the same state as one that applied every command, and the
// stored counts of tasks and runs must match the tasks.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		var restored *csjob.Table
		snapshotAt := rapid.IntRange(1, 60).Draw(r, "cut")
		for i := range 60 {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "ms")) * time.Millisecond)
			h.applyRandom(r)
			if restored != nil {
				h.applyLastTo(restored)
			}
			if i == snapshotAt {
				restored = h.restoredCopy(r)
			}
			h.checkCounts(r)
		}
		if restored == nil {
			return
		}
		want, got := decodedSnapshot(r, &h.table), decodedSnapshot(r, restored)
		if !reflect.DeepEqual(got, want) {
			r.Fatal("a restored replica differs from one that applied all commands")
		}
	})
}

// applyRandom applies one random command and keeps it for applyLastTo.
func (h *harness) applyRandom(r *rapid.T) {
	id := csjob.ID(fmt.Sprint("j", rapid.IntRange(0, 5).Draw(r, "job")))
	k := task(id, rapid.IntRange(0, 1).Draw(r, "step"), rapid.IntRange(0, 2).Draw(r, "index"))
	k.Occurrence = rapid.IntRange(0, 3).Draw(r, "occurrence")
	l := incarnation(rapid.IntRange(0, 3).Draw(r, "target"))
	var attempt csjob.Attempt
	if j := h.table.Job(id); j != nil && j.Task(k) != nil {
		attempt = j.Task(k).Attempts
	}
	c := csjob.Command{}
	switch rapid.IntRange(0, 6).Draw(r, "command") {
	case 0:
		repeats := rapid.IntRange(0, 4).Draw(r, "repeats")
		c.Submit = &csjob.Submission{ID: id, Queue: queueKey, Steps: steps(3, 2), Spec: "spec", Repeats: repeats, Interval: time.Second}
	case 1:
		c.Cancel = &csjob.JobRef{Queue: queueKey, ID: id}
		// A job that is cancelled before its submission never has runs, so most cancellations are of known jobs.
		if h.table.Job(id) == nil && rapid.IntRange(0, 7).Draw(r, "early cancellation") > 0 {
			c.Cancel.ID = "unknown"
		}
	case 2, 3:
		c.Targets = []csjob.TargetEvent{{Target: csjob.Target{Incarnation: l, Pool: "p"}}}
		c.Starts = []csjob.Start{{Task: k, Attempt: attempt + 1, Incarnation: l}}
	case 4, 5:
		c.Ends = []csjob.End{{Task: k, Attempt: attempt, Incarnation: l, Outcome: csjob.Outcome(rapid.IntRange(0, 6).Draw(r, "outcome"))}}
	default:
		c.Targets = []csjob.TargetEvent{{Target: csjob.Target{Incarnation: l}, Ended: true}}
	}
	h.lastCommand = c
	h.apply(c)
}

func (h *harness) applyLastTo(t *csjob.Table) {
	b, err := h.lastCommand.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	t.Apply(csraft.Entry{Index: h.index, Term: h.term, At: h.now, Data: b})
}

func (h *harness) restoredCopy(r *rapid.T) *csjob.Table {
	t := &csjob.Table{}
	if err := t.Restore(snapshot(r, &h.table)); err != nil {
		r.Fatal(err)
	}
	return t
}

func snapshot(r *rapid.T, t *csjob.Table) []byte {
	b, err := t.Snapshot()
	if err != nil {
		r.Fatal(err)
	}
	return b
}

// decodedSnapshot returns the decoded snapshot of a table, which doesn't depend on the encoded order of maps.
func decodedSnapshot(r *rapid.T, t *csjob.Table) any {
	var v any
	if err := cbor.Unmarshal(snapshot(r, t), &v); err != nil {
		r.Fatal(err)
	}
	return v
}

func (h *harness) checkCounts(r *rapid.T) {
	for _, j := range h.table.Active() {
		open := 0
		for _, o := range j.Begun {
			for s, tasks := range o.Tasks {
				remaining := 0
				for i := range tasks {
					open += len(tasks[i].Runs)
					if !tasks[i].Done {
						remaining++
					}
				}
				if remaining != o.Remaining[s] {
					r.Fatalf("step %d of %s: got %d remaining tasks, want %d", s, j.Submission.ID, o.Remaining[s], remaining)
				}
			}
		}
		if open != j.OpenRuns {
			r.Fatalf("%s: got %d open runs, want %d", j.Submission.ID, j.OpenRuns, open)
		}
	}
}

// Guards against a second run of a done task, and against a failure that is counted twice, if a target reports the end of a run
// only after it was given up. Each end counts once, however often it is reported.
func TestLateEndsOfLostRunsCountOnce(t *testing.T) {
	done, failed := csjob.OutcomeDone, csjob.OutcomeFailed
	cases := []struct {
		name     string
		reported []csjob.Outcome // of attempt 1, after its target was given up
		want     csjob.State     // the job fails at two failures
	}{
		{"done", []csjob.Outcome{done}, csjob.Completed},
		{"done, reported again", []csjob.Outcome{done, done}, csjob.Completed},
		{"failed", []csjob.Outcome{failed}, csjob.Running},
		{"failed, reported again", []csjob.Outcome{failed, failed}, csjob.Running},
		{"lapsed", []csjob.Outcome{csjob.OutcomeLost}, csjob.Running},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", steps(1)...)
			k := task("a", 0, 0)
			h.start(k, 1, incarnation(1))
			h.apply(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Incarnation: incarnation(1)}, Ended: true}}})
			for _, o := range c.reported {
				h.end(k, 1, o)
			}
			h.wantState("a", c.want)
			if c.want == csjob.Completed {
				return
			}
			h.start(k, 2, incarnation(2))
			h.end(k, 2, failed)
			want := csjob.Running
			if c.reported[0] == failed {
				want = csjob.Failed
			}
			h.wantState("a", want)
		})
	}
}
