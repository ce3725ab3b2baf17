package csplan

import (
	"cmp"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// compareLate orders jobs of the same class that are late or have no value left, and returns 0 for others. Those that have begun go first,
// the one with the least remaining work first of all: the latest start alone would put a job the further back the more of it is done.
func compareLate(a, b *urgency) int {
	switch {
	case a.class < late:
		return 0
	case a.begun != b.begun:
		return cmp.Compare(rank(a.begun), rank(b.begun))
	case a.begun:
		return cmp.Compare(a.remaining, b.remaining)
	default:
		return 0
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
	path, delays := CriticalPath(e, j), e.Delays()
	deadline, expiry := deadlines(&q, j, 0, path)
	return Prospect{OnTimeUntil: deadline.Add(-path - delays.step() - delays.Reply - minStartSlack), LastStart: expiry.Add(-path)}
}
