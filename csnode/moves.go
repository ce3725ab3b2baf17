package csnode

import (
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
)

// wanted asks the capacity policy which VMs should move.
func (a *capacityActor) wanted(now time.Time, m *csfleet.Machine) []csfleet.Wanted {
	var out []csfleet.Wanted
	for _, move := range a.policy.Step(now, a.loads(m)) {
		out = append(out, csfleet.Wanted{From: move.From, To: move.To, Count: move.VMs})
	}
	return out
}

// loads sums the reports of the home nodes for each configured pool.
func (a *capacityActor) loads(m *csfleet.Machine) []cscapacity.Load {
	vms := m.VMs()
	var out []cscapacity.Load
	for _, p := range m.Pools() {
		load := cscapacity.Load{Pool: p.Name, Spare: p.Spare, Lendable: p.Budget - m.Unavailable(p.Name)}
		a.observer.addLoads(&load)
		own := 0
		borrowed := map[csmodel.PoolID]int{}
		for _, vm := range vms {
			if vm.Pool != p.Name || vm.State != csfleet.Serving {
				continue
			}
			load.VMs++
			load.Slots += a.observer.slots(vm.ID)
			if vm.Home == p.Name {
				own++
			} else {
				borrowed[vm.Home]++
			}
		}
		load.Lendable = max(0, min(load.Lendable, own))
		for _, home := range csmodel.SortedKeys(borrowed) {
			load.Borrowed = append(load.Borrowed, cscapacity.Borrowed{Home: home, VMs: borrowed[home]})
		}
		out = append(out, load)
	}
	return out
}

func (o *observer) addLoads(load *cscapacity.Load) {
	for _, home := range o.homes {
		for _, l := range home.loads {
			if l.Pool == load.Pool {
				load.Arrivals += l.Arrivals
				load.Queued += l.Queued
				load.Busy += l.Busy
			}
		}
	}
}

func (o *observer) slots(id csmodel.VMID) int {
	vm, _ := o.home(id)
	return vm.Slots
}
