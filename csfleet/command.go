package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Command is a change of the Machine. Only this package implements it.
type Command interface {
	apply(m *Machine, at time.Time) Result
	kind() commandKind
}

// RegisterVM adds a VM that serves its home pool.
type RegisterVM struct {
	VM          csmodel.VMID             `cbor:"1,keyasint"`
	Home        csmodel.PoolID           `cbor:"2,keyasint"`
	Zone        csmodel.AvailabilityZone `cbor:"3,keyasint"`
	Rack        csmodel.Rack             `cbor:"4,keyasint"`
	Incarnation csmodel.Incarnation      `cbor:"5,keyasint"`
	CPU         csmodel.MilliCPU         `cbor:"6,keyasint,omitempty"`
	Memory      csmodel.Bytes            `cbor:"7,keyasint,omitempty"`
}

// Configure sets the pools of the region and the teams' task limits from the active configuration. A revision at or
// below the current one is refused as Stale.
type Configure struct {
	Revision csmodel.Revision   `cbor:"1,keyasint"`
	Pools    []csconfig.Pool    `cbor:"2,keyasint"`
	Teams    []cstask.TeamLimit `cbor:"3,keyasint,omitempty"`
}

// StartMove takes a serving VM out of its pool in order to move it to another one. Fence must equal the VM's fence,
// which the step increments.
type StartMove struct {
	VM    csmodel.VMID   `cbor:"1,keyasint"`
	Fence csmodel.Fence  `cbor:"2,keyasint"`
	To    csmodel.PoolID `cbor:"3,keyasint"`
	// Permanent changes the home pool at admission. Otherwise the VM is lent and counts as unavailable in its home pool
	// until it returns.
	Permanent bool `cbor:"4,keyasint,omitempty"`
}

// Drained records the home node's confirmation that the VM has no attempt, no slot lease and no task. It ends the drain
// of a move or reboot. It is refused as Busy while the task table holds a lease on the VM.
type Drained struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
}

// HandOver changes the pool of a drained VM. The move can no longer be undone.
type HandOver struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
}

// Admit completes a move after the target announced for its new pool.
type Admit struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
	// Incarnation is the one that the target announced with. It may be newer than before, because preparing for a pool
	// may restart the executor.
	Incarnation csmodel.Incarnation `cbor:"3,keyasint,omitempty"`
}

// UndoStep returns a VM to service in its old pool before the handover of a move, or before the end of the drain for a
// reboot. It increments the fence.
type UndoStep struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
}

// StartReboot takes a serving VM out of service for a reboot. Fence must equal the VM's fence, which the step increments.
type StartReboot struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
}

// FinishReboot records that the target announced with a newer incarnation after its reboot.
type FinishReboot struct {
	VM          csmodel.VMID        `cbor:"1,keyasint"`
	Fence       csmodel.Fence       `cbor:"2,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"3,keyasint"`
}

// ReportLost records an unplanned loss. It cancels a move before its handover and a reboot before the end of its drain,
// and increments the fence.
type ReportLost struct {
	VM    csmodel.VMID  `cbor:"1,keyasint"`
	Fence csmodel.Fence `cbor:"2,keyasint"`
}

// ReportReturn records that a lost VM announced again, or that a VM announced with a newer incarnation outside a reboot.
// It increments the fence.
type ReportReturn struct {
	VM          csmodel.VMID        `cbor:"1,keyasint"`
	Fence       csmodel.Fence       `cbor:"2,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"3,keyasint"`
}

// ReportZone records whether an availability zone is reachable from the leader. The VMs of an unreachable zone count as
// unavailable and start no voluntary step. Version must equal the zone's version, which the command increments.
type ReportZone struct {
	Zone      csmodel.AvailabilityZone `cbor:"1,keyasint"`
	Version   uint64                   `cbor:"2,keyasint"`
	Reachable bool                     `cbor:"3,keyasint"`
}

// RemoveVM removes a lost VM. It needs a replacement with the same home pool unless the pool has more home VMs than its
// size or is not configured: otherwise removals would hide losses from the budget.
type RemoveVM struct {
	VM          csmodel.VMID  `cbor:"1,keyasint"`
	Fence       csmodel.Fence `cbor:"2,keyasint"`
	Replacement *RegisterVM   `cbor:"3,keyasint,omitempty"`
}

// StartWave starts a pass of a wave. Pass must be higher than the current pass.
type StartWave struct {
	Wave csmodel.WaveID `cbor:"1,keyasint"`
	Pass uint64         `cbor:"2,keyasint"`
	// Start is the start of the pass's period. VMs that were maintained at or after it are done.
	Start time.Time `cbor:"3,keyasint"`
	// Missed is the number of VMs that the previous pass did not reach.
	Missed int `cbor:"4,keyasint,omitempty"`
}

// PauseWave stops new reboots of a wave.
type PauseWave struct {
	Wave   csmodel.WaveID `cbor:"1,keyasint"`
	Reason string         `cbor:"2,keyasint"`
	// Operator is set for the request of an operator. Only an operator can end such a pause.
	Operator bool `cbor:"3,keyasint,omitempty"`
	// Version must equal the wave's version, except for an operator.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// ResumeWave ends the pause of a wave.
type ResumeWave struct {
	Wave     csmodel.WaveID `cbor:"1,keyasint"`
	Reason   string         `cbor:"2,keyasint"`
	Operator bool           `cbor:"3,keyasint,omitempty"`
	Version  uint64         `cbor:"4,keyasint,omitempty"`
}

// Tasks applies commands to the task table in order. A lease on a VM that is not serving is refused.
type Tasks struct{ Commands []cstask.Command }
