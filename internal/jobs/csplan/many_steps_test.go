package csplan

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// countingEstimator counts its predictions.
type countingEstimator struct{ calls int }

// Delays implements Estimator.
func (e *countingEstimator) Delays() Delays { return DefaultDelays }

// Duration implements Estimator.
func (e *countingEstimator) Duration(csjob.QueueKey, csjob.Step) time.Duration {
	e.calls++
	return time.Second
}

// Pattern: jobs of thousands of steps that may all run at once. Guards against rounds whose time grows with the square of the number of
// steps, in which the leader answers nobody.
func TestRoundIsLinearInSteps(t *testing.T) {
	const steps = 4900
	s := csjob.Submission{ID: "a"}
	for range steps {
		s.Steps = append(s.Steps, csjob.Step{Tasks: 1})
	}
	s.Steps = append(s.Steps, csjob.Step{Tasks: 1, LongRunning: true})
	now := time.Unix(1_800_000_000, 0)
	var e countingEstimator
	work := Waiting(now, &e, csjob.Queue{Objective: time.Minute}, []*csjob.Job{csjob.NewJob(s, now, 1)})
	if got, want := len(work), steps+1; got != want {
		t.Fatalf("got %d steps, want %d", got, want)
	}
	for i := range work {
		want := feasible
		if work[i].Step.LongRunning {
			want = longRunning
		}
		if got := work[i].urgency.class; got != want {
			t.Errorf("step %d: got class %d, want %d", i, got, want)
		}
	}
	if got, want := e.calls, 2*(steps+1); got > want {
		t.Errorf("got %d predictions, want at most %d", got, want)
	}
}
