package csjob

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Guards against run times that are learned in wrong units: the fixed-point functions must agree with those of package math.
func TestFixedPointLogarithms(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		v := random.Uint64() >> random.IntN(63)
		if v == 0 {
			continue
		}
		if got, want := float64(log2(v))/float64(logOne), math.Log2(float64(v)); math.Abs(got-want) > 2e-6 {
			t.Fatalf("log2(%d): got %f, want %f", v, got, want)
		}
		x := random.Int64N(20*logOne) - 4*logOne
		got, want := float64(exp2(x))/float64(logOne), math.Exp2(float64(x)/float64(logOne))
		if math.Abs(got/want-1) > 4e-4 {
			t.Fatalf("exp2(%f): got %f, want %f", float64(x)/float64(logOne), got, want)
		}
	}
}

// learningTable returns a table with a queue, and a function that applies a command to it.
func learningTable(t *testing.T) (*Table, func(Command)) {
	t.Helper()
	table := &Table{}
	at := time.Unix(1_800_000_000, 0)
	index := csmodel.Index(0)
	apply := func(c Command) {
		t.Helper()
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		index++
		at = at.Add(time.Millisecond)
		if v := ParseVerdict(table.Apply(csraft.Entry{Index: index, Term: 1, At: at, Data: b})); v != Accepted {
			t.Fatalf("got verdict %d, want %d", v, Accepted)
		}
	}
	q := Queue{Key: learningQueue, Name: "q", Pool: "p", Attempts: 2, Timeout: time.Minute}
	apply(Command{Config: &Config{Version: 1, Pools: []Pool{{ID: "p"}}, Queues: []Queue{q}}})
	for _, id := range []TargetID{"a", "b"} {
		apply(Command{Targets: []TargetEvent{{Target: Target{Incarnation: Incarnation{Target: id, StartedAtMs: 1}, Pool: "p"}}}})
	}
	return table, apply
}

var learningQueue = QueueKey{Host: "h", Prefix: "/"}

// runOne submits a job of one task and ends its run after the given time.
func runOne(apply func(Command), n int, s Step, ran time.Duration) {
	s.Tasks = 1
	id := ID(fmt.Sprint(n))
	key, on := TaskKey{Job: id}, Incarnation{Target: "a", StartedAtMs: 1}
	apply(Command{Submit: &Submission{ID: id, Queue: learningQueue, Steps: []Step{s}}})
	apply(Command{Starts: []Start{{Task: key, Attempt: 1, Incarnation: on}}})
	apply(Command{Ends: []End{{Task: key, Attempt: 1, Incarnation: on, Ran: ran}}})
}

func marshal(t *testing.T, r *RunTimes) []byte {
	t.Helper()
	b, err := r.MarshalCBOR()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Pattern: a store restores a snapshot and applies the same ends as the others. Guards against replicas that learn different run times, by
// the order of a map, by the state of the histogram library, or by more groups than are kept.
func TestReplicasLearnTheSame(t *testing.T) {
	table, apply := learningTable(t)
	random := rand.New(rand.NewPCG(2, 1))
	randomStep := func() Step {
		return Step{Image: fmt.Sprint(random.IntN(300)), Estimate: time.Duration(1+random.IntN(8000)) * time.Millisecond}
	}
	randomTime := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Second)) }
	for n := range 2000 {
		runOne(apply, n, randomStep(), randomTime())
	}
	if got := table.RunTimes().Len(); got != maxRunTimeGroups {
		t.Errorf("got %d groups, want %d", got, maxRunTimeGroups)
	}
	var restored RunTimes
	if err := restored.UnmarshalCBOR(marshal(t, table.RunTimes())); err != nil {
		t.Fatal(err)
	}
	for n := range 2000 {
		s, ran := randomStep(), randomTime()
		runOne(apply, 2000+n, s, ran)
		if ran > 0 {
			restored.Observe(learningQueue, &s, ran, false)
		}
	}
	if !bytes.Equal(marshal(t, &restored), marshal(t, table.RunTimes())) {
		t.Error("got other bytes from the replica that was restored, want the same")
	}
	if got := len(marshal(t, &restored)); got > 200<<10 {
		t.Errorf("got %d bytes in the snapshot, want at most 200 KiB", got)
	}
}

// Guards against a store that can't start after an upgrade: snapshots and log entries of earlier versions have no run times, and such
// ends teach nothing. A snapshot of this version must hold what was learned.
func TestRunTimesOfEarlierVersions(t *testing.T) {
	table, apply := learningTable(t)
	runOne(apply, 1, Step{}, 0)
	if got := table.RunTimes().Len(); got != 0 {
		t.Errorf("got %d groups learned from an end without a run time, want none", got)
	}
	for n, want := range []int{0, int(groupLevels)} {
		b, err := table.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := &Table{}
		if err := restored.Restore(b); err != nil {
			t.Fatal(err)
		}
		if got := restored.RunTimes().Len(); got != want {
			t.Errorf("got %d groups after a restore, want %d", got, want)
		}
		runOne(apply, 2+n, Step{}, time.Second)
	}
	e := End{Task: TaskKey{Job: "j"}, Attempt: 1, Outcome: OutcomeDone}
	old, err := encMode.Marshal(struct {
		Task        TaskKey     `cbor:"1,keyasint"`
		Attempt     Attempt     `cbor:"2,keyasint"`
		Incarnation Incarnation `cbor:"3,keyasint"`
		Outcome     Outcome     `cbor:"4,keyasint"`
	}{e.Task, e.Attempt, e.Incarnation, e.Outcome})
	if err != nil {
		t.Fatal(err)
	}
	var got End
	if err := decMode.Unmarshal(old, &got); err != nil || got != e {
		t.Errorf("got %+v (%v), want %+v", got, err, e)
	}
}

// Guards against what is learned from damaged snapshots, which must be refused rather than end the process.
func TestDamagedRunTimesAreRefused(t *testing.T) {
	b, err := encMode.Marshal([]savedGroup{{Positions: []int{1 << 20}, Counts: []int64{1}}})
	if err != nil {
		t.Fatal(err)
	}
	var r RunTimes
	if err := r.UnmarshalCBOR(b); err == nil {
		t.Error("got no error for a position outside of the histogram, want one")
	}
}

// BenchmarkLearn measures what an end costs the table beyond its other work.
func BenchmarkLearn(b *testing.B) {
	for _, images := range []int{20, 2000} {
		b.Run(fmt.Sprintf("images=%d", images), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			steps := make([]Step, images)
			for i := range steps {
				steps[i] = Step{Image: fmt.Sprint(i), Estimate: time.Duration(1+random.IntN(4000)) * time.Millisecond}
			}
			var r RunTimes
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r.Observe(learningQueue, &steps[n%images], time.Duration(1+n%977)*time.Millisecond, false)
			}
		})
	}
}
