package csnode

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// homeSilence is the time after which the reports of a home node no longer count as news of its targets.
const homeSilence = 3 * time.Second

// observer keeps what home nodes report to the region's leader. It is rebuilt from full reports.
type observer struct {
	homes  map[csmodel.NodeID]*homeState
	index  map[csmodel.VMID]csmodel.NodeID // home nodes; nil after a change
	sorted []csmodel.VMID                  // keys of index
	// arrivals counts the requests of each pool since the start. A home node that returns after a long silence adds only
	// what arrives from then on, because a jump would look like a burst.
	arrivals map[csmodel.PoolID]uint64
}

type homeState struct {
	heard  time.Time
	synced bool // a full report has arrived
	vms    map[csmodel.VMID]observedVM
	loads  []poolLoad
}

func newObserver() *observer {
	return &observer{homes: map[csmodel.NodeID]*homeState{}, arrivals: map[csmodel.PoolID]uint64{}}
}

func (o *observer) report(now time.Time, from csmodel.NodeID, r reportMessage) {
	home, ok := o.homes[from]
	if ok {
		o.count(home.loads, r.Loads)
	}
	if !ok || r.Full {
		home = &homeState{vms: map[csmodel.VMID]observedVM{}, synced: r.Full}
		o.homes[from] = home
	}
	// An unchanged VM may have two home nodes, of which the later one counts.
	if len(r.VMs) > 0 || len(r.Gone) > 0 || r.Full {
		o.index = nil
	}
	home.heard = now
	home.loads = r.Loads
	for _, vm := range r.VMs {
		home.vms[vm.VM] = vm
	}
	for _, id := range r.Gone {
		delete(home.vms, id)
	}
}

// count adds the arrivals between two reports of a home node. A lower count is that of a restarted process.
func (o *observer) count(before, after []poolLoad) {
	for _, l := range after {
		i := slices.IndexFunc(before, func(b poolLoad) bool { return b.Pool == l.Pool })
		if i >= 0 && l.Arrivals > before[i].Arrivals {
			o.arrivals[l.Pool] += l.Arrivals - before[i].Arrivals
		}
	}
}

// located is the latest report about a VM and the home node that sent it.
type located struct {
	observedVM
	node  csmodel.NodeID
	heard time.Time
}

// home returns the latest report about a VM.
func (o *observer) home(id csmodel.VMID) (located, bool) {
	o.refresh()
	node, ok := o.index[id]
	if !ok {
		return located{}, false
	}
	home := o.homes[node]
	return located{observedVM: home.vms[id], node: node, heard: home.heard}, true
}

// refresh finds the home node of each VM again after reports that added or removed VMs.
func (o *observer) refresh() {
	if o.index != nil {
		return
	}
	o.index = map[csmodel.VMID]csmodel.NodeID{}
	for _, name := range csmodel.SortedKeys(o.homes) {
		for id, vm := range o.homes[name].vms {
			known, ok := o.index[id]
			if !ok || o.newer(name, vm, known) {
				o.index[id] = name
			}
		}
	}
	o.sorted = csmodel.SortedKeys(o.index)
}

// newer tells whether the report of a node is newer than that of the known home node. A target that moved to another home
// node has the later report there.
func (o *observer) newer(name csmodel.NodeID, vm observedVM, known csmodel.NodeID) bool {
	other := o.homes[known].vms[vm.VM]
	return vm.Incarnation > other.Incarnation ||
		vm.Incarnation == other.Incarnation && o.homes[name].heard.After(o.homes[known].heard)
}

func (o *observer) observations() []csfleet.Observation {
	var out []csfleet.Observation
	o.refresh()
	for _, id := range o.sorted {
		vm, _ := o.home(id)
		out = append(out, csfleet.Observation{
			VM: id, Incarnation: vm.Incarnation, LastAnnounced: vm.heard, Zone: vm.Zone, Rack: vm.Rack, Pool: vm.Pool, CPU: vm.CPU,
			Memory: vm.Memory, Fence: vm.Fence, Drained: vm.Drained,
		})
	}
	return out
}

// workers describes the VMs of the replica to the scheduler.
func (o *observer) workers(m *csfleet.Machine) []cstask.Worker {
	var out []cstask.Worker
	for _, vm := range m.VMs() {
		seen, ok := o.home(vm.ID)
		w := cstask.Worker{
			VM: vm.ID, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, CPU: vm.CPU, Memory: vm.Memory,
			Serving: vm.State == csfleet.Serving && ok, Quarantined: seen.Quarantined, ReportedAt: seen.heard,
			FreeCPU: vm.CPU, FreeMemory: vm.Memory,
		}
		for _, t := range seen.Tasks {
			w.FreeCPU -= t.CPU
			w.FreeMemory -= t.Memory
			w.Running = append(w.Running, cstask.Running{
				Task: t.ID, Fence: t.Fence, Used: cstask.Usage{CPU: t.CPU, Memory: t.Memory, Runtime: t.Runtime},
			})
		}
		out = append(out, w)
	}
	return out
}

// zones tells which availability zones of the region are reachable: a zone with a home node that reports.
func (o *observer) zones(now time.Time, of map[csmodel.NodeID]csmodel.AvailabilityZone) []csfleet.ZoneReachability {
	reachable := map[csmodel.AvailabilityZone]bool{}
	for node, zone := range of {
		home, ok := o.homes[node]
		reachable[zone] = reachable[zone] || ok && now.Sub(home.heard) < homeSilence
	}
	var out []csfleet.ZoneReachability
	for _, zone := range csmodel.SortedKeys(reachable) {
		out = append(out, csfleet.ZoneReachability{Name: zone, Reachable: reachable[zone]})
	}
	return out
}

// forget drops home nodes that have been silent for long, whose targets announce elsewhere.
func (o *observer) forget(now time.Time, after time.Duration) {
	for node, home := range o.homes {
		if now.Sub(home.heard) > after {
			delete(o.homes, node)
			o.index = nil
		}
	}
}
