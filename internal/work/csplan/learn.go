package csplan

import (
	"time"

	"cowslipstream.example/cowslipstream/internal/work/csjob"
)

// learnRate is the weight of a new run in the mean ratio of actual to declared run time: about 20 runs are remembered.
const learnRate = 0.05

// Learned predicts run times from the declared ones and the ratio that the queue's earlier runs had to theirs. The zero
// value predicts the declared run times.
type Learned struct {
	ratio map[csjob.QueueKey]float64
}

// fallbackDuration is used for steps that declare none.
const fallbackDuration = time.Second

// Duration implements Estimator.
func (l *Learned) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	d := s.Estimate
	if d <= 0 {
		return fallbackDuration
	}
	if r, ok := l.ratio[q]; ok {
		return time.Duration(r * float64(d))
	}
	return d
}

// Observe takes in the duration of a run that ended as done.
func (l *Learned) Observe(q csjob.QueueKey, s csjob.Step, actual time.Duration) {
	if s.Estimate <= 0 || actual <= 0 {
		return
	}
	if l.ratio == nil {
		l.ratio = map[csjob.QueueKey]float64{}
	}
	r := float64(actual) / float64(s.Estimate)
	old, ok := l.ratio[q]
	if !ok {
		old = 1
	}
	l.ratio[q] = old + learnRate*(r-old)
}
