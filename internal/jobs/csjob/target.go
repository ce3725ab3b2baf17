package csjob

import (
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

func (t *Table) changeTarget(o TargetEvent, at time.Time) {
	old, known := t.state.Targets[o.Target.Life.Target]
	t.touch(o.Target.Life.Target)
	if o.Gone {
		if known && old.Life == o.Target.Life {
			delete(t.state.Targets, old.Life.Target)
		}
		t.endRuns(o.Target.Life, at)
		return
	}
	if known && old.Life.Born > o.Target.Life.Born {
		return
	}
	if known && old.Life != o.Target.Life {
		t.endRuns(old.Life, at)
	}
	// A target that leaves does so for the rest of its life; a heartbeat that tells otherwise is late.
	o.Target.Leaving = o.Target.Leaving || (known && old.Life == o.Target.Life && old.Leaving)
	t.state.Targets[o.Target.Life.Target] = o.Target
}

// endRuns ends all runs of a life that is over.
func (t *Table) endRuns(l Life, at time.Time) {
	for _, k := range t.TasksOn(l) {
		j := t.state.Jobs[k.Job]
		if j == nil {
			continue
		}
		task := j.Task(k)
		if task == nil {
			continue
		}
		for _, r := range slices.Clone(task.Runs) {
			if r.Life == l {
				t.end(End{Task: k, Attempt: r.Attempt, Life: l, Outcome: OutcomeLapsed}, at)
				j.keepUnheard(k, task, r.Attempt)
			}
		}
	}
}

// keepUnheard notes an attempt that no target has told the end of.
func (j *Job) keepUnheard(key TaskKey, k *Task, a Attempt) {
	if !k.Done && !j.Submission.Steps[key.Step].Lasting {
		k.Unheard = append(k.Unheard, a)
	}
}

func (t *Table) addWave(w Wave, at time.Time) {
	if t.state.Waves[w.ID] == nil {
		t.state.Waves[w.ID] = &WaveState{
			Wave: w, Accepted: at, Begun: map[csmodel.VMID]time.Time{}, Done: csmodel.NewSet[csmodel.VMID](),
		}
	}
}

func (t *Table) orderVM(o VMOrder, at time.Time) {
	if o.Holder != "" {
		t.state.Ordered[o.VM] = Ordering{Holder: o.Holder, At: at}
	}
	if !o.Done {
		t.state.VMs[o.VM] = o
		if w := t.state.Waves[o.Wave]; w != nil {
			w.Begun[o.VM] = at
		}
		if o.Pool != "" {
			t.state.Moved[o.VM] = at
		}
		return
	}
	// The end of an earlier order for the VM, which arrives late, does not end a later one.
	if open, ok := t.state.VMs[o.VM]; ok && open.Same(o) {
		delete(t.state.VMs, o.VM)
	}
	w := t.state.Waves[o.Wave]
	switch {
	case w == nil:
	case o.Refused:
		delete(w.Begun, o.VM)
		w.Done.Delete(o.VM)
	case o.Removed:
		delete(w.Begun, o.VM)
		w.Done.Add(o.VM)
	default:
		w.Done.Add(o.VM)
	}
}
