package csrun

import (
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// speedRuns is the number of runs that the averages of a target correspond to.
	speedRuns = 12
	// speedParentRuns is the weight of the average of targets with the same rack and labels, in runs.
	speedParentRuns = 4
	// speedHalfLife is how long it takes until half of what is known about a target is forgotten. A slow target gets few runs that could
	// show that it has recovered.
	speedHalfLife = 10 * time.Second
	// costInterval is the interval between two computations of a target's cost. It takes 0.1 us, which at 3,000 targets and 100 rounds per
	// second would be 3% of a core.
	costInterval = 250 * time.Millisecond
	// fullReturn is the number of runs from which a target that was slow is an ordinary one.
	fullReturn = 32
)

// speed is the expected cost of runs on a target or group of targets, as moving averages. The zero value knows nothing.
type speed struct {
	runs     float64
	slowdown float64 // mean logarithm of the ratio of actual to predicted run times
	failed   float64 // share of the runs that failed
	at       time.Time
}

// forget moves the averages to what they were at the given time without further runs.
func (s *speed) forget(now time.Time) {
	if d := now.Sub(s.at); d > 0 && !s.at.IsZero() {
		s.runs *= math.Exp2(-d.Seconds() / speedHalfLife.Seconds())
	}
	s.at = now
}

// record adds a run. It ignores the ratio of a failed one.
func (s *speed) record(now time.Time, logRatio float64, failed bool) {
	s.forget(now)
	s.runs = min(s.runs+1, speedRuns)
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		s.slowdown += (logRatio - s.slowdown) / s.runs
	}
	s.failed += (outcome - s.failed) / s.runs
}

// shrink returns the averages shrunk towards those of a parent.
func (s speed) shrink(now time.Time, parent speed) speed {
	s.forget(now)
	share := s.runs / (s.runs + speedParentRuns)
	s.slowdown = share*s.slowdown + (1-share)*parent.slowdown
	s.failed = share*s.failed + (1-share)*parent.failed
	return s
}

// cost returns the expected time until a task is done as a multiple of its run time elsewhere: a failed run has to be repeated.
func (s speed) cost() float64 { return math.Exp(s.slowdown) / max(1-s.failed, 0.1) }

// speedGroup is the parent of targets: those of a pool with the same rack and labels.
type speedGroup struct {
	pool         csmodel.PoolID
	rack, labels string
}

// recordRunTime compares the run time of a done run with the predicted one.
func (r *runner) recordRunTime(w *target, u *run, ran time.Duration, now time.Time) {
	if u.longRunning || u.expected <= 0 {
		return
	}
	ratio := ran.Seconds() / u.expected.Seconds()
	r.options.Metrics.runTimeError.Observe(ratio)
	r.recordSpeed(w, now, math.Log(max(ratio, 0.01)), false)
}

// recordFailedRun records a failed run.
func (r *runner) recordFailedRun(w *target, now time.Time) { r.recordSpeed(w, now, 0, true) }

func (r *runner) recordSpeed(w *target, now time.Time, logRatio float64, failed bool) {
	if w.peers == nil {
		w.peers = r.peersOf(&w.record)
	}
	w.peers.record(now, logRatio, failed)
	w.speed.record(now, logRatio, failed)
	if w.returning > 0 && !failed && !csplan.Slow(math.Exp(logRatio-w.peers.slowdown)) {
		if w.returning *= 2; w.returning > fullReturn {
			w.returning = 0
		}
	}
}

// peersOf returns the averages of all targets of a pool with the same rack and labels.
func (r *runner) peersOf(record *csjob.Target) *speed {
	if r.speeds == nil {
		r.speeds = map[speedGroup]*speed{}
	}
	g := speedGroup{record.Pool, record.Rack, strings.Join(record.Labels, " ")}
	if r.speeds[g] == nil {
		r.speeds[g] = &speed{}
	}
	return r.speeds[g]
}

// costOf returns the cost of a target, or zero if it has had no runs.
func (t *target) costOf(now time.Time) float64 {
	switch {
	case t.peers == nil:
		return 0
	case now.Sub(t.costAt) >= costInterval:
		t.cost, t.costAt = t.speed.shrink(now, t.peers.shrink(now, speed{})).cost(), now
	}
	return t.cost
}

// fullReturn reports whether a target that was slow has as many runs as it gets for now.
func (t *target) fullReturn() bool { return t.returning > 0 && len(t.list) >= t.returning }

// markSlow marks the slow targets of a pool. One that is slow no more returns with a single run first.
func (r *runner) markSlow(pool csmodel.PoolID, p *poolPlan) {
	found := csplan.MarkSlow(p.slots)
	before := r.slow[pool]
	if len(found) == 0 && len(before) == 0 {
		return
	}
	var slow []*target
	for _, s := range found {
		w := r.targets[s.Incarnation.Target]
		if !w.slow {
			r.log.Info("slow target", zap.String("target", string(w.incarnation.Target)), zap.String("pool", string(pool)),
				zap.Float64("cost", round(w.cost)), zap.Float64("failed", round(w.speed.failed)))
		}
		w.slow = true
		slow = append(slow, w)
	}
	for _, w := range before {
		switch {
		case slices.Contains(slow, w) || r.currentTarget(w.incarnation) != w:
		case csplan.Slow(w.costOf(r.now())):
			slow = append(slow, w) // it takes no tasks now, or others are slower
		default:
			w.slow, w.returning = false, 1
			r.log.Info("target no longer slow", zap.String("target", string(w.incarnation.Target)), zap.String("pool", string(pool)),
				zap.Float64("cost", round(w.cost)))
		}
	}
	if r.slow == nil {
		r.slow = map[csmodel.PoolID][]*target{}
	}
	r.slow[pool] = slow
	r.options.Metrics.slowTargets.WithLabelValues(string(pool)).Set(float64(len(slow)))
}

// round rounds a number to two places for a log line.
func round(v float64) float64 { return math.Round(100*v) / 100 }
