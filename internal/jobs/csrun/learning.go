package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// learnFromEnd sets the run time of an end for the table to learn from, and updates what is known about the target. prompt is set if the
// time of the end is exact.
func (r *runner) learnFromEnd(w *target, u *run, e *csjob.End, now time.Time, prompt bool) {
	if u.copy {
		r.recordCopyEnd(w, u, e)
	}
	switch e.Outcome {
	case csjob.OutcomeDone:
		w.quarantine.recordEnd(now, false)
		if prompt && now.After(u.since) {
			e.Ran = now.Sub(u.since)
			r.recordRunTime(w, u, e.Ran, now)
		}
	case csjob.OutcomeStopped:
		if prompt && now.After(u.since) {
			e.Ran = now.Sub(u.since)
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
