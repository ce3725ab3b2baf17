package csjob

import (
	"container/list"
	"hash/fnv"
	"math/bits"
	"time"
)

const (
	// maxRunTimeGroups bounds the memory of what is learned: about 1 MB at 1.7 KB a group.
	maxRunTimeGroups = 512
	// FallbackEstimate is the declared run time assumed for steps that declare none.
	FallbackEstimate = time.Second
	// groupsPerOctave is how many groups a doubling of the declared run time makes.
	groupsPerOctave = 2
)

// GroupLevel is how much of what a step says of itself a group distinguishes.
type GroupLevel uint8

// Levels of groups. Each group of a level is a part of one of the next level.
const (
	StepGroup  GroupLevel = iota // queue, image, declared run time and size
	ImageGroup                   // queue and image
	QueueGroup                   // queue
	groupLevels
)

// RunTimeKey identifies a group of steps whose run times are learned together.
type RunTimeKey struct {
	_     struct{} `cbor:",toarray"`
	Level GroupLevel
	Queue QueueKey
	// Image is a hash of the name of the image, so that a group takes the same memory whatever its name is.
	Image    uint64
	Declared int8 // position of the declared run time, in steps of half an octave
	CPU      int8 // number of bits of the CPU
	GPUs     int
}

// RunTimeKeys returns the groups of a step by level.
func RunTimeKeys(q QueueKey, s *Step) [groupLevels]RunTimeKey {
	h := fnv.New64a()
	// The hash never returns an error.
	_, _ = h.Write([]byte(s.Image))
	image := RunTimeKey{Level: ImageGroup, Queue: q, Image: h.Sum64()}
	step := image
	step.Level = StepGroup
	step.Declared = int8(logMicroseconds(declared(s)) * groupsPerOctave >> logBits)
	step.CPU, step.GPUs = int8(bits.Len64(uint64(max(0, s.Resources.CPU)))), s.Resources.GPUs
	return [groupLevels]RunTimeKey{step, image, {Level: QueueGroup, Queue: q}}
}

// declared returns the declared run time of a step, or FallbackEstimate.
func declared(s *Step) time.Duration {
	if s.Estimate > 0 {
		return s.Estimate
	}
	return FallbackEstimate
}

// RunTimes holds the distributions of run times that are learned from finished runs. Each replica of the table has the same. The zero value
// and a nil pointer are empty.
type RunTimes struct {
	groups map[RunTimeKey]*list.Element // of order
	order  list.List                    // of *RunTimeGroup, the least recently used first
	// created is the number of groups created since the start or the last restore.
	created uint64
}

// RunTimes returns the learned run times. The caller must not modify them.
func (t *Table) RunTimes() *RunTimes { return t.state.RunTimes }

// Group returns a group, or nil if no run of it is remembered.
func (r *RunTimes) Group(k RunTimeKey) *RunTimeGroup {
	if r == nil {
		return nil
	}
	if e := r.groups[k]; e != nil {
		return groupOf(e)
	}
	return nil
}

// Created returns a number that grows with each new group. While it stays the same, a group that was unknown still is.
func (r *RunTimes) Created() uint64 {
	if r == nil {
		return 0
	}
	return r.created
}

// Len returns the number of groups.
func (r *RunTimes) Len() int {
	if r == nil {
		return 0
	}
	return len(r.groups)
}

func groupOf(e *list.Element) *RunTimeGroup {
	g, _ := e.Value.(*RunTimeGroup) // the list holds nothing else
	return g
}

// use returns a group as the most recently used one. It creates the group if needed, in place of the least recently used one if there are
// too many.
func (r *RunTimes) use(k RunTimeKey) *RunTimeGroup {
	if e := r.groups[k]; e != nil {
		r.order.MoveToBack(e)
		return groupOf(e)
	}
	if len(r.groups) >= maxRunTimeGroups {
		oldest := r.order.Front()
		groupOf(oldest).dropped = true
		delete(r.groups, groupOf(oldest).key)
		r.order.Remove(oldest)
	}
	g := newRunTimeGroup(k)
	r.add(g)
	return g
}

func (r *RunTimes) add(g *RunTimeGroup) {
	if r.groups == nil {
		r.groups = map[RunTimeKey]*list.Element{}
	}
	r.created++
	r.groups[g.key] = r.order.PushBack(g)
}

// Observe learns from a run of a step. The run time of a run that was stopped before its end is a lower bound, which says something about
// the spread of run times only.
func (r *RunTimes) Observe(q QueueKey, s *Step, ran time.Duration, stopped bool) {
	logRan, logDeclared := logMicroseconds(ran), logMicroseconds(declared(s))
	keys := RunTimeKeys(q, s)
	ratio := r.use(keys[QueueGroup]).ratioTo(logRan, logDeclared)
	// A group is used after its parts, so that it is dropped after them.
	for _, k := range keys {
		g := r.use(k)
		if k.Level == QueueGroup && !stopped {
			g.regression.observe(logRan, logDeclared)
		}
		g.record(ratio)
	}
}

// learnRunTime learns from the end of a run whose run time is known. A run that was stopped tells how long its task takes at least if
// another run of the task was done: without it, run times that are cut short by copies would look like short ones.
func (t *Table) learnRunTime(j *Job, task *Task, e End) {
	step := &j.Submission.Steps[e.Task.Step]
	if e.Ran <= 0 || step.LongRunning {
		return
	}
	cut := e.Outcome == OutcomeStopped && step.Speculative && task.Done
	if e.Outcome != OutcomeDone && !cut {
		return
	}
	if t.state.RunTimes == nil {
		t.state.RunTimes = &RunTimes{}
	}
	t.state.RunTimes.Observe(j.Submission.Queue, step, e.Ran, cut)
}
