package csplan

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// learnRate is the weight of a new run in the averages: about 50 runs are remembered.
	learnRate = 0.02
	// learnLeast is the number of runs after which the averages are trusted in full.
	learnLeast = 30
	// fallbackDuration is used for steps that declare none, before any has ended.
	fallbackDuration = time.Second
	// shortest bounds run times from below, for their logarithms.
	shortest = time.Millisecond
)

// Learned predicts run times from the declared ones and from how earlier runs of the queue compared to theirs. Declared
// run times may be far off: the prediction follows them only as far as they have told something. The zero value predicts
// the declared run times.
type Learned struct {
	queues map[csjob.QueueKey]*history
}

// history is a running regression of the logarithm of the actual run time on that of the declared one.
type history struct {
	runs       float64
	actual     float64 // mean logarithm
	declared   float64
	variance   float64 // of the declared one
	covariance float64
	scale      float64 // mean actual run time over the mean of exp(regression)
}

// Duration implements Estimator.
func (l *Learned) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	h := l.queues[q]
	d := s.Estimate
	if d <= 0 {
		d = fallbackDuration
	}
	if h == nil {
		return d
	}
	trust := min(1, h.runs/learnLeast)
	predicted := h.predict(logSeconds(d)) * h.scale
	return time.Duration((trust*predicted + (1-trust)*d.Seconds()) * float64(time.Second))
}

// predict returns the regression in seconds.
func (h *history) predict(declared float64) float64 {
	slope := 0.0
	if h.variance > 0 {
		slope = min(1, max(0, h.covariance/h.variance))
	}
	return math.Exp(h.actual + slope*(declared-h.declared))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, shortest).Seconds()) }

// Observe takes in the duration of a run that ended as done.
func (l *Learned) Observe(q csjob.QueueKey, s csjob.Step, actual time.Duration) {
	if actual <= 0 {
		return
	}
	d := s.Estimate
	if d <= 0 {
		d = fallbackDuration
	}
	if l.queues == nil {
		l.queues = map[csjob.QueueKey]*history{}
	}
	h := l.queues[q]
	a, b := logSeconds(actual), logSeconds(d)
	if h == nil {
		l.queues[q] = &history{runs: 1, actual: a, declared: b, scale: 1}
		return
	}
	h.runs++
	rate := max(learnRate, 1/h.runs)
	da, db := a-h.actual, b-h.declared
	h.actual += rate * da
	h.declared += rate * db
	h.variance = (1 - rate) * (h.variance + rate*db*db)
	h.covariance = (1 - rate) * (h.covariance + rate*da*db)
	h.scale += rate * (actual.Seconds()/h.predict(b) - h.scale)
}
