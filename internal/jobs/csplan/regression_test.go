package csplan

import (
	"math"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// minLearningRate is the weight of a new run in the moving averages once there are many; it corresponds to about 50 runs.
	minLearningRate = 0.02
	// minRunTime is the lower bound of run times, so that their logarithms are finite.
	minRunTime = time.Millisecond
)

// RunTimeEstimator is the estimator that learned run times are compared with: a regression of actual on declared run times of earlier runs of
// the queue.
// Declared run times may be far off: the prediction depends on them only as far as they have correlated with actual ones. The
// zero value predicts the declared run times. A RunTimeEstimator is not safe for concurrent use.
type RunTimeEstimator struct {
	regressions map[csjob.QueueKey]*regression
}

// regression is a linear regression of the logarithm of the actual run time on that of the declared one, with exponentially
// weighted moments.
type regression struct {
	runs         float64
	meanActual   float64 // mean logarithm of run times in seconds
	meanDeclared float64
	variance     float64 // of the logarithms of declared run times
	covariance   float64
	biasFactor   float64 // mean ratio of actual to predicted run time; corrects the bias of exponentiating a mean logarithm
}

// Delays implements Estimator.
func (l *RunTimeEstimator) Delays() Delays { return DefaultDelays }

// Duration implements Estimator. Between no runs and fullTrustRuns it moves from the declared run time to the regression.
func (l *RunTimeEstimator) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	r := l.regressions[q]
	d := s.Estimate
	if d <= 0 {
		d = fallbackDuration
	}
	if r == nil {
		return d
	}
	trust := min(1, r.runs/fullTrustRuns)
	predicted := r.predict(logSeconds(d)) * r.biasFactor
	return time.Duration((trust*predicted + (1-trust)*d.Seconds()) * float64(time.Second))
}

// predict returns the run time in seconds that the regression predicts from the logarithm of the declared one in seconds.
func (r *regression) predict(logDeclared float64) float64 {
	slope := 0.0
	if r.variance > 0 {
		slope = min(1, max(0, r.covariance/r.variance))
	}
	return math.Exp(r.meanActual + slope*(logDeclared-r.meanDeclared))
}

// logSeconds returns the natural logarithm of a duration in seconds, at least that of minRunTime.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// Observe updates the regression of a queue with the actual run time of a done run. It ignores run times that are not positive.
func (l *RunTimeEstimator) Observe(q csjob.QueueKey, s csjob.Step, actual time.Duration) {
	if actual <= 0 {
		return
	}
	d := s.Estimate
	if d <= 0 {
		d = fallbackDuration
	}
	if l.regressions == nil {
		l.regressions = map[csjob.QueueKey]*regression{}
	}
	r := l.regressions[q]
	logActual, logDeclared := logSeconds(actual), logSeconds(d)
	if r == nil {
		l.regressions[q] = &regression{runs: 1, meanActual: logActual, meanDeclared: logDeclared, biasFactor: 1}
		return
	}
	r.runs++
	rate := max(minLearningRate, 1/r.runs)
	actualDeviation, declaredDeviation := logActual-r.meanActual, logDeclared-r.meanDeclared
	r.meanActual += rate * actualDeviation
	r.meanDeclared += rate * declaredDeviation
	r.variance = (1 - rate) * (r.variance + rate*declaredDeviation*declaredDeviation)
	r.covariance = (1 - rate) * (r.covariance + rate*actualDeviation*declaredDeviation)
	r.biasFactor += rate * (actual.Seconds()/r.predict(logDeclared) - r.biasFactor)
}
