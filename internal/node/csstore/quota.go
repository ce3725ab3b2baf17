package csstore

import (
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// exceedsQuota reports whether a submission has a step that the quota of its account can never hold, and logs it. Such a job would wait for
// ever.
func (j *jobCall) exceedsQuota(t *csjob.Table) bool {
	a, ok := t.AccountOf(j.request.Key)
	if !ok {
		return false
	}
	for i, s := range j.request.Job.Steps {
		if !a.CanRun(s) {
			j.store.log.Info("job exceeds the quota of its account", zap.String("job", string(j.id)), zap.String("account", string(a.ID)),
				zap.Int("step", i), zap.Int("tasks", s.Tasks), zap.Bool("gang", s.Gang),
				zap.Int64("cpu", int64(s.Resources.CPU)), zap.Int64("cpu_limit", int64(a.Limit.CPU)),
				zap.Int64("memory", int64(s.Resources.Memory)), zap.Int64("memory_limit", int64(a.Limit.Memory)),
				zap.Int("gpus", s.Resources.GPUs), zap.Int("gpus_limit", a.Limit.GPUs))
			return true
		}
	}
	return false
}
