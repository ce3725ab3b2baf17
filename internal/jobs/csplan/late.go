package csplan

import (
	"cmp"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// classOf returns the class of a step that is not long-running. latestStart is the latest start that meets the objective, and lastStart
// the latest one that ends before the job has no value left.
//
// A job that has not begun needs minStartSlack before either time: those that go first are the ones that are almost too late, and without
// it they would begin with some of their tasks and end without value.
func classOf(now, latestStart, lastStart time.Time, begun bool) urgencyClass {
	minSlack, minValueSlack := minStartSlack, minStartSlack
	if begun {
		minSlack, minValueSlack = -startedTolerance, 0
	}
	switch {
	case !latestStart.Before(now.Add(minSlack)):
		return feasible
	case lastStart.After(now.Add(minValueSlack)):
		return late
	default:
		return expired
	}
}

// compareBegun orders late and expired jobs: those that have begun go first, the one with the least remaining work first of all. The
// latest start alone would put a job the further back the more of it is done.
func compareBegun(a, b *urgency) int {
	switch {
	case a.class < late || (!a.begun && !b.begun):
		return 0
	case a.begun != b.begun:
		return cmp.Compare(rank(a.begun), rank(b.begun))
	default:
		return cmp.Compare(a.remaining, b.remaining)
	}
}

func rank(begun bool) int {
	if begun {
		return 0
	}
	return 1
}

// OnTimeUntil returns until when the step keeps its place among work that can meet its objective.
func (w *Work) OnTimeUntil() time.Time {
	if w.urgency.begun {
		return w.urgency.latestStart.Add(startedTolerance)
	}
	return w.urgency.latestStart.Add(-minStartSlack)
}

// Prospect tells how long a job that has not begun can wait.
type Prospect struct {
	OnTimeUntil time.Time // until when it goes ahead of late jobs
	LastStart   time.Time // latest start that ends before it has no value left
}

// ProspectOf returns the prospect of a job without due times that is accepted now.
func ProspectOf(now time.Time, e Estimator, q csjob.Queue, s csjob.Submission) Prospect {
	j := &csjob.Job{Submission: s, Accepted: now}
	path := CriticalPath(e, j)
	deadline, expiry := deadlines(&q, j, 0, path)
	return Prospect{OnTimeUntil: deadline.Add(-path - resultDelay - minStartSlack), LastStart: expiry.Add(-path)}
}
