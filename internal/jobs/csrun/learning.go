package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// runTimeReportInterval is the interval between log lines about the run times of the queues.
const runTimeReportInterval = 10 * time.Second

// reportRunTimes logs what is expected of the runs of each queue.
func (r *runner) reportRunTimes(now time.Time, t *csjob.Table) {
	if t.Config() == nil || now.Sub(r.runTimesReportedAt) < runTimeReportInterval {
		return
	}
	r.runTimesReportedAt = now
	for i := range t.Config().Queues {
		q := &t.Config().Queues[i]
		if s, known := r.learned.Queue(q.Key); known {
			r.log.Info("run times", zap.String("queue", q.Name), zap.Uint64("runs", s.Runs), zap.Duration("typical", s.Typical.Round(time.Millisecond)),
				zap.Duration("unusual", s.Unusual.Round(time.Millisecond)), zap.Float64("mean", round(s.Expected)))
		}
	}
}

// learnFromEnd sets the run time of an end for the table to learn from, and updates what is known about the target. worked is how long the run
// took on the target, or zero if unknown. prompt is set if the time of the end is exact.
func (r *runner) learnFromEnd(w *target, u *run, e *csjob.End, worked time.Duration, now time.Time, prompt bool) {
	if u.copy {
		r.recordCopyEnd(w, u, e)
	}
	switch e.Outcome {
	case csjob.OutcomeDone:
		w.quarantine.recordEnd(now, false)
		if prompt && worked > 0 {
			e.Ran = worked
			r.recordRunTime(w, u, e.Ran, now)
		}
	case csjob.OutcomeStopped:
		if prompt {
			e.Ran = worked
		}
	case csjob.OutcomeFailed:
		w.quarantine.recordEnd(now, true)
		r.recordFailedRun(w, now)
		if w.quarantine.quarantined(now) {
			r.log.Warn("target quarantined", zap.String("target", string(w.incarnation.Target)), zap.Int("failed_in_a_row", w.quarantine.failuresInRow),
				zap.Duration("for", quarantineDuration))
		}
	case csjob.OutcomeLost, csjob.OutcomeGangMemberEnded, csjob.OutcomeGangTimeout, csjob.OutcomeNotStarted:
	}
}
