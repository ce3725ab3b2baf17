package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// outlook is what the leader publishes for admission and for decisions about VMs.
type outlook struct {
	demand Demand
}

// schedule decides which waiting tasks start where. The starts are intents until they are committed.
func (r *runner) schedule(now time.Time, t *csjob.Table) []csjob.Start {
	if t.Config() == nil {
		return nil
	}
	jobs := map[csmodel.PoolID][]*csjob.Job{}
	for _, j := range t.Active() {
		if !j.State.Final() {
			pool := t.QueueOf(j).Pool
			jobs[pool] = append(jobs[pool], j)
		}
	}
	slots := r.slots(now, t)
	demand := Demand{}
	var starts []csjob.Start
	r.offered.observe(now, t, &r.learned)
	for _, pool := range csmodel.SortedKeys(jobs) {
		work := r.waiting(now, t, jobs[pool])
		placed := csplan.Place(work, slots[pool], r.onItsWay)
		d := r.demandOf(work)
		for _, s := range slots[pool] {
			d.Targets++
			d.Free += s.Free.CPU
		}
		demand[pool] = d
		starts = append(starts, r.intend(t, placed)...)
	}
	r.countRunning(now, t, demand)
	countLasting(t, demand)
	r.leader.outlook.Store(&outlook{demand: demand})
	return starts
}

func (r *runner) onItsWay(k csjob.TaskKey) bool {
	_, ok := r.pending[k]
	return ok
}

func (r *runner) waiting(now time.Time, t *csjob.Table, jobs []*csjob.Job) []csplan.Work {
	var work []csplan.Work
	for _, j := range jobs {
		work = append(work, csplan.Waiting(now, &r.learned, t.QueueOf(j), []*csjob.Job{j})...)
	}
	csplan.Sort(work)
	return work
}

// slots returns the room of the usable targets by pool.
func (r *runner) slots(now time.Time, t *csjob.Table) map[csmodel.PoolID][]*csplan.Slot {
	held, due := r.held(), csmodel.Set[csjob.Life]{}
	if r.o.Fleet != nil {
		due = r.o.Fleet.Due()
	}
	out := map[csmodel.PoolID][]*csplan.Slot{}
	silent := r.silentZones()
	for _, id := range csmodel.SortedKeys(r.targets) {
		w := r.targets[id]
		if held.Has(w.life) || !w.usable(now, r.o.Timing.Beat) || w.grades.quarantined(now) || silent.Has(w.record.Zone) {
			continue
		}
		s := &csplan.Slot{
			Life: w.life, Zone: w.record.Zone, Free: w.record.Room, Labels: w.record.Labels, Rack: w.record.Rack,
			Cool: w.failures == 0 && !w.grades.suspect(), Spread: map[csplan.StepKey]int{}, Due: due.Has(w.life),
		}
		for key := range w.runs {
			j := t.Job(key.task.Job)
			if j == nil || j.Tasks == nil {
				continue
			}
			s.Free = s.Free.Sub(j.Submission.Steps[key.task.Step].Needs())
			s.Spread[stepOf(key.task)]++
		}
		out[w.record.Pool] = append(out[w.record.Pool], s)
	}
	r.reservePending(t, out)
	return out
}

// reservePending takes the room of starts that are not committed yet.
func (r *runner) reservePending(t *csjob.Table, slots map[csmodel.PoolID][]*csplan.Slot) {
	byLife := map[csjob.Life]*csplan.Slot{}
	for _, list := range slots {
		for _, s := range list {
			byLife[s.Life] = s
		}
	}
	for key, life := range r.pending {
		s, j := byLife[life], t.Job(key.Job)
		if s == nil || j == nil || j.Tasks == nil || r.open(life, key) {
			continue
		}
		s.Free = s.Free.Sub(j.Submission.Steps[key.Step].Needs())
		s.Spread[stepOf(key)]++
	}
}

// open tells whether a start was applied to the table already.
func (r *runner) open(l csjob.Life, k csjob.TaskKey) bool {
	w := r.targets[l.Target]
	if w == nil {
		return false
	}
	for key := range w.runs {
		if key.task == k {
			return true
		}
	}
	return false
}

