package csplan

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// fullTrustRuns is the number of runs of a queue from which the declared run times alone tell nothing more.
	fullTrustRuns = 30
	// fallbackDuration is the declared run time assumed for steps that declare none.
	fallbackDuration = csjob.FallbackEstimate
	// maxPredictions bounds the predictions that are kept.
	maxPredictions = 4096
	// refreshShare is the share of the runs of a queue that have to end before its predictions are made again, and maxStaleRuns the number
	// that is enough in any case. Making one takes half a microsecond, and some more for the first of a group of steps.
	refreshShare = 16
	maxStaleRuns = 16
	// maxStaleSpread is the same for the spread of a group, which takes 10 us to make and changes less than the regression.
	maxStaleSpread = 64
)

// LearnedEstimator is an Estimator that reads the distributions that the table has learned from finished runs. The zero value predicts
// the declared run times. A LearnedEstimator is not safe for concurrent use.
type LearnedEstimator struct {
	runTimes    *csjob.RunTimes
	predictions map[predictionKey]*cachedPrediction
	spreads     map[csjob.RunTimeKey]*cachedSpread
	delays      Delays // zero if none are measured
}

// predictionKey is what a prediction depends on.
type predictionKey struct {
	queue    csjob.QueueKey
	image    string
	declared time.Duration
	cpu      csmodel.MilliCPU
	gpus     int
}

func keyOf(q csjob.QueueKey, s *csjob.Step) predictionKey {
	return predictionKey{q, s.Image, s.Estimate, s.Resources.CPU, s.Resources.GPUs}
}

// version tells how much a queue had learned when something was derived from it.
type version struct {
	queue   *csjob.RunTimeGroup // nil if no run of the queue was known
	runs    uint64
	created uint64 // RunTimes.Created
}

type cachedPrediction struct {
	Prediction
	version
}

// cachedSpread is the spread of a group of steps, which the predictions for its steps share.
type cachedSpread struct {
	spread *spread
	version
}

// Use sets the run times to read. It has to be called before the table may have changed otherwise than by commands.
func (l *LearnedEstimator) Use(r *csjob.RunTimes) {
	if r != l.runTimes {
		l.runTimes = r
		clear(l.predictions)
		clear(l.spreads)
	}
}

// SetDelays sets what Delays returns from now on; zero is DefaultDelays.
func (l *LearnedEstimator) SetDelays(d Delays) { l.delays = d }

// Delays implements Estimator.
func (l *LearnedEstimator) Delays() Delays {
	if l.delays == (Delays{}) {
		return DefaultDelays
	}
	return l.delays
}

// Duration implements Estimator. It returns the mean of ordinary runs.
func (l *LearnedEstimator) Duration(q csjob.QueueKey, s csjob.Step) time.Duration {
	return l.predict(q, &s).Typical
}

// Predict implements Predictor. The caller must not modify the prediction, which stays as it is.
func (l *LearnedEstimator) Predict(q csjob.QueueKey, s *csjob.Step) *Prediction {
	return &l.predict(q, s).Prediction
}

func (l *LearnedEstimator) predict(q csjob.QueueKey, s *csjob.Step) *cachedPrediction {
	k := keyOf(q, s)
	p := l.predictions[k]
	if p != nil && p.fresh(l.runTimes, maxStaleRuns) {
		return p
	}
	switch {
	case l.predictions == nil:
		l.predictions, l.spreads = map[predictionKey]*cachedPrediction{}, map[csjob.RunTimeKey]*cachedSpread{}
	case len(l.predictions) >= maxPredictions:
		clear(l.predictions)
		clear(l.spreads)
	}
	p = l.compute(q, s)
	l.predictions[k] = p
	return p
}

// fresh reports whether few runs have ended since the version.
func (v *version) fresh(r *csjob.RunTimes, maxStale uint64) bool {
	if v.queue == nil {
		return v.created == r.Created()
	}
	return !v.queue.Dropped() && v.queue.Runs()-v.runs <= min(v.runs/refreshShare, maxStale)
}

// compute makes a prediction. Between no runs and fullTrustRuns of the queue it moves from the declared run time to the learned one.
func (l *LearnedEstimator) compute(q csjob.QueueKey, s *csjob.Step) *cachedPrediction {
	d := s.Estimate
	if d <= 0 {
		d = fallbackDuration
	}
	p := &cachedPrediction{Prediction: Prediction{Typical: d, Mean: d}, version: version{created: l.runTimes.Created()}}
	keys := csjob.RunTimeKeys(q, s)
	if p.queue = l.runTimes.Group(keys[csjob.QueueGroup]); p.queue == nil {
		return p
	}
	p.runs = p.queue.Runs()
	spread := l.spreadOf(keys[:], p.version)
	if spread == nil {
		return p
	}
	p.center = p.queue.Predict(s)
	trust := min(1, float64(p.runs)/fullTrustRuns)
	p.Typical = scale(p.center, trust*spread.middle) + scale(d, 1-trust)
	p.Mean = scale(p.center, trust*spread.mean) + scale(d, 1-trust)
	if trust == 1 {
		p.spread = spread // before, too few runs are known to say what is unusual
	}
	return p
}

// spreadOf returns the spread of the groups of a step by level, or nil if no run of them is known.
func (l *LearnedEstimator) spreadOf(keys []csjob.RunTimeKey, v version) *spread {
	if c := l.spreads[keys[0]]; c != nil && c.fresh(l.runTimes, maxStaleSpread) {
		return c.spread
	}
	groups := make([]*csjob.RunTimeGroup, len(keys))
	for i, k := range keys {
		groups[i] = l.runTimes.Group(k)
	}
	c := &cachedSpread{newSpread(groups), v}
	l.spreads[keys[0]] = c
	return c.spread
}

// QueueRunTimes summarizes what is known about the run times of a queue.
type QueueRunTimes struct {
	Runs     uint64        // finished runs that were learned from
	Typical  time.Duration // mean of ordinary runs of a step of average declared run time
	Unusual  time.Duration // run time of such a step from which a run is unusually long
	Expected float64       // mean of all runs as a multiple of Typical
}

// Queue returns a summary of the run times of a queue, and false if none are known.
func (l *LearnedEstimator) Queue(q csjob.QueueKey) (QueueRunTimes, bool) {
	g := l.runTimes.Group(csjob.RunTimeKey{Level: csjob.QueueGroup, Queue: q})
	if g == nil || g.Weight() == 0 || g.Typical() == 0 {
		return QueueRunTimes{}, false
	}
	d := newSpread([]*csjob.RunTimeGroup{g})
	return QueueRunTimes{g.Runs(), scale(g.Typical(), d.middle), scale(g.Typical(), d.quantile(UnusualQuantile)), d.mean / d.middle}, true
}
