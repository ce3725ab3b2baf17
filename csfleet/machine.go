// Package csfleet manages the VMs of a region: the pool that each VM belongs to, the number of VMs that may be out of
// service at once, moves between pools and maintenance waves.
//
// Machine is the replicated state machine. It checks every voluntary step against the availability budgets, so that two
// leaders that race cannot exceed them. Planner runs on the leader and decides which commands to propose.
package csfleet

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/cstask"
)

var _ csraft.Machine = (*Machine)(nil)

// LossWindow is the time for which unplanned losses count against a wave's limit.
const LossWindow = 10 * time.Minute

// Options configures a Machine. All replicas of a group must use the same options.
type Options struct {
	// Tasks bounds the task table.
	Tasks cstask.Limits
	// Escrow divides each budget into shares of the availability zones instead of checking the undivided budget.
	Escrow bool
}

// Machine is the replicated state machine of a region's group. Create one with New.
type Machine struct {
	options   Options
	budget    budgetRule
	revision  csmodel.Revision
	pools     map[csmodel.PoolID]*pool
	vms       map[csmodel.VMID]*VM
	sortedVMs []*VM // by id
	zones     map[csmodel.AvailabilityZone]zone
	waves     map[csmodel.WaveID]*Wave
	losses    []loss
	tasks     *cstask.Table
}

// zone is the recorded reachability of an availability zone.
type zone struct {
	Version     uint64 `cbor:"1,keyasint"`
	Unreachable bool   `cbor:"2,keyasint"`
}

// loss is an unplanned loss of a VM.
type loss struct {
	At   time.Time      `cbor:"1,keyasint"`
	Home csmodel.PoolID `cbor:"2,keyasint"`
}

// New returns an empty machine.
func New(o Options) *Machine {
	m := &Machine{options: o}
	m.reset()
	return m
}

func (m *Machine) reset() {
	*m = Machine{
		options: m.options,
		budget:  poolBudget{},
		pools:   make(map[csmodel.PoolID]*pool),
		vms:     make(map[csmodel.VMID]*VM),
		zones:   make(map[csmodel.AvailabilityZone]zone),
		waves:   make(map[csmodel.WaveID]*Wave),
		tasks:   cstask.New(m.options.Tasks),
	}
	if m.options.Escrow {
		m.budget = escrowBudget{}
	}
}

// Apply executes a committed entry and returns the encoded Result, whose status is Invalid for an entry that cannot be
// decoded.
func (m *Machine) Apply(e csraft.Entry) []byte {
	c, err := Decode(e.Data)
	if err != nil {
		return encodeResult(Result{Status: Invalid})
	}
	return encodeResult(m.Do(c, e.At))
}

// Do executes a command without a log entry, for tests and measurements.
func (m *Machine) Do(c Command, at time.Time) Result { return c.apply(m, at.Round(0).UTC()) }

// Tasks returns the task table, which the caller must not change.
func (m *Machine) Tasks() *cstask.Table { return m.tasks }

// Revision returns the revision of the configuration that the machine has applied.
func (m *Machine) Revision() csmodel.Revision { return m.revision }

// VM returns a copy of a VM's record, and whether there is one.
func (m *Machine) VM(id csmodel.VMID) (VM, bool) {
	v, ok := m.vms[id]
	if !ok {
		return VM{}, false
	}
	return *v, true
}

// VMs returns copies of the records of all VMs, ordered by id.
func (m *Machine) VMs() []VM {
	all := make([]VM, 0, len(m.sortedVMs))
	for _, v := range m.sortedVMs {
		all = append(all, *v)
	}
	return all
}

// Pools returns the configured pools, ordered by name.
func (m *Machine) Pools() []csconfig.Pool {
	var all []csconfig.Pool
	for _, id := range csmodel.SortedKeys(m.pools) {
		if p := m.pools[id]; p.configured {
			all = append(all, p.config)
		}
	}
	return all
}

// Unavailable returns the number of a pool's home VMs that do not serve it or are in an unreachable zone.
func (m *Machine) Unavailable(id csmodel.PoolID) int {
	if p, ok := m.pools[id]; ok {
		return p.unavailable
	}
	return 0
}

// Reachable reports whether a zone is recorded as reachable, and returns the version for ReportZone.
func (m *Machine) Reachable(id csmodel.AvailabilityZone) (bool, uint64) {
	z := m.zones[id]
	return !z.Unreachable, z.Version
}

// Wave returns the progress record of a wave, and whether there is one.
func (m *Machine) Wave(id csmodel.WaveID) (Wave, bool) {
	w, ok := m.waves[id]
	if !ok {
		return Wave{Name: id}, false
	}
	return *w, true
}

// Losses returns the number of unplanned losses of VMs of the given home pools within LossWindow before now.
func (m *Machine) Losses(pools []csmodel.PoolID, now time.Time) int {
	count := 0
	for _, l := range m.losses {
		if now.Sub(l.At) < LossWindow && slices.Contains(pools, l.Home) {
			count++
		}
	}
	return count
}

// maxLosses is the number of recorded losses that are kept. It is above the number of VMs of a region.
const maxLosses = 8192

func (m *Machine) recordLoss(v *VM, at time.Time) {
	m.losses = slices.DeleteFunc(m.losses, func(l loss) bool { return at.Sub(l.At) >= LossWindow })
	if len(m.losses) >= maxLosses {
		m.losses = m.losses[1:]
	}
	m.losses = append(m.losses, loss{At: at, Home: v.Home})
}

// updateVM updates a VM, its time of change and the counts of its home pools.
func (m *Machine) updateVM(v *VM, at time.Time, update func(*VM)) Result {
	m.adjustCounts(v, -1)
	update(v)
	v.Since = at
	m.adjustCounts(v, 1)
	return v.result(OK)
}

func (m *Machine) insert(v *VM) {
	i, _ := slices.BinarySearchFunc(m.sortedVMs, v.ID, compareVMID)
	m.sortedVMs = slices.Insert(m.sortedVMs, i, v)
	m.vms[v.ID] = v
	m.adjustCounts(v, 1)
}

func (m *Machine) remove(v *VM) {
	m.adjustCounts(v, -1)
	i, _ := slices.BinarySearchFunc(m.sortedVMs, v.ID, compareVMID)
	m.sortedVMs = slices.Delete(m.sortedVMs, i, i+1)
	delete(m.vms, v.ID)
}

func compareVMID(v *VM, id csmodel.VMID) int { return cmp.Compare(v.ID, id) }

func (v *VM) result(s Status) Result { return Result{Status: s, Fence: v.Fence} }
