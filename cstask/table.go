// Package cstask holds the deferred tasks of a region and decides where they run: a replicated table of tasks and a
// scheduler that reads it on the leader.
//
// Both are deterministic: they get the current time as an argument and read no clock, random source or map order.
package cstask

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Limits bound the table. All replicas of a group must start with the same limits; a snapshot carries them.
type Limits struct {
	// Tasks is the largest number of unfinished tasks.
	Tasks int `cbor:"1,keyasint"`
	// Bytes bounds the payloads, checkpoints and results together.
	Bytes int `cbor:"2,keyasint"`
	// Ended is the largest number of ended records. When it is exceeded, the records with the oldest deadlines are
	// forgotten early, and submissions with deadlines up to theirs are refused as TooOld.
	Ended int `cbor:"3,keyasint"`
	// Retention is how long an ended record is kept after its deadline or its end, whichever is later.
	Retention time.Duration `cbor:"4,keyasint"`
	// Horizon is how far ahead a deadline may lie.
	Horizon time.Duration `cbor:"5,keyasint"`
}

// Table is the replicated table of tasks. Create one with New.
type Table struct{ limits Limits }

// New returns an empty table. Zero fields of the limits get defaults.
func New(l Limits) *Table { return &Table{limits: l} }

// Apply executes a command at the time of its log entry.
func (t *Table) Apply(c Command, at time.Time) Result { return c.apply(t, at) }

// Get returns a copy of the record of a task.
func (t *Table) Get(csmodel.TaskID) (Task, bool) { return Task{}, false }

// Leased returns the tasks that are leased to a VM, ordered by id.
func (t *Table) Leased(csmodel.VMID) []Task { return nil }

// Held returns the number of tasks that are leased to a VM.
func (t *Table) Held(csmodel.VMID) int { return 0 }

// Counts returns the number of tasks in each state.
func (t *Table) Counts() Counts { return Counts{} }

// Release returns the tasks of a VM whose processes are known to have ended to the queue, before their leases expire.
func (t *Table) Release(csmodel.VMID, time.Time) int { return 0 }

// Estimate returns the expected usage of a job's tasks, if at least MinSamples runs have finished.
func (t *Table) Estimate(csmodel.JobID) (Usage, bool) { return Usage{}, false }

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the table with a snapshot.
func (t *Table) Restore([]byte) error { return nil }

// Counts is the number of tasks by state, and the stored payload, checkpoint and result bytes.
type Counts struct{ Waiting, Leased, SetAside, Ended, Bytes int }

type commandKind uint8
