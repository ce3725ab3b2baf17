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
	start = time.Unix(1_800_000_000, 0).UTC()
	key   = csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
)

// history applies commands to a table.
type history struct {
	t     testing.TB
	table csjob.Table
	index csmodel.Index
	term  csmodel.Term
	now   time.Time
	last  csjob.Command
}

func newHistory(t testing.TB) *history {
	h := &history{t: t, now: start}
	if got := h.do(csjob.Command{Config: config(1, "p")}); got != csjob.Accepted {
		t.Fatalf("configuration: got verdict %d, want accepted", got)
	}
	return h
}

func config(version int64, pool csmodel.PoolID) *csjob.Config {
	return &csjob.Config{
		Version: version, Pools: []csjob.Pool{{ID: pool}}, Document: fmt.Appendf(nil, "%d %s", version, pool),
		Queues: []csjob.Queue{{Key: key, Name: "q", Pool: pool, Attempts: 2, Timeout: time.Second}},
	}
}

func (h *history) do(c csjob.Command) csjob.Verdict {
	b, err := c.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	return csjob.ParseVerdict(h.table.Apply(csraft.Entry{Index: h.index, Term: h.term, At: h.now, Data: b}))
}

func life(n int) csjob.Life {
	return csjob.Life{Target: csjob.TargetID(fmt.Sprint("t", n)), Born: 1}
}

func task(id csjob.ID, step, index int) csjob.TaskKey {
	return csjob.TaskKey{Job: id, Step: step, Index: index}
}

func steps(n ...int) []csjob.Step {
	var out []csjob.Step
	for i, tasks := range n {
		s := csjob.Step{Tasks: tasks, Room: csjob.Room{CPU: 100}}
		if i > 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}

func (h *history) submit(id csjob.ID, s ...csjob.Step) csjob.Verdict {
	return h.do(csjob.Command{Submit: &csjob.Submission{ID: id, Queue: key, Steps: s, Spec: "spec"}})
}

func (h *history) start(k csjob.TaskKey, attempt csjob.Attempt, l csjob.Life) {
	h.do(csjob.Command{
		Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: l, Pool: "p"}}},
		Starts:  []csjob.Start{{Task: k, Attempt: attempt, Life: l}},
	})
}

func (h *history) end(k csjob.TaskKey, attempt csjob.Attempt, o csjob.Outcome) {
	h.do(csjob.Command{Ends: []csjob.End{{Task: k, Attempt: attempt, Life: life(1), Outcome: o}}})
}

func (h *history) wantState(id csjob.ID, want csjob.State) {
	h.t.Helper()
	if got := h.table.Job(id).State; got != want {
		h.t.Errorf("job %s: got state %d, want %d", id, got, want)
	}
}

func TestConfigurations(t *testing.T) {
	cases := []struct {
		name    string
		config  *csjob.Config
		want    csjob.Verdict
		version int64
	}{
		{"higher version", config(7, "p"), csjob.Accepted, 7},
		{"older version", config(3, "p"), csjob.Stale, 5},
		{"same again", config(5, "p"), csjob.Accepted, 5},
		{"same version, other content", config(5, "other"), csjob.Conflict, 5},
		{"unknown pool", &csjob.Config{Version: 9, Queues: config(9, "p").Queues}, csjob.Refused, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(t)
			h.do(csjob.Command{Config: config(5, "p")})
			if got := h.do(csjob.Command{Config: c.config}); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
			if got := h.table.Config().Version; got != c.version {
				t.Errorf("got version %d in force, want %d", got, c.version)
			}
		})
	}
}

func TestSubmissionIsIdempotent(t *testing.T) {
	h := newHistory(t)
	for range 3 {
		if got := h.submit("a", steps(2)...); got != csjob.Accepted {
			t.Fatalf("got verdict %d, want accepted", got)
		}
	}
	if got, want := len(h.table.Active()), 1; got != want {
		t.Errorf("got %d jobs, want %d", got, want)
	}
	if got, want := h.table.Pending(key), 1; got != want {
		t.Errorf("got %d pending jobs, want %d", got, want)
	}
}

func TestStepsFollowEachOther(t *testing.T) {
	h := newHistory(t)
	h.submit("a", steps(2, 1)...)
	j := h.table.Job("a")
	for i := range 2 {
		if j.Ready(0, 1) {
			t.Fatalf("second step is ready with %d of 2 tasks done", i)
		}
		h.start(task("a", 0, i), 1, life(1))
		h.end(task("a", 0, i), 1, csjob.OutcomeDone)
	}
	if !j.Ready(0, 1) {
		t.Fatal("second step is not ready after the first")
	}
	h.start(task("a", 1, 0), 1, life(1))
	h.wantState("a", csjob.Running)
	h.end(task("a", 1, 0), 1, csjob.OutcomeDone)
	h.wantState("a", csjob.Completed)
}

