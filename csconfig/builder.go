package csconfig

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Builder collects a configuration in the order of the calls.
type Builder struct {
	Configuration
}

// New returns an empty builder.
func New() *Builder { return &Builder{} }

// Pool adds pools.
func (b *Builder) Pool(pools ...Pool) *Builder {
	b.Pools = append(b.Pools, pools...)
	return b
}

// Job adds jobs.
func (b *Builder) Job(jobs ...Job) *Builder {
	b.Jobs = append(b.Jobs, jobs...)
	return b
}

// Team adds teams.
func (b *Builder) Team(teams ...Team) *Builder {
	b.Teams = append(b.Teams, teams...)
	return b
}

// Wave adds maintenance waves.
func (b *Builder) Wave(waves ...Wave) *Builder {
	b.Waves = append(b.Waves, waves...)
	return b
}

// UrgentJob returns an urgent job whose requests need an idempotency key.
func UrgentJob(name csmodel.JobID, pool csmodel.PoolID, timeout time.Duration) Job {
	return Job{Name: name, Pool: pool, Class: Urgent, Timeout: timeout}
}

// DeferredJob returns a deferred job with its declared run time and size.
func DeferredJob(
	name csmodel.JobID, pool csmodel.PoolID, runtime time.Duration, cpu csmodel.MilliCPU, memory csmodel.Bytes,
) Job {
	return Job{Name: name, Pool: pool, Class: Deferred, Runtime: runtime, CPU: cpu, Memory: memory}
}
