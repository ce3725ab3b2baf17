package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Observation is what a home node last reported about a VM.
type Observation struct {
	VM            csmodel.VMID
	Incarnation   csmodel.Incarnation
	LastAnnounced time.Time
	// Zone, Rack, Pool, CPU and Memory are what the target announced. Pool is the pool it is prepared for.
	Zone   csmodel.AvailabilityZone
	Rack   csmodel.Rack
	Pool   csmodel.PoolID
	CPU    csmodel.MilliCPU
	Memory csmodel.Bytes
	// Fence is the fence of the instruction that the home node follows for this VM.
	Fence csmodel.Fence
	// Drained confirms that under Fence the VM has no attempt, no slot lease and no task.
	Drained  bool
	Attempts int
}

// ZoneReachability is the current reachability of an availability zone from the leader.
type ZoneReachability struct {
	Name      csmodel.AvailabilityZone
	Reachable bool
}

// Observations are the inputs of Plan that are not replicated.
type Observations struct {
	VMs   []Observation
	Zones []ZoneReachability
	// Replaced lists lost VMs that the platform has replaced. The planner removes them.
	Replaced []Replacement
}

// Replacement names a VM that no longer exists and the one that replaces it.
type Replacement struct {
	Old csmodel.VMID
	New csmodel.VMID
}

// WantedMoves is a number of VMs that the capacity policy wants to move from one pool to another. Moves between the two
// pools that are already under way count towards it.
type WantedMoves struct {
	From, To csmodel.PoolID
	Count    int
	// Permanent changes the home pool of the VMs.
	Permanent bool
}

// Instruction tells a home node what to do with a VM. Only this package implements it. Instructions are repeated on
// each tick until the observations confirm them, so they are idempotent; a home node ignores one with a fence lower
// than it has seen.
type Instruction interface{ instruction() }

// Drain asks the home node to send no new work to the VM, to have its tasks checkpointed and to report when it is
// drained.
type Drain struct {
	VM    csmodel.VMID
	Fence csmodel.Fence
}

// Prepare asks the target to prepare for a pool and to announce for it.
type Prepare struct {
	VM    csmodel.VMID
	Fence csmodel.Fence
	Pool  csmodel.PoolID
}

// Reboot asks the platform to reboot the VM.
type Reboot struct {
	VM          csmodel.VMID
	Fence       csmodel.Fence
	Incarnation csmodel.Incarnation // of the target before the reboot
}

// Serve asks the home node to send work of the pool to the VM.
type Serve struct {
	VM    csmodel.VMID
	Fence csmodel.Fence
	Pool  csmodel.PoolID
}

func (Drain) instruction()   {}
func (Prepare) instruction() {}
func (Reboot) instruction()  {}
func (Serve) instruction()   {}

// Plan is the output of Planner.Plan.
type Plan struct {
	Commands     []Command
	Instructions []Instruction
	Waves        []WaveProgress
}

// BlockReason is the reason why a wave does not reboot a VM now.
type BlockReason string

// Reasons why a wave does not reboot a VM.
const (
	BlockPaused   BlockReason = "paused"   // the wave is paused
	BlockBudget   BlockReason = "budget"   // the availability budget is used up
	BlockParallel BlockReason = "parallel" // as many VMs as the wave allows are in maintenance
	BlockRack     BlockReason = "rack"     // another rack or zone of the pool is in maintenance
	BlockTasks    BlockReason = "tasks"    // deferred tasks cannot be interrupted yet
	BlockZone     BlockReason = "zone"     // the availability zone is unreachable
	BlockState    BlockReason = "state"    // lost, or in another step
	BlockLent     BlockReason = "lent"     // lent to another pool
	BlockDrain    BlockReason = "drain"    // the last drain took too long
)

// Blocker is a reason why VMs wait, with their number and the first of them.
type Blocker struct {
	Block BlockReason
	Count int
	First csmodel.VMID
}

// WaveProgress is the progress of a wave for reports.
type WaveProgress struct {
	Wave
	// Total, Done and Active count the VMs of the wave, those maintained in this pass and those in maintenance.
	Total, Done, Active int
	// End is the end of the pass's period. It is zero for a single pass.
	End      time.Time
	Blockers []Blocker
}

// ActiveConfiguration is the active configuration of a node.
type ActiveConfiguration struct {
	Region        csmodel.Region
	Revision      csmodel.Revision
	Configuration csconfig.Configuration
}
