package csnode

import (
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
)

// division is what the capacity policy decided in a tick.
type division struct {
	wanted []csfleet.WantedMoves
	limits []cscapacity.DeferredLimit
	slots  map[csmodel.PoolID]int // of the serving VMs
}

// divide asks the capacity policy which VMs should move and how much of each pool deferred tasks may use.
func (a *capacityActor) divide(now time.Time, m *csfleet.Machine) division {
	loads := a.loads(m)
	plan := a.policy.Step(now, loads)
	d := division{limits: plan.DeferredLimits, slots: make(map[csmodel.PoolID]int, len(loads))}
	for _, move := range plan.Moves {
		d.wanted = append(d.wanted, csfleet.WantedMoves{From: move.From, To: move.To, Count: move.VMs})
	}
	for _, l := range loads {
		d.slots[l.Pool] = l.Slots
	}
	return d
}

// poolCount collects what the VMs of a pool add to its load.
type poolCount struct {
	own                int
	borrowed, arriving map[csmodel.PoolID]int
}

// loads sums the reports of the home nodes for each configured pool.
func (a *capacityActor) loads(m *csfleet.Machine) []cscapacity.Load {
	pools := m.Pools()
	loads := make([]cscapacity.Load, len(pools))
	counts := make([]poolCount, len(pools))
	index := make(map[csmodel.PoolID]int, len(pools))
	for i, p := range pools {
		index[p.Name] = i
		loads[i] = cscapacity.Load{Pool: p.Name, Spare: p.Spare, Late: a.scheduler.HasLateTask(p.Name)}
		counts[i] = poolCount{borrowed: map[csmodel.PoolID]int{}, arriving: map[csmodel.PoolID]int{}}
		a.observer.addLoads(&loads[i])
	}
	for _, vm := range m.VMs() {
		if i, ok := index[vm.To]; ok && vm.InMove() {
			counts[i].arriving[vm.From]++
		}
		if i, ok := index[vm.Pool]; ok && vm.State == csfleet.Serving {
			a.addVM(&loads[i], &counts[i], vm)
		}
	}
	for i, p := range pools {
		loads[i].Lendable = max(0, min(p.Budget-m.Unavailable(p.Name), counts[i].own))
		loads[i].Borrowed = listed(counts[i].borrowed)
		loads[i].Arriving = listed(counts[i].arriving)
	}
	return loads
}

func (a *capacityActor) addVM(l *cscapacity.Load, c *poolCount, vm csfleet.VM) {
	seen, _ := a.observer.home(vm.ID)
	l.VMs++
	l.Slots += seen.Slots
	for _, t := range seen.Tasks {
		l.Deferred += a.yields.slots(seen.observedVM, t)
	}
	if vm.Home == l.Pool {
		c.own++
		return
	}
	c.borrowed[vm.Home]++
}

func listed(counts map[csmodel.PoolID]int) []cscapacity.Borrowed {
	var list []cscapacity.Borrowed
	for _, home := range csmodel.SortedKeys(counts) {
		list = append(list, cscapacity.Borrowed{Home: home, VMs: counts[home]})
	}
	return list
}

func (o *observer) addLoads(load *cscapacity.Load) {
	load.Arrivals = o.arrivals[load.Pool]
	for _, home := range o.homes {
		for _, l := range home.loads {
			if l.Pool == load.Pool {
				load.Queued += l.Queued
				load.Busy += l.Busy
			}
		}
	}
}
