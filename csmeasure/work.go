package csmeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

const (
	throttleFactor = 4                      // by which a throttled task is slower
	startDelay     = 100 * time.Millisecond // from a committed lease to the start on the VM
	orderDelay     = 50 * time.Millisecond  // from an order of the leader to its effect on the VM
	checkpointing  = 250 * time.Millisecond // to write a checkpoint
	restoring      = time.Second            // of progress that a task loses by a checkpoint
	askAgain       = 3 * time.Second        // until an order to checkpoint is repeated
	backlog        = 30 * time.Second       // of arrivals that wait at the start
	declaredRange  = 10.0                   // between the smallest and the largest ratio of declared to actual sizes
	declaredLeast  = 0.3
	taskMemory     = csmodel.GiB
)

// task is a deferred task. Its progress is lost with its VM, except for the last checkpoint.
type task struct {
	id        csmodel.TaskID
	fence     csmodel.Fence
	job       csmodel.JobID
	slots     float64
	cpu       csmodel.MilliCPU
	runtime   time.Duration
	deadline  time.Duration
	progress  time.Duration
	saved     time.Duration
	started   time.Duration
	throttled bool
	stopping  bool
	vm        *vm
}

// load is the capacity in use, in slots.
func (t *task) load() float64 {
	if t.throttled {
		return t.slots / throttleFactor
	}
	return t.slots
}

func (t *task) usage() cstask.Usage {
	return cstask.Usage{
		CPU: csmodel.MilliCPU(float64(t.cpu) * t.load()), Memory: taskMemory, Runtime: t.vm.w.at - t.started,
	}
}

// work is the deferred work of a run: callers that submit tasks and VMs that run them.
type work struct {
	w     *world
	tasks map[csmodel.TaskID]*task
	asked map[csmodel.TaskID]time.Duration
	count int
	last  time.Duration
}

func newWork(w *world) *work {
	k := &work{w: w, tasks: map[csmodel.TaskID]*task{}, asked: map[csmodel.TaskID]time.Duration{}}
	w.every(targetsTick, targetsTick, k.advance)
	return k
}

// begin submits a backlog and then tasks at a rate.
func (k *work) begin(rng *rand.Rand, pool csmodel.PoolID, rate float64) {
	k.w.after(2*time.Second, func() {
		for range int(backlog.Seconds() * rate) {
			k.submit(rng, pool)
		}
	})
	var next func()
	next = func() {
		k.w.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
			k.submit(rng, pool)
			next()
		})
	}
	k.w.after(2*time.Second, next)
}

func (k *work) submit(rng *rand.Rand, pool csmodel.PoolID) {
	w := k.w
	k.count++
	declared := func() float64 { return declaredLeast * (1 + (declaredRange-1)*rng.Float64()) }
	t := &task{
		id: csmodel.TaskID(fmt.Sprintf("task%07d", k.count)), job: deferredJob(pool), slots: 1, cpu: w.profile.slotCPU(),
		runtime:  time.Duration((0.4 + 1.2*rng.Float64()) * float64(taskTime)),
		deadline: w.at + minDeadline + time.Duration(rng.Int64N(int64(maxDeadline-minDeadline))),
	}
	c := cstask.Submit{
		ID: t.id, Job: t.job, Team: "team", CPU: csmodel.MilliCPU(declared() * float64(t.cpu)), Memory: taskMemory,
		Runtime: time.Duration(declared() * float64(t.runtime)), Deadline: epoch.Add(t.deadline),
	}
	if w.tasks(c)[0].Status != cstask.OK {
		return
	}
	k.tasks[t.id] = t
	if t.deadline < w.profile.Warm || t.deadline >= w.profile.Warm+w.profile.Length {
		return
	}
	w.sums.due++
}

// act carries out the actions of the scheduler.
func (k *work) act(actions []cstask.Action) {
	var commands []cstask.Command
	for _, action := range actions {
		switch a := action.(type) {
		case cstask.Propose:
			commands = append(commands, a.Command)
		case cstask.Throttle:
			k.throttle(a.Task, a.Fence, !a.Off)
		case cstask.TakeCheckpoint:
			k.checkpoint(a.Task, a.Fence)
		case cstask.Stop:
			k.stop(a)
		}
	}
	if len(commands) == 0 {
		return
	}
	for i, r := range k.w.tasks(commands...) {
		if lease, ok := commands[i].(cstask.Lease); ok && r.Status == cstask.OK {
			k.w.after(startDelay, func() { k.start(lease) })
		}
	}
}

func (k *work) start(l cstask.Lease) {
	v := k.w.byID[l.VM]
	t, ok := k.tasks[l.ID]
	if !ok || v.lost || !k.w.reaches(v.zone, k.w.nodes[0].zone) {
		return
	}
	if t.vm != nil {
		t.leave() // the attempt of an expired lease
	}
	t.fence = l.Fence
	t.vm = v
	t.started = k.w.at
	t.progress = max(0, t.saved-restoring)
	v.tasks = append(v.tasks, t)
}

// leave removes a task from its VM.
func (t *task) leave() {
	if i := slices.Index(t.vm.tasks, t); i >= 0 {
		t.vm.tasks = slices.Delete(t.vm.tasks, i, i+1)
	}
	t.vm = nil
	t.throttled, t.stopping = false, false
}

