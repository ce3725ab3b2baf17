package csapi

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// WaveState is the state of a maintenance wave.
type WaveState string

// States of waves.
const (
	// Scheduled means that the start is in the future.
	Scheduled WaveState = "scheduled"
	Running   WaveState = "running"
	// Paused means that an operator paused it.
	Paused WaveState = "paused"
	// Halted means that unplanned losses exceed the wave's limit.
	Halted WaveState = "halted"
	// Complete means that every VM of the pass is done.
	Complete WaveState = "complete"
)

// Waves is the response of ReadWaves.
type Waves struct {
	Waves []Wave `json:"waves"`
	Stale bool   `json:"stale,omitempty"`
}

// Wave is the progress of one wave and the response of PauseWave and ResumeWave.
type Wave struct {
	Name  csmodel.WaveID   `json:"name"`
	Pools []csmodel.PoolID `json:"pools"`
	State WaveState        `json:"state"`
	// Pass numbers the repetitions of a periodic wave, from 1.
	Pass  int       `json:"pass"`
	Start time.Time `json:"start,omitzero"`
	// Due is the end of the current period.
	Due   time.Time `json:"due,omitzero"`
	Done  int       `json:"done"`
	Total int       `json:"total"`
	// Active lists the VMs in maintenance now.
	Active []csmodel.VMID `json:"active,omitempty"`
	// Blockers lists what keeps the wave from its next VMs.
	Blockers []Blocker `json:"blockers,omitempty"`
}

// BlockerKind is why a wave cannot continue.
type BlockerKind string

// Kinds of blockers.
const (
	BudgetBlocker    BlockerKind = "budget"
	TaskBlocker      BlockerKind = "task"
	LossBlocker      BlockerKind = "losses"
	PauseBlocker     BlockerKind = "paused"
	QuorumBlocker    BlockerKind = "quorum"
	PlacementBlocker BlockerKind = "placement"
)

// Blocker is one thing that keeps a wave from continuing.
type Blocker struct {
	Kind   BlockerKind    `json:"kind"`
	Pool   csmodel.PoolID `json:"pool,omitempty"`
	VM     csmodel.VMID   `json:"vm,omitempty"`
	Task   csmodel.TaskID `json:"task,omitempty"`
	Reason string         `json:"reason"`
}

// Drain is the body of StartDrain. Exactly one of the fields is set.
type Drain struct {
	VM   csmodel.VMID   `json:"vm,omitempty"`
	Node csmodel.NodeID `json:"node,omitempty"`
}

// Drained is the response of StartDrain. A repeated drain returns the current progress.
type Drained struct {
	Drain
	// Complete means that no attempt, slot lease or task is left.
	Complete bool `json:"complete"`
	// Left is the number of attempts, slot leases and tasks that remain.
	Left int `json:"left"`
}