// demandOf adds up the work that is left waiting.
func (r *runner) demandOf(work []csplan.Work) PoolDemand {
	var d PoolDemand
	for i := range work {
		w := &work[i]
		for n := range w.Step.Tasks {
			key := csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: n}
			switch {
			case !w.Job.Task(key).Idle() || r.onItsWay(key):
			case w.Step.Lasting:
				d.Lasting += w.Step.Needs().CPU
			case w.Late():
				d.Behind += w.Step.Room.CPU
			default:
				d.Waiting += w.Step.Room.CPU
			}
		}
	}
	return d
}

// countRunning adds what runs on targets that stay in their pools.
func (r *runner) countRunning(now time.Time, t *csjob.Table, d Demand) {
	held := r.held()
	for _, w := range r.targets {
		if held.Has(w.life) {
			continue
		}
		l := r.load(now, t, w)
		p := d[w.record.Pool]
		p.Lasting += l.Lasting
		p.Running += l.Timely
		d[w.record.Pool] = p
	}
	for pool, cores := range r.offered.rates {
		p := d[pool]
		p.Offered, p.Jobs = cores, r.offered.jobs[pool]
		d[pool] = p
	}
}

// load adds up what runs on a target.
func (r *runner) load(now time.Time, t *csjob.Table, w *target) Load {
	var l Load
	for key, u := range w.runs {
		j := t.Job(key.task.Job)
		if j == nil || j.Tasks == nil {
			continue
		}
		need := j.Submission.Steps[key.task.Step].Needs().CPU
		if j.Submission.Steps[key.task.Step].Lasting {
			l.Lasting += need
			l.Lasts = true
			continue
		}
		if !r.overdue(now, t, j, u) {
			l.Timely += need
		}
		left := u.left(now)
		if u.stop || r.stoppable(now, t, j, u) {
			left = min(left, stopTime)
		}
		l.Clear = max(l.Clear, left)
	}
	return l
}

// overdue tells whether the job of a run that ends by itself has missed its objective.
func (r *runner) overdue(now time.Time, t *csjob.Table, j *csjob.Job, u *run) bool {
	if u.onTime.IsZero() {
		u.onTime, _ = csplan.Objective(&r.learned, t.QueueOf(j), j, u.key.task.Occurrence)
	}
	return now.After(u.onTime)
}

func (r *runner) held() csmodel.Set[csjob.Life] {
	if r.o.Fleet == nil {
		return csmodel.Set[csjob.Life]{}
	}
	return r.o.Fleet.Held()
}

// countLasting adds what the tasks that last need besides cores.
func countLasting(t *csjob.Table, d Demand) {
	for _, j := range t.Active() {
		if j.State.Final() {
			continue
		}
		pool := t.QueueOf(j).Pool
		p := d[pool]
		for _, s := range j.Submission.Steps {
			if !s.Lasting {
				continue
			}
			p.Memory += csjob.MiB(s.Tasks) * s.Room.Memory
			if s.Spread > 0 {
				p.Width = max(p.Width, (s.Tasks+s.Spread-1)/s.Spread)
			}
		}
		d[pool] = p
	}
}

// intend turns placements into starts.
func (r *runner) intend(t *csjob.Table, placed []csplan.Placement) []csjob.Start {
	out := make([]csjob.Start, 0, len(placed))
	for _, p := range placed {
		j := t.Job(p.Task.Job)
		attempt := j.Task(p.Task).Attempts + 1
		if j.Submission.Steps[p.Task.Step].Gang {
			for _, k := range j.Tasks[p.Task.Occurrence][p.Task.Step] {
				attempt = max(attempt, k.Attempts+1)
			}
		}
		r.pending[p.Task] = p.Slot.Life
		out = append(out, csjob.Start{Task: p.Task, Attempt: attempt, Life: p.Slot.Life})
		r.log.Info("start", zap.String("job", string(p.Task.Job)), zap.Stringer("task", p.Task), zap.Int("attempt", int(attempt)),
			zap.String("target", string(p.Slot.Life.Target)))
	}
	return out
}
