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
	homes map[csmodel.NodeID]*homeState
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
	var best located
	for _, name := range csmodel.SortedKeys(o.homes) {
		vm, ok := o.homes[name].vms[id]
		if !ok {
			continue
		}
		// A target that moved to another home node has the later report there.
		heard := o.homes[name].heard
		if best.node == "" || vm.Incarnation > best.Incarnation ||
			vm.Incarnation == best.Incarnation && heard.After(best.heard) {
			best = located{observedVM: vm, node: name, heard: heard}
		}
	}
	return best, best.node != ""
}

func (o *observer) ids() []csmodel.VMID {
	var ids []csmodel.VMID
	for _, home := range o.homes {
		for id := range home.vms {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (o *observer) observations() []csfleet.Observation {
	var out []csfleet.Observation
	for _, id := range o.ids() {
		vm, _ := o.home(id)
		out = append(out, csfleet.Observation{
			VM: id, Incarnation: vm.Incarnation, Heard: vm.heard, Zone: vm.Zone, Rack: vm.Rack, Pool: vm.Pool, CPU: vm.CPU,
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
			Serving: vm.State == csfleet.Serving && ok, Quarantined: seen.Quarantined, Reported: seen.heard,
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
func (o *observer) zones(now time.Time, of map[csmodel.NodeID]csmodel.AvailabilityZone) []csfleet.Zone {
	reachable := map[csmodel.AvailabilityZone]bool{}
	for node, zone := range of {
		home, ok := o.homes[node]
		reachable[zone] = reachable[zone] || ok && now.Sub(home.heard) < homeSilence
	}
	var out []csfleet.Zone
	for _, zone := range csmodel.SortedKeys(reachable) {
		out = append(out, csfleet.Zone{Name: zone, Reachable: reachable[zone]})
	}
	return out
}

// forget drops home nodes that have been silent for long, whose targets announce elsewhere.
func (o *observer) forget(now time.Time, after time.Duration) {
	for node, home := range o.homes {
		if now.Sub(home.heard) > after {
			delete(o.homes, node)
		}
	}
}
