package csnode

import (
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// askAgain is the time after which an order to checkpoint a task is repeated.
const askAgain = 3 * time.Second

// yields remembers which running tasks the leader has throttled or asked to checkpoint. It holds running tasks only.
type yields struct {
	throttled map[attemptKey]float64   // slots at full speed
	asked     map[attemptKey]time.Time // of the last order to checkpoint
}

func newYields() *yields {
	return &yields{throttled: map[attemptKey]float64{}, asked: map[attemptKey]time.Time{}}
}

// slots returns the capacity that a task uses at full speed. A throttled task reports less.
func (y *yields) slots(vm observedVM, t observedTask) float64 {
	if full, ok := y.throttled[attemptKey{t.ID, t.Fence}]; ok {
		return full
	}
	if vm.CPU == 0 {
		return 0
	}
	return float64(t.CPU) * float64(vm.Slots) / float64(vm.CPU)
}

// prune forgets tasks that have ended.
func (y *yields) prune(running csmodel.Set[attemptKey]) {
	for k := range y.throttled {
		if !running.Has(k) {
			delete(y.throttled, k)
		}
	}
	for k := range y.asked {
		if !running.Has(k) {
			delete(y.asked, k)
		}
	}
}

// yield returns the orders that make deferred tasks give way to bursts and leave draining VMs.
func (a *capacityActor) yield(now time.Time, m *csfleet.Machine, limits []cscapacity.DeferredLimit) []cstask.Action {
	byPool := map[csmodel.PoolID][]cscapacity.Task{}
	running := csmodel.Set[attemptKey]{}
	var actions []cstask.Action
	for _, vm := range m.VMs() {
		seen, ok := a.observer.home(vm.ID)
		if !ok {
			continue
		}
		leave := vm.State == csfleet.Draining && m.Tasks().Interruptible(vm.ID, now)
		for _, t := range seen.Tasks {
			running.Add(attemptKey{t.ID, t.Fence})
			if leave {
				actions = append(actions, a.checkpoint(now, vm.ID, t.ID, t.Fence)...)
			}
			if vm.State == csfleet.Serving {
				byPool[vm.Pool] = append(byPool[vm.Pool], a.candidate(now, m.Tasks(), seen.observedVM, t))
			}
		}
	}
	a.yields.prune(running)
	for _, s := range limits {
		actions = append(actions, a.giveWay(now, byPool[s.Pool], s)...)
	}
	return actions
}

func (a *capacityActor) candidate(now time.Time, table *cstask.Table, vm observedVM, t observedTask) cscapacity.Task {
	_, throttled := a.yields.throttled[attemptKey{t.ID, t.Fence}]
	c := cscapacity.Task{VM: vm.VM, Task: t.ID, Fence: t.Fence, Slots: a.yields.slots(vm, t), Throttled: throttled}
	if record, ok := table.Get(t.ID); ok {
		runtime := record.Runtime
		if learned, ok := table.Estimate(record.Job); ok {
			runtime = max(runtime, learned.Runtime)
		}
		c.Slack = record.Deadline.Sub(now) - runtime
	}
	return c
}

func (a *capacityActor) giveWay(now time.Time, tasks []cscapacity.Task, s cscapacity.DeferredLimit) []cstask.Action {
	yield, resume := s.Tasks(tasks)
	var actions []cstask.Action
	for _, t := range yield {
		if s.Checkpoint {
			actions = append(actions, a.checkpoint(now, t.VM, t.Task, t.Fence)...)
			continue
		}
		a.yields.throttled[attemptKey{t.Task, t.Fence}] = t.Slots
		actions = append(actions, cstask.Throttle{VM: t.VM, Task: t.Task, Fence: t.Fence})
	}
	for _, t := range resume {
		delete(a.yields.throttled, attemptKey{t.Task, t.Fence})
		actions = append(actions, cstask.Throttle{VM: t.VM, Task: t.Task, Fence: t.Fence, Off: true})
	}
	return actions
}

func (a *capacityActor) checkpoint(
	now time.Time, vm csmodel.VMID, task csmodel.TaskID, fence csmodel.Fence,
) []cstask.Action {
	key := attemptKey{task, fence}
	if now.Sub(a.yields.asked[key]) < askAgain {
		return nil
	}
	a.yields.asked[key] = now
	return []cstask.Action{cstask.TakeCheckpoint{VM: vm, Task: task, Fence: fence}}
}

// reserve takes the slots that deferred tasks leave free from what the scheduler may use.
func (d division) reserve(workers []cstask.Worker) {
	part := map[csmodel.PoolID]float64{}
	for _, s := range d.limits {
		if slots := d.slots[s.Pool]; slots > 0 {
			part[s.Pool] = float64(s.Reserved) / float64(slots)
		}
	}
	for i := range workers {
		w := &workers[i]
		w.FreeCPU -= csmodel.MilliCPU(part[w.Pool] * float64(w.CPU))
	}
}
