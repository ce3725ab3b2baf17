package csplan

import (
	"maps"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Clone returns a copy that may be used by other goroutines. Its predictions no longer change.
func (l *RunTimeEstimator) Clone() *RunTimeEstimator {
	c := &RunTimeEstimator{regressions: make(map[csjob.QueueKey]*regression, len(l.regressions))}
	maps.Copy(c.regressions, l.regressions)
	for k, r := range c.regressions {
		copied := *r
		c.regressions[k] = &copied
	}
	return c
}