func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	h := newHistory(t)
	h.submit("a", steps(1)...)
	outcomes := []csjob.Outcome{
		csjob.OutcomeStopped, csjob.OutcomeLapsed, csjob.OutcomeFailed, csjob.OutcomeUnrun, csjob.OutcomeBroken, csjob.OutcomeFailed,
	}
	for i, o := range outcomes {
		h.wantState("a", max(csjob.Queued, csjob.State(min(i, 1))))
		h.start(task("a", 0, 0), csjob.Attempt(i+1), life(1))
		h.end(task("a", 0, 0), csjob.Attempt(i+1), o)
	}
	h.wantState("a", csjob.Failed)
}

func TestTasksThatLastStartAgain(t *testing.T) {
	h := newHistory(t)
	s := steps(1)
	s[0].Lasting = true
	h.submit("a", s...)
	for i, o := range []csjob.Outcome{csjob.OutcomeDone, csjob.OutcomeFailed, csjob.OutcomeFailed, csjob.OutcomeFailed} {
		h.start(task("a", 0, 0), csjob.Attempt(i+1), life(1))
		h.end(task("a", 0, 0), csjob.Attempt(i+1), o)
		h.wantState("a", csjob.Running)
		if !h.table.Job("a").Task(task("a", 0, 0)).Idle() {
			t.Errorf("task is not idle after outcome %d", o)
		}
	}
}

// A start that was decided twice, or on a life that is over, must not take effect.
func TestStartsAreGuarded(t *testing.T) {
	h := newHistory(t)
	h.submit("a", steps(1)...)
	k := task("a", 0, 0)
	h.start(k, 1, life(1))
	h.start(k, 2, life(2)) // the first run is open
	h.end(k, 1, csjob.OutcomeStopped)
	h.start(k, 1, life(1)) // the attempt was used
	h.do(csjob.Command{Starts: []csjob.Start{{Task: k, Attempt: 3, Life: csjob.Life{Target: "t1", Born: 99}}}})
	if got, want := h.table.Job("a").Open, 0; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
}

func TestEndOfALifeEndsItsRuns(t *testing.T) {
	h := newHistory(t)
	h.submit("a", steps(3)...)
	for i := range 3 {
		h.start(task("a", 0, i), 1, life(i%2))
	}
	h.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life(0)}, Gone: true}}})
	if got, want := h.table.Job("a").Open, 1; got != want {
		t.Errorf("got %d open runs, want %d", got, want)
	}
	if h.table.Busy(life(0)) {
		t.Error("a life that is over is busy")
	}
}

func TestWaveCompletesWithItsLastVM(t *testing.T) {
	h := newHistory(t)
	h.do(csjob.Command{Wave: &csjob.Wave{ID: "1", VMs: []csmodel.VMID{"a", "b"}, AtOnce: 1}})
	for i, vm := range []csmodel.VMID{"a", "b"} {
		if h.table.Wave("1").Completed() {
			t.Fatalf("completed after %d of 2 VMs", i)
		}
		h.do(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1"}}})
		h.do(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1", Done: true, Refused: true}}})
		if h.table.Wave("1").Completed() {
			t.Fatal("a refused order counts as maintenance")
		}
		h.do(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1"}}, Wave: nil})
		h.do(csjob.Command{VMs: []csjob.VMOrder{{VM: vm, Wave: "1", Done: true}}})
	}
	if !h.table.Wave("1").Completed() {
		t.Error("not completed after all VMs")
	}
}

// Guards against an order for a VM that is forgotten because the end of an earlier order for it arrives late, from a store
// that led before, and against a new leader that doesn't know who ordered a VM last (rule ONE).
func TestLateEndSparesALaterOrder(t *testing.T) {
	h := newHistory(t)
	earlier := csjob.VMOrder{VM: "a", Pool: "p", Holder: "n1"}
	later := csjob.VMOrder{VM: "a", Pool: "q", Holder: "n2"}
	end := earlier
	end.Done = true
	h.do(csjob.Command{VMs: []csjob.VMOrder{earlier}})
	h.do(csjob.Command{VMs: []csjob.VMOrder{end}})
	h.do(csjob.Command{VMs: []csjob.VMOrder{later}})
	if got, ok := h.table.LastOrder("a"); !ok || got.Holder != "n2" || !got.At.Equal(h.now.UTC().Truncate(time.Millisecond)) {
		t.Errorf("got last order %+v, want one of n2 at %v", got, h.now)
	}
	h.do(csjob.Command{VMs: []csjob.VMOrder{end}})
	if got, ok := h.table.VMOrders()["a"]; !ok || got != later {
		t.Errorf("got open order %+v, want %+v", got, later)
	}
	end = later
	end.Done, end.Holder = true, "n1" // recorded by whoever leads
	h.do(csjob.Command{VMs: []csjob.VMOrder{end}})
	if got, ok := h.table.VMOrders()["a"]; ok {
		t.Errorf("got open order %+v after its end, want none", got)
	}
}

// A replica that was restored from a snapshot in the middle ends in the same state as one that applied every command, and
// the counts that the table keeps agree with its runs.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHistory(t)
		var restored *csjob.Table
		cut := rapid.IntRange(1, 60).Draw(r, "cut")
		for i := range 60 {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "ms")) * time.Millisecond)
			h.random(r)
			if restored != nil {
				h.copyTo(restored)
			}
			if i == cut {
				restored = h.restore(r)
			}
			h.checkCounts(r)
		}
		if restored == nil {
			return
		}
		want, got := decoded(r, &h.table), decoded(r, restored)
		if !reflect.DeepEqual(got, want) {
			r.Fatal("a restored replica differs from one that applied all commands")
		}
	})
}

