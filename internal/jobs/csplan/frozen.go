package csplan

import (
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// FrozenEstimator is an Estimator that holds what a LearnedEstimator predicted at one time. It is safe for concurrent use.
type FrozenEstimator struct {
	typical map[predictionKey]time.Duration
	queues  map[csjob.QueueKey]csjob.RunTimeGroup
	delays  Delays
}

// Freeze returns an estimator that other goroutines may use while the table goes on learning.
func (l *LearnedEstimator) Freeze() *FrozenEstimator {
	f := &FrozenEstimator{
		typical: make(map[predictionKey]time.Duration, len(l.predictions)), queues: map[csjob.QueueKey]csjob.RunTimeGroup{},
		delays: l.Delays(),
	}
	for k, p := range l.predictions {
		f.typical[k] = p.Typical
		if p.queue != nil && p.runs >= fullTrustRuns {
			f.queues[k.queue] = *p.queue // its regression is a value; the histogram is not read
		}
	}
	return f
}

// Delays implements Estimator.
func (f *FrozenEstimator) Delays() Delays { return f.delays }

// Duration implements Estimator. Steps that were not predicted before are predicted by the regression of their queue, or as declared.
func (f *FrozenEstimator) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	if d, known := f.typical[keyOf(q, &s)]; known {
		return d
	}
	if g, known := f.queues[q]; known {
		return g.Predict(&s)
	}
	if s.Estimate <= 0 {
		return fallbackDuration
	}
	return s.Estimate
}
