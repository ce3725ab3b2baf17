// Package csconfig is the operators' library: typed configuration of pools, jobs, teams and maintenance waves, its
// validation, its YAML form and the delta between two revisions.
package csconfig

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Configuration is what operators submit. Names are unique in each list.
type Configuration struct {
	Pools []Pool `yaml:"pools" cbor:"1,keyasint,omitempty"`
	Jobs  []Job  `yaml:"jobs" cbor:"2,keyasint,omitempty"`
	Teams []Team `yaml:"teams" cbor:"3,keyasint,omitempty"`
	Waves []Wave `yaml:"waves" cbor:"4,keyasint,omitempty"`
}

// Pool is a set of VMs that carries jobs.
type Pool struct {
	Name   csmodel.PoolID `yaml:"name" cbor:"1,keyasint"`
	Region csmodel.Region `yaml:"region" cbor:"2,keyasint"`
	// Size is the number of VMs whose home is this pool.
	Size int `yaml:"size" cbor:"3,keyasint"`
	// Budget is the availability budget: the largest number of home VMs that may be unavailable at once.
	Budget int `yaml:"budget" cbor:"4,keyasint"`
	// Spare marks a pool whose VMs are prepared for the other pools of its region.
	Spare bool `yaml:"spare,omitempty" cbor:"5,keyasint,omitempty"`
	// Zones restricts the availability zones of the pool's VMs. Empty allows all zones of the region.
	Zones []csmodel.AvailabilityZone `yaml:"zones,omitempty" cbor:"6,keyasint,omitempty"`
}

// Class separates urgent requests from deferred tasks.
type Class string

// Classes of jobs.
const (
	Urgent   Class = "urgent"
	Deferred Class = "deferred"
)

// Job is a kind of work that a pool carries.
type Job struct {
	Name  csmodel.JobID  `yaml:"name" cbor:"1,keyasint"`
	Pool  csmodel.PoolID `yaml:"pool" cbor:"2,keyasint"`
	Class Class          `yaml:"class" cbor:"3,keyasint"`
	// Idempotent jobs may be retried and hedged. Requests of other jobs need an idempotency key.
	Idempotent bool `yaml:"idempotent,omitempty" cbor:"4,keyasint,omitempty"`
	// Timeout is the default time to answer of an urgent request.
	Timeout time.Duration `yaml:"timeout,omitempty" cbor:"5,keyasint,omitempty"`
	// Runtime is the declared run time. It may be far from the actual one.
	Runtime time.Duration `yaml:"runtime,omitempty" cbor:"6,keyasint,omitempty"`
	// CPU is the declared processor use of a deferred task, in thousandths of a core.
	CPU csmodel.MilliCPU `yaml:"cpu,omitempty" cbor:"7,keyasint,omitempty"`
	// Memory is the declared memory of a deferred task, in bytes.
	Memory csmodel.Bytes `yaml:"memory,omitempty" cbor:"8,keyasint,omitempty"`
}

// Team is a group of callers with a quota.
type Team struct {
	Name csmodel.TeamID `yaml:"name" cbor:"1,keyasint"`
	// Share is the team's weight in the fair queues, 1 or more.
	Share int `yaml:"share" cbor:"2,keyasint"`
	// Rate limits urgent requests, in requests per second. 0 means no limit.
	Rate float64 `yaml:"rate,omitempty" cbor:"3,keyasint,omitempty"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst int `yaml:"burst,omitempty" cbor:"4,keyasint,omitempty"`
	// Tasks limits the team's unfinished deferred tasks. 0 means no limit.
	Tasks int `yaml:"tasks,omitempty" cbor:"5,keyasint,omitempty"`
}

// Wave is planned maintenance that reboots every VM of its pools once in each period.
type Wave struct {
	Name  csmodel.WaveID   `yaml:"name" cbor:"1,keyasint"`
	Pools []csmodel.PoolID `yaml:"pools" cbor:"2,keyasint"`
	Start time.Time        `yaml:"start" cbor:"3,keyasint"`
	// Period is the time in which each VM is maintained once. 0 means a single pass.
	Period time.Duration `yaml:"period,omitempty" cbor:"4,keyasint,omitempty"`
	// Parallel is the largest number of VMs in maintenance at once, within the pools' budgets.
	Parallel int `yaml:"parallel" cbor:"5,keyasint"`
	// Losses pauses the wave when more VMs than this were lost without a plan in the last 10 minutes.
	Losses int `yaml:"losses" cbor:"6,keyasint"`
}