// running returns a task that runs under a fence.
func (k *work) running(id csmodel.TaskID, fence csmodel.Fence) *task {
	if t, ok := k.tasks[id]; ok && t.vm != nil && t.fence == fence {
		return t
	}
	return nil
}

func (k *work) throttle(id csmodel.TaskID, fence csmodel.Fence, on bool) {
	k.w.after(orderDelay, func() {
		if t := k.running(id, fence); t != nil {
			t.throttled = on
		}
	})
}

func (k *work) checkpoint(id csmodel.TaskID, fence csmodel.Fence) {
	k.w.after(orderDelay+checkpointing, func() {
		t := k.running(id, fence)
		if t == nil || !k.w.reaches(t.vm.zone, k.w.nodes[0].zone) {
			return
		}
		t.saved = t.progress
		c := cstask.Checkpoint{
			ID: id, Fence: fence, Sequence: uint64(k.w.at), Data: []byte("progress"), Release: true, Used: t.usage(),
		}
		t.leave()
		k.w.tasks(c)
	})
}

func (k *work) stop(s cstask.Stop) {
	k.w.after(orderDelay, func() {
		t := k.running(s.Task, s.Fence)
		if t == nil {
			return
		}
		used := t.usage()
		t.leave()
		if s.Overrun {
			k.w.tasks(cstask.Fail{ID: s.Task, Fence: s.Fence, Overrun: true, Used: used})
		}
	})
}

// advance lets the running tasks make progress.
func (k *work) advance() {
	passed := k.w.at - k.last
	k.last = k.w.at
	for _, v := range k.w.vms {
		if len(v.tasks) == 0 {
			continue
		}
		stretch := v.stretch()
		for _, t := range slices.Clone(v.tasks) {
			speed := t.load() / t.slots / stretch
			t.progress += time.Duration(speed * float64(passed))
			switch {
			case v.failing && k.w.at-t.started > failTime:
				k.end(t, cstask.Fail{ID: t.id, Fence: t.fence, Message: "failed", Used: t.usage()})
			case t.progress >= t.runtime:
				k.end(t, cstask.Finish{ID: t.id, Fence: t.fence, Used: t.usage()})
			}
		}
	}
}

// end reports the end of an attempt. A VM that is cut off from the leader reports it afterwards.
func (k *work) end(t *task, c cstask.Command) {
	if !k.w.reaches(t.vm.zone, k.w.nodes[0].zone) {
		return
	}
	t.leave()
	r := k.w.tasks(c)[0]
	if r.State != cstask.StateFinished || r.Status != cstask.OK {
		return
	}
	delete(k.tasks, t.id)
	delete(k.asked, t.id)
	inside := t.deadline >= k.w.profile.Warm && t.deadline < k.w.profile.Warm+k.w.profile.Length
	if inside && k.w.at <= t.deadline {
		k.w.sums.finished++
	}
}

// waiting returns the jobs with tasks that run nowhere.
func (k *work) waiting() csmodel.Set[csmodel.JobID] {
	jobs := csmodel.Set[csmodel.JobID]{}
	for _, t := range k.tasks {
		if t.vm == nil {
			jobs.Add(t.job)
		}
	}
	return jobs
}

// yield makes deferred tasks give way as the policy wants.
func (k *work) yield(limits []cscapacity.DeferredLimit) {
	byPool := map[csmodel.PoolID][]cscapacity.Task{}
	machine := k.w.leader.machine
	for _, v := range k.w.vms {
		record, ok := machine.VM(v.id)
		if !ok || record.State != csfleet.Serving {
			continue
		}
		for _, t := range v.tasks {
			byPool[record.Pool] = append(byPool[record.Pool], k.candidate(machine.Tasks(), t))
		}
	}
	for _, s := range limits {
		yield, resume := s.Tasks(byPool[s.Pool])
		for _, t := range yield {
			if s.Checkpoint {
				k.ask(t.Task, t.Fence)
				continue
			}
			k.throttle(t.Task, t.Fence, true)
		}
		for _, t := range resume {
			k.throttle(t.Task, t.Fence, false)
		}
	}
}

func (k *work) candidate(table *cstask.Table, t *task) cscapacity.Task {
	c := cscapacity.Task{VM: t.vm.id, Task: t.id, Fence: t.fence, Slots: t.slots, Throttled: t.throttled}
	if record, ok := table.Get(t.id); ok {
		runtime := record.Runtime
		if learned, ok := table.Estimate(record.Job); ok {
			runtime = max(runtime, learned.Runtime)
		}
		c.Slack = record.Deadline.Sub(k.w.now()) - runtime
	}
	return c
}

func (k *work) ask(id csmodel.TaskID, fence csmodel.Fence) {
	if at, ok := k.asked[id]; ok && k.w.at-at < askAgain {
		return
	}
	k.asked[id] = k.w.at
	k.checkpoint(id, fence)
}

// drain checkpoints the tasks of VMs that leave.
func (k *work) drain(instructions []csfleet.Instruction) {
	for _, i := range instructions {
		d, ok := i.(csfleet.Drain)
		if !ok || !k.w.leader.machine.Tasks().Interruptible(d.VM, k.w.now()) {
			continue
		}
		for _, t := range k.w.byID[d.VM].tasks {
			k.ask(t.id, t.fence)
		}
	}
}
