// Package csmodel holds the named ids, units and small generic types that the other packages share.
package csmodel

import (
	"fmt"
	"strconv"
)

// NodeID names an entry node. It is unique in an installation.
type NodeID string

// AvailabilityZone names a failure domain inside a region.
type AvailabilityZone string

// Region names a set of availability zones that share one replicated group.
type Region string

// Rack names a failure domain inside an availability zone.
type Rack string

// VMID names a VM. A VM runs one target.
type VMID string

// PoolID names a pool of VMs.
type PoolID string

// JobID names a job that a pool carries.
type JobID string

// TeamID names a team with a quota.
type TeamID string

// AccountID names a client account.
type AccountID string

// TaskID names one piece of deferred work.
type TaskID string

// WaveID names a maintenance wave.
type WaveID string

// AttemptID names one dispatch of a request to a target.
type AttemptID string

// GroupID names a replicated group.
type GroupID string

// SubmissionID identifies one submission of a configuration across resends.
type SubmissionID string

// Revision numbers the accepted configurations, from 1.
type Revision uint64

// Fence is a fencing token. A higher fence supersedes a lower one.
type Fence uint64

// Incarnation numbers the lives of a process or data folder. A higher incarnation is newer.
type Incarnation uint64

// Term numbers the elections of a replicated group.
type Term uint64

// Index numbers the entries of a replicated log, from 1.
type Index uint64

// MilliCPU is processor capacity in thousandths of a core.
type MilliCPU int64

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Sizes in bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// String returns the amount with the largest binary unit that divides it.
func (b Bytes) String() string {
	switch {
	case b != 0 && b%GiB == 0:
		return strconv.FormatInt(int64(b/GiB), 10) + "GiB"
	case b != 0 && b%MiB == 0:
		return strconv.FormatInt(int64(b/MiB), 10) + "MiB"
	case b != 0 && b%KiB == 0:
		return strconv.FormatInt(int64(b/KiB), 10) + "KiB"
	default:
		return strconv.FormatInt(int64(b), 10) + "B"
	}
}

// String returns the capacity in cores.
func (m MilliCPU) String() string {
	return fmt.Sprintf("%g", float64(m)/1000)
}
