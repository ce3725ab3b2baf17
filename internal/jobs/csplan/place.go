package csplan

import (
	"cmp"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Slot is a target with its free resources, as a candidate for placement.
type Slot struct {
	Incarnation csjob.Incarnation
	Zone        csmodel.AvailabilityZone
	Free        csjob.Resources
	// Drained is what is free once all batch runs have ended. Long-running tasks don't end.
	Drained csjob.Resources
	Rack    string
	Labels  []string
	// Starting is the number of tasks placed there whose starts the target has not confirmed.
	Starting int
	// Preferred is false if the target should get a task only when no other target can take it.
	Preferred bool
	// Cost is the expected time for a done run there as a multiple of that on other targets. Zero is unknown.
	Cost float64
	// EvictingSoon is set if the target will be removed soon.
	EvictingSoon bool
	reserved     bool // kept free for a more urgent task that doesn't fit yet
	// Spread counts the open runs of each step that limits its tasks per target.
	Spread map[StepKey]int
}

// Placement assigns a task to a slot.
type Placement struct {
	Task csjob.TaskKey
	Slot *Slot
}

// MaxStarting is the number of unconfirmed starts from which a target gets no more tasks. Starts are sent a few at a time, and a task
// that waits for its turn on one target could run on another. Gangs are exempt, because all their tasks must be placed together.
const MaxStarting = 64

// maxFailedSteps is how many steps may wait for room in the same slots before less urgent work has to leave these slots to them, so that a
// long backlog of urgent work is not delayed by what fits into the gaps, and costs little time.
const maxFailedSteps = 41

// Place assigns the waiting tasks of a pool to slots and subtracts their resources from the slots. work must be sorted. starting reports
// whether a task is already being started. Client accounts have no influence; see Accounts.Place.
//
// It reserves a slot for each long-running step that doesn't fit, and for the most urgent other step that doesn't fit if that
// one is feasible. Otherwise smaller tasks would take the resources as they become free. A slot is reserved only for a task that
// fits once the batch runs there have ended.
//
// Steps that don't fit even then may wait for ever, and don't keep others from being placed. Neither do steps that wait for slots with
// a label keep others from other slots, nor any steps in a pool that is less than half in use.
func Place(work []Work, slots []*Slot, starting func(csjob.TaskKey) bool) []Placement {
	p := Pool{Work: work, Slots: slots}
	var none *Accounts
	none.Place([]*Pool{&p}, starting)
	return p.Placed
}

// placer places the work of one pool in one round.
type placer struct {
	slots      []*Slot
	starting   func(csjob.TaskKey) bool
	out        []Placement
	full       unfit
	failed     map[string]int // number of steps that did not fit, by label
	mayReserve bool
	ended      bool // all other work has to wait
	pool       *capacity
}

func newPlacer(slots []*Slot, starting func(csjob.TaskKey) bool) *placer {
	for _, s := range slots {
		s.reserved = false
	}
	return &placer{slots: slots, starting: starting, failed: map[string]int{}, mayReserve: true, pool: capacityOf(slots)}
}

// place places the waiting tasks of a step as far as they fit. a is the account of its job in this pool, or nil if accounts have no influence.
func (p *placer) place(w *Work, a *poolAccount) {
	if !p.pool.holds(w.Step) || !w.placeable(p.starting) {
		return
	}
	limit := a.room(w, p.starting)
	if limit == 0 {
		return // it waits for its quota, not for room
	}
	if !p.full.covers(w.Step) {
		placed, complete := placeStep(w, p.slots, p.starting, limit)
		p.out = append(p.out, placed...)
		p.pool.allocate(w.Step, len(placed))
		a.take(w, len(placed))
		if complete {
			return
		}
		p.full.add(w.Step)
	}
	if a.claim(w) && w.fitsDrained(p.slots) {
		p.fail(w)
	}
}

// fail accounts for a step that waits for room.
func (p *placer) fail(w *Work) {
	if class := w.urgency.class; class == longRunning || (class == feasible && p.mayReserve) {
		reserved := reserveSlot(w, p.slots)
		p.mayReserve = p.mayReserve && (class == longRunning || !reserved)
	}
	label := w.Step.Label
	p.failed[label]++
	switch {
	case p.failed[label] < maxFailedSteps || !p.pool.halfUsed():
	case label == "":
		p.ended = true
	default:
		reserveLabel(p.slots, label)
	}
}

// unfit holds what did not fit in a round. Resources only shrink during a round, so nothing larger fits later on, and most of a long
// backlog is passed over without a look at the slots. The zero value is empty.
type unfit struct {
	steps []*csjob.Step
}

// add records that a task of a step did not fit. A step with a limit per target is not evidence for others.
func (u *unfit) add(step *csjob.Step) {
	if step.MaxPerTarget == 0 {
		u.steps = append(u.steps, step)
	}
}

// covers reports whether a step needs at least as much as one that did not fit. A gang must fit as a whole, and isn't subject to the limit of
// unconfirmed starts.
func (u *unfit) covers(step *csjob.Step) bool {
	needs := step.Needs()
	return slices.ContainsFunc(u.steps, func(o *csjob.Step) bool {
		return o.Gang == step.Gang && (!o.Gang || o.Tasks <= step.Tasks) && (o.Label == "" || o.Label == step.Label) && needs.Fits(o.Needs())
	})
}

// capacity is an upper bound of what any slot of a pool can hold once its batch runs have ended.
type capacity struct {
	slots   []*Slot
	largest csjob.Resources // by component
	labels  map[string]bool // whether a slot has the label; filled as needed
	// drained is the CPU of all slots without that of long-running tasks, and free the part of it that no run uses.
	drained, free csmodel.MilliCPU
}

func capacityOf(slots []*Slot) *capacity {
	c := &capacity{slots: slots}
	for _, s := range slots {
		c.largest.CPU = max(c.largest.CPU, s.Drained.CPU)
		c.largest.Memory = max(c.largest.Memory, s.Drained.Memory)
		c.largest.GPUs = max(c.largest.GPUs, s.Drained.GPUs)
		c.drained += s.Drained.CPU
		c.free += s.Free.CPU
	}
	return c
}

// allocate accounts for placed tasks of a step.
func (c *capacity) allocate(step *csjob.Step, tasks int) {
	used := csmodel.MilliCPU(tasks) * step.Needs().CPU
	c.free -= used
	if step.LongRunning {
		c.drained -= used
	}
}

// halfUsed reports whether batch runs use at least half of the CPU that long-running tasks leave.
func (c *capacity) halfUsed() bool { return 2*c.free <= c.drained }

// holds reports false for a step that fits no slot of the pool. Its cost doesn't depend on the number of slots.
func (c *capacity) holds(step *csjob.Step) bool {
	if !c.largest.Fits(step.Needs()) {
		return false
	}
	if step.Label == "" {
		return true
	}
	known, found := c.labels[step.Label]
	if !found {
		known = slices.ContainsFunc(c.slots, func(s *Slot) bool { return slices.Contains(s.Labels, step.Label) })
		if c.labels == nil {
			c.labels = map[string]bool{}
		}
		c.labels[step.Label] = known
	}
	return known
}

// placeStep places the waiting tasks of a step up to a limit, those of a gang all or none. complete is false if a task did not fit.
func placeStep(w *Work, slots []*Slot, starting func(csjob.TaskKey) bool, limit int) (out []Placement, complete bool) {
	need := w.Step.Needs()
	rack := ""
	for i := range w.Idle() {
		key := w.task(i)
		if starting(key) {
			continue
		}
		if len(out) == limit {
			return out, true
		}
		s := bestSlot(w, slots, need, rack)
		if s == nil {
			if w.Step.Gang {
				releaseAll(out, w)
				return nil, false
			}
			return out, false
		}
		if w.Step.RackLocal {
			rack = s.Rack
		}
		s.Allocate(w.Step, w.Key)
		out = append(out, Placement{Task: key, Slot: s})
	}
	return out, true
}

// placeable reports whether a task of the step waits to be placed. The open runs of a gang must end first, because its members share an
// attempt number.
func (w *Work) placeable(starting func(csjob.TaskKey) bool) bool {
	if w.Step.Gang {
		return w.allIdle(starting)
	}
	for i := range w.Idle() {
		if !starting(w.task(i)) {
			return true
		}
	}
	return false
}

// allIdle reports whether no task of the step is done, running or being started.
func (w *Work) allIdle(starting func(csjob.TaskKey) bool) bool {
	for i := range w.tasks {
		if !w.tasks[i].Idle() || starting(w.task(i)) {
			return false
		}
	}
	return true
}

// reserveSlot reserves the slot with the smallest shortfall for a task of the step, among the eligible slots that can hold the
// task once their batch runs have ended. It reports false if there is none. The choice doesn't change while the slot drains.
func reserveSlot(w *Work, slots []*Slot) bool {
	need := w.Step.Needs()
	var best *Slot
	for _, s := range slots {
		if !eligible(w, s) || !s.Drained.Fits(need) {
			continue
		}
		if best == nil || shortfall(s, need) < shortfall(best, need) {
			best = s
		}
	}
	if best != nil {
		best.reserved = true
	}
	return best != nil
}

// reserveLabel reserves all slots with a label.
func reserveLabel(slots []*Slot, label string) {
	for _, s := range slots {
		s.reserved = s.reserved || slices.Contains(s.Labels, label)
	}
}

// fitsDrained reports whether a task of the step, or its whole gang, fits once the batch runs of all slots have ended.
func (w *Work) fitsDrained(slots []*Slot) bool {
	need := w.Step.Needs()
	missing := 1
	if w.Step.Gang {
		missing = w.Step.Tasks
	}
	for _, s := range slots {
		if !w.allowed(s) {
			continue
		}
		room := missing
		if w.Step.MaxPerTarget > 0 {
			room = min(room, w.Step.MaxPerTarget-s.Spread[w.Key])
		}
		if missing -= s.Drained.Count(need, room); missing <= 0 {
			return true
		}
	}
	return false
}

// shortfall returns the CPU or memory that a slot lacks as a fraction of the need, whichever is larger.
func shortfall(s *Slot, need csjob.Resources) float64 {
	cpu := float64(need.CPU-s.Free.CPU) / float64(max(need.CPU, 1))
	memory := float64(need.Memory-s.Free.Memory) / float64(max(need.Memory, 1))
	return max(cpu, memory)
}

// eligible reports whether a slot may take a task of the step in this round, regardless of its free resources.
func eligible(w *Work, s *Slot) bool {
	return !s.reserved && (s.Starting < MaxStarting || w.Step.Gang) && w.allowed(s)
}

// allowed reports whether the label and the tasks of a slot allow another task of the step there.
func (w *Work) allowed(s *Slot) bool {
	switch {
	case w.Step.Label != "" && !slices.Contains(s.Labels, w.Step.Label):
		return false
	case w.Step.MaxPerTarget > 0 && s.Spread[w.Key] >= w.Step.MaxPerTarget:
		return false
	default:
		return true
	}
}

// Allocate subtracts the resources of a run of a step from the slot.
func (s *Slot) Allocate(step *csjob.Step, k StepKey) {
	s.Free = s.Free.Sub(step.Needs())
	s.Starting++
	if step.LongRunning {
		s.Drained = s.Drained.Sub(step.Needs())
	}
	if step.MaxPerTarget == 0 {
		return
	}
	if s.Spread == nil {
		s.Spread = map[StepKey]int{}
	}
	s.Spread[k]++
}

// releaseAll returns the resources of the placed members of an incomplete gang to their slots.
func releaseAll(placed []Placement, w *Work) {
	for _, p := range placed {
		p.Slot.Free = p.Slot.Free.Add(w.Step.Needs())
		p.Slot.Starting--
		if w.Step.LongRunning {
			p.Slot.Drained = p.Slot.Drained.Add(w.Step.Needs())
		}
		if w.Step.MaxPerTarget > 0 {
			p.Slot.Spread[w.Key]--
		}
	}
}

// bestSlot returns the best slot for one more task of a step, or nil if none fits. It prefers, in this order, cool slots, slots
// in the rack of the data or of the other tasks, for long-running tasks slots that are not removed soon, and slots with the least
// free CPU. The last keeps resources free for large tasks. rack is the rack of the tasks already placed, or empty.
func bestSlot(w *Work, slots []*Slot, need csjob.Resources, rack string) *Slot {
	wantedRack := cmp.Or(rack, w.Step.DataRack)
	var best *Slot
	var bestInRack, bestCool bool
	for _, s := range slots {
		if !s.Free.Fits(need) || !eligible(w, s) {
			continue
		}
		inRack := wantedRack == "" || s.Rack == wantedRack
		better := best == nil
		switch {
		case better:
		case s.Preferred != bestCool:
			better = s.Preferred
		case inRack != bestInRack:
			better = inRack
		case w.Step.LongRunning && s.EvictingSoon != best.EvictingSoon:
			better = best.EvictingSoon
		default:
			better = s.Free.CPU < best.Free.CPU
		}
		if better {
			best, bestInRack, bestCool = s, inRack, s.Preferred
		}
	}
	return best
}
