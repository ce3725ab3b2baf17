package csjob

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// changeTarget adds or updates the record of a target, or ends an incarnation of it. An event of an earlier incarnation than
// the known one has no effect on the record.
func (t *Table) changeTarget(event TargetEvent, at time.Time) {
	old, known := t.state.Targets[event.Target.Incarnation.Target]
	t.recordTargetChange(event.Target.Incarnation.Target)
	if event.Ended {
		if known && old.Incarnation == event.Target.Incarnation {
			delete(t.state.Targets, old.Incarnation.Target)
		}
		t.endRunsOn(event.Target.Incarnation, at)
		return
	}
	if known && old.Incarnation.StartedAtMs > event.Target.Incarnation.StartedAtMs {
		return
	}
	if known && old.Incarnation != event.Target.Incarnation {
		t.endRunsOn(old.Incarnation, at)
	}
	// Draining lasts until the incarnation ends. A heartbeat that says otherwise is out of date.
	event.Target.Draining = event.Target.Draining || (known && old.Incarnation == event.Target.Incarnation && old.Draining)
	t.state.Targets[event.Target.Incarnation.Target] = event.Target
}

// endRunsOn ends all open runs of an incarnation that has ended.
func (t *Table) endRunsOn(l Incarnation, at time.Time) {
	for _, key := range t.TasksOn(l) {
		j := t.state.Jobs[key.Job]
		if j == nil {
			continue
		}
		o := j.begun(key.Occurrence)
		if o == nil {
			continue
		}
		task := o.task(key.Step, key.Index)
		for _, r := range slices.Clone(task.Runs) {
			if r.Incarnation == l {
				t.endRun(End{Task: key, Attempt: r.Attempt, Incarnation: l, Outcome: OutcomeLost}, at)
				j.addUnconfirmed(key, task, r.Attempt)
			}
		}
	}
}

// addUnconfirmed records an attempt that ended without a report of its target.
func (j *Job) addUnconfirmed(key TaskKey, task *Task, attempt Attempt) {
	if !task.Done && !j.Submission.Steps[key.Step].LongRunning {
		task.Unconfirmed = append(task.Unconfirmed, attempt)
	}
}

// addWave records a new wave. A wave that is already known stays as it is.
func (t *Table) addWave(w Wave, at time.Time) {
	if t.state.Waves[w.ID] == nil {
		t.state.Waves[w.ID] = &WaveState{
			Wave: w, Accepted: at, Begun: map[csmodel.VMID]time.Time{}, Done: csmodel.NewSet[csmodel.VMID](),
		}
	}
}

// applyVMOrder records an order to the platform or its end.
func (t *Table) applyVMOrder(order VMOrder, at time.Time) {
	if order.Holder != "" {
		t.state.LastOrders[order.VM] = LastVMOrder{Holder: order.Holder, At: at}
	}
	if !order.Done {
		t.state.VMOrders[order.VM] = order
		if w := t.state.Waves[order.Wave]; w != nil {
			w.Begun[order.VM] = at
		}
		if order.Pool != "" {
			t.state.LastMoves[order.VM] = at
		}
		return
	}
	// The end of an earlier order for the VM may arrive late and must not end a later order.
	if open, ok := t.state.VMOrders[order.VM]; ok && open.SameOrder(order) {
		delete(t.state.VMOrders, order.VM)
	}
	w := t.state.Waves[order.Wave]
	switch {
	case w == nil:
	case order.Refused:
		delete(w.Begun, order.VM)
		w.Done.Delete(order.VM)
	case order.Removed:
		delete(w.Begun, order.VM)
		w.Done.Add(order.VM)
	default:
		w.Done.Add(order.VM)
	}
}
