// Package csfleet decides about the VMs of a region: which pool each one belongs to, how many may be out of service at
// once, moves between pools and maintenance waves.
//
// Machine is the replicated state. It checks every voluntary step against the availability budgets, so that no race of
// two leaders can exceed them. Planner runs on the leader and decides what to propose.
package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/cstask"
)

var _ csraft.Machine = (*Machine)(nil)

// Options configure a Machine. All replicas of a group must use the same options.
type Options struct {
	// Tasks bounds the task table.
	Tasks cstask.Limits
	// Escrow divides each budget into shares of the availability zones instead of checking it as a whole.
	Escrow bool
}

// Machine is the replicated state of a region's group. Create one with New.
type Machine struct{ tasks *cstask.Table }

// New returns an empty machine.
func New(o Options) *Machine { return &Machine{tasks: cstask.New(o.Tasks)} }

// Apply executes a committed entry and returns the encoded Result.
func (m *Machine) Apply(csraft.Entry) []byte { return nil }

// Do executes a command without an entry, for tests and measurements.
func (m *Machine) Do(c Command, at time.Time) Result { return c.apply(m, at) }

// Snapshot encodes the machine. Equal machines have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the machine with a snapshot.
func (m *Machine) Restore([]byte) error { return nil }

// Tasks returns the task table for reading.
func (m *Machine) Tasks() *cstask.Table { return m.tasks }

// Revision returns the revision of the configuration that the machine follows.
func (m *Machine) Revision() csmodel.Revision { return 0 }

// VM returns a copy of a VM's record.
func (m *Machine) VM(csmodel.VMID) (VM, bool) { return VM{}, false }

// VMs returns copies of all records, ordered by id.
func (m *Machine) VMs() []VM { return nil }

// Pools returns the configured pools, ordered by name.
func (m *Machine) Pools() []csconfig.Pool { return nil }

// Unavailable returns the number of VMs whose home is the pool and which do not serve it or are in an unreachable zone.
func (m *Machine) Unavailable(csmodel.PoolID) int { return 0 }

// Reachable tells whether a zone is recorded as reachable, and the version for ReportZone.
func (m *Machine) Reachable(csmodel.AvailabilityZone) (bool, uint64) { return true, 0 }

// Wave returns the progress record of a wave.
func (m *Machine) Wave(csmodel.WaveID) (Wave, bool) { return Wave{}, false }

// Losses returns the number of unplanned losses of VMs of the given home pools in the ten minutes before now.
func (m *Machine) Losses([]csmodel.PoolID, time.Time) int { return 0 }

// Wave is the replicated progress of a wave. A VM is done in the pass when it was maintained at or after Start.
type Wave struct {
	Name    csmodel.WaveID `cbor:"1,keyasint"`
	Pass    uint64         `cbor:"2,keyasint"`
	Start   time.Time      `cbor:"3,keyasint"`
	Missed  int            `cbor:"4,keyasint,omitempty"`
	Paused  bool           `cbor:"5,keyasint,omitempty"`
	Manual  bool           `cbor:"6,keyasint,omitempty"` // paused by an operator
	Reason  string         `cbor:"7,keyasint,omitempty"`
	Version uint64         `cbor:"8,keyasint"`
}

type commandKind uint8