// random applies one random command and remembers it for copyTo.
func (h *history) random(r *rapid.T) {
	id := csjob.ID(fmt.Sprint("j", rapid.IntRange(0, 5).Draw(r, "job")))
	k := task(id, rapid.IntRange(0, 1).Draw(r, "step"), rapid.IntRange(0, 2).Draw(r, "index"))
	l := life(rapid.IntRange(0, 3).Draw(r, "target"))
	var attempt csjob.Attempt
	if j := h.table.Job(id); j != nil && j.Tasks != nil && j.Task(k) != nil {
		attempt = j.Task(k).Attempts
	}
	c := csjob.Command{}
	switch rapid.IntRange(0, 6).Draw(r, "command") {
	case 0:
		c.Submit = &csjob.Submission{ID: id, Queue: key, Steps: steps(3, 2), Spec: "spec"}
	case 1:
		c.Cancel = &csjob.Ref{Queue: key, ID: id}
	case 2, 3:
		c.Targets = []csjob.TargetEvent{{Target: csjob.Target{Life: l, Pool: "p"}}}
		c.Starts = []csjob.Start{{Task: k, Attempt: attempt + 1, Life: l}}
	case 4, 5:
		c.Ends = []csjob.End{{Task: k, Attempt: attempt, Life: l, Outcome: csjob.Outcome(rapid.IntRange(0, 6).Draw(r, "outcome"))}}
	default:
		c.Targets = []csjob.TargetEvent{{Target: csjob.Target{Life: l}, Gone: true}}
	}
	h.last = c
	h.do(c)
}

func (h *history) copyTo(t *csjob.Table) {
	b, err := h.last.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	t.Apply(csraft.Entry{Index: h.index, Term: h.term, At: h.now, Data: b})
}

func (h *history) restore(r *rapid.T) *csjob.Table {
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

// decoded returns a snapshot without the order of its maps.
func decoded(r *rapid.T, t *csjob.Table) any {
	var v any
	if err := cbor.Unmarshal(snapshot(r, t), &v); err != nil {
		r.Fatal(err)
	}
	return v
}

func (h *history) checkCounts(r *rapid.T) {
	for _, j := range h.table.Active() {
		open := 0
		for o, all := range j.Tasks {
			for s, tasks := range all {
				left := 0
				for i := range tasks {
					open += len(tasks[i].Runs)
					if !tasks[i].Done {
						left++
					}
				}
				if left != j.Left[o][s] {
					r.Fatalf("step %d of %s: got %d tasks left, want %d", s, j.Submission.ID, j.Left[o][s], left)
				}
			}
		}
		if open != j.Open {
			r.Fatalf("%s: got %d open runs, want %d", j.Submission.ID, j.Open, open)
		}
	}
}

// Guards against a second run, or one failure too many, of a task whose end is told only after its target was given up. Each
// end counts once, however often it is told.
func TestEndsOfRunsThatWereGivenUpCountOnce(t *testing.T) {
	done, failed := csjob.OutcomeDone, csjob.OutcomeFailed
	cases := []struct {
		name string
		told []csjob.Outcome // of attempt 1, after its target was given up
		want csjob.State     // the queue allows two attempts
	}{
		{"done", []csjob.Outcome{done}, csjob.Completed},
		{"done, told again", []csjob.Outcome{done, done}, csjob.Completed},
		{"failed", []csjob.Outcome{failed}, csjob.Running},
		{"failed, told again", []csjob.Outcome{failed, failed}, csjob.Running},
		{"lapsed", []csjob.Outcome{csjob.OutcomeLapsed}, csjob.Running},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory(t)
			h.submit("a", steps(1)...)
			k := task("a", 0, 0)
			h.start(k, 1, life(1))
			h.do(csjob.Command{Targets: []csjob.TargetEvent{{Target: csjob.Target{Life: life(1)}, Gone: true}}})
			for _, o := range c.told {
				h.end(k, 1, o)
			}
			h.wantState("a", c.want)
			if c.want == csjob.Completed {
				return
			}
			h.start(k, 2, life(2))
			h.end(k, 2, failed)
			want := csjob.Running
			if c.told[0] == failed {
				want = csjob.Failed
			}
			h.wantState("a", want)
		})
	}
}
