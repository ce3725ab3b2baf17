// Package csfleet decides about the VMs of a region: which pool each one belongs to, how many may be out of service at
// once, moves between pools and maintenance waves.
//
// Machine is the replicated state. It checks every voluntary step against the availability budgets, so that no race of
// two leaders can exceed them. Planner runs on the leader and decides what to propose.
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

// LossWindow is the time over which unplanned losses count against a wave's limit.
const LossWindow = 10 * time.Minute

// Options configure a Machine. All replicas of a group must use the same options.
type Options struct {
	// Tasks bounds the task table.
	Tasks cstask.Limits
	// Escrow divides each budget into shares of the availability zones instead of checking it as a whole.
	Escrow bool
}

// Machine is the replicated state of a region's group. Create one with New.
type Machine struct {
	options  Options
	budget   budget
	revision csmodel.Revision
	pools    map[csmodel.PoolID]*pool
	vms      map[csmodel.VMID]*VM
	order    []*VM // by id
	zones    map[csmodel.AvailabilityZone]zone
	waves    map[csmodel.WaveID]*Wave
	losses   []loss
	tasks    *cstask.Table
}

// zone is the recorded reachability of an availability zone.
type zone struct {
	Version uint64 `cbor:"1,keyasint"`
	Cut     bool   `cbor:"2,keyasint"`
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
		budget:  whole{},
		pools:   make(map[csmodel.PoolID]*pool),
		vms:     make(map[csmodel.VMID]*VM),
		zones:   make(map[csmodel.AvailabilityZone]zone),
		waves:   make(map[csmodel.WaveID]*Wave),
		tasks:   cstask.New(m.options.Tasks),
	}
	if m.options.Escrow {
		m.budget = escrow{}
	}
}

// Apply executes a committed entry and returns the encoded Result.
func (m *Machine) Apply(e csraft.Entry) []byte {
	c, err := Decode(e.Data)
	if err != nil {
		return encodeResult(Result{Status: Invalid})
	}
	return encodeResult(m.Do(c, e.At))
}

// Do executes a command without an entry, for tests and measurements.
func (m *Machine) Do(c Command, at time.Time) Result { return c.apply(m, at.Round(0).UTC()) }

// Tasks returns the task table for reading.
func (m *Machine) Tasks() *cstask.Table { return m.tasks }

// Revision returns the revision of the configuration that the machine follows.
func (m *Machine) Revision() csmodel.Revision { return m.revision }

// VM returns a copy of a VM's record.
func (m *Machine) VM(id csmodel.VMID) (VM, bool) {
	v, ok := m.vms[id]
	if !ok {
		return VM{}, false
	}
	return *v, true
}

// VMs returns copies of all records, ordered by id.
func (m *Machine) VMs() []VM {
	all := make([]VM, 0, len(m.order))
	for _, v := range m.order {
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

// Unavailable returns the number of VMs whose home is the pool and which do not serve it or are in an unreachable zone.
func (m *Machine) Unavailable(id csmodel.PoolID) int {
	if p, ok := m.pools[id]; ok {
		return p.unavailable
	}
	return 0
}

// Reachable tells whether a zone is recorded as reachable, and the version for ReportZone.
func (m *Machine) Reachable(id csmodel.AvailabilityZone) (bool, uint64) {
	z := m.zones[id]
	return !z.Cut, z.Version
}

// Wave returns the progress record of a wave.
func (m *Machine) Wave(id csmodel.WaveID) (Wave, bool) {
	w, ok := m.waves[id]
	if !ok {
		return Wave{Name: id}, false
	}
	return *w, true
}

// Losses returns the number of unplanned losses of VMs of the given home pools in the ten minutes before now.
func (m *Machine) Losses(pools []csmodel.PoolID, now time.Time) int {
	count := 0
	for _, l := range m.losses {
		if now.Sub(l.At) < LossWindow && slices.Contains(pools, l.Home) {
			count++
		}
	}
	return count
}

// maxLosses bounds the recorded losses. It is above the size of a region.
const maxLosses = 8192

func (m *Machine) recordLoss(v *VM, at time.Time) {
	m.losses = slices.DeleteFunc(m.losses, func(l loss) bool { return at.Sub(l.At) >= LossWindow })
	if len(m.losses) >= maxLosses {
		m.losses = m.losses[1:]
	}
	m.losses = append(m.losses, loss{At: at, Home: v.Home})
}

// change updates a VM and keeps the counts of its pools.
func (m *Machine) change(v *VM, at time.Time, update func(*VM)) Result {
	m.count(v, -1)
	update(v)
	v.Since = at
	m.count(v, 1)
	return v.result(OK)
}

func (m *Machine) insert(v *VM) {
	i, _ := slices.BinarySearchFunc(m.order, v.ID, compareVM)
	m.order = slices.Insert(m.order, i, v)
	m.vms[v.ID] = v
	m.count(v, 1)
}

func (m *Machine) remove(v *VM) {
	m.count(v, -1)
	i, _ := slices.BinarySearchFunc(m.order, v.ID, compareVM)
	m.order = slices.Delete(m.order, i, i+1)
	delete(m.vms, v.ID)
}

func compareVM(v *VM, id csmodel.VMID) int { return cmp.Compare(v.ID, id) }

func (v *VM) result(s Status) Result { return Result{Status: s, Fence: v.Fence} }
