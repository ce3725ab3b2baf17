package csrun

import (
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// maxBatchBytes is the approximate size of a command at which a round starts another one. The group refuses a command above
// 1 MiB, and a small one delays the commits behind it less.
const maxBatchBytes = 128 << 10

// Approximate encoded sizes, without strings.
const (
	startBytes  = 48
	endBytes    = 56
	targetBytes = 128
	labelBytes  = 8
	idBytes     = 8
)

// targetChange is a change of a target, and the call that waits for its commit, if any.
type targetChange struct {
	csjob.TargetEvent
	done chan error
}

// decisions are what a round proposes.
type decisions struct {
	ends       []csjob.End
	endNumbers map[csjob.Incarnation]int64 // highest number of the ends, by incarnation
	targets    []targetChange
	starts     []csjob.Start
	begun      []csjob.ID
}

func (d *decisions) empty() bool {
	return len(d.ends) == 0 && len(d.targets) == 0 && len(d.starts) == 0 && len(d.begun) == 0
}

// batch is a part of the decisions of a round that is committed as one command.
type batch struct {
	command    csjob.Command
	endNumbers map[csjob.Incarnation]int64
	waiters    []chan error
	bytes      int
}

// batches splits the decisions of a round into commands of limited size, at least one. The ends that a target has listed stay
// together, so that an acknowledgement up to a number covers recorded ends only, as do a change of a target and the call that
// waits for it.
func (d *decisions) batches() []*batch {
	if d.bytes() <= maxBatchBytes {
		return []*batch{d.single()}
	}
	current := &batch{endNumbers: map[csjob.Incarnation]int64{}}
	out := []*batch{current}
	next := func(bytes int) *csjob.Command {
		if current.bytes > 0 && current.bytes+bytes > maxBatchBytes {
			current = &batch{endNumbers: map[csjob.Incarnation]int64{}}
			out = append(out, current)
		}
		current.bytes += bytes
		return &current.command
	}
	for _, group := range d.endsByIncarnation() {
		c := next(sizeOf(group, endSize))
		c.Ends = append(c.Ends, group...)
		if n, ok := d.endNumbers[group[0].Incarnation]; ok {
			current.endNumbers[group[0].Incarnation] = n
		}
	}
	for _, e := range d.targets {
		c := next(changeSize(e))
		c.Targets = append(c.Targets, e.TargetEvent)
		if e.done != nil {
			current.waiters = append(current.waiters, e.done)
		}
	}
	for _, s := range d.starts {
		c := next(startSize(s))
		c.Starts = append(c.Starts, s)
	}
	for _, id := range d.begun {
		c := next(idSize(id))
		c.Begun = append(c.Begun, id)
	}
	return out
}

// single returns all decisions as one batch.
func (d *decisions) single() *batch {
	b := &batch{command: csjob.Command{Ends: d.ends, Starts: d.starts, Begun: d.begun}, endNumbers: d.endNumbers}
	for _, e := range d.targets {
		b.command.Targets = append(b.command.Targets, e.TargetEvent)
		if e.done != nil {
			b.waiters = append(b.waiters, e.done)
		}
	}
	return b
}

// bytes returns the approximate encoded size of all decisions.
func (d *decisions) bytes() int {
	return sizeOf(d.ends, endSize) + sizeOf(d.targets, changeSize) + sizeOf(d.starts, startSize) + sizeOf(d.begun, idSize)
}

func sizeOf[T any](list []T, size func(T) int) int {
	sum := 0
	for i := range list {
		sum += size(list[i])
	}
	return sum
}

func endSize(e csjob.End) int {
	return endBytes + len(e.Task.Job) + len(e.Incarnation.Target) + len(e.Checkpoint)
}

func startSize(s csjob.Start) int { return startBytes + len(s.Task.Job) + len(s.Incarnation.Target) }

func idSize(id csjob.ID) int { return idBytes + len(id) }

func changeSize(c targetChange) int {
	t := &c.Target
	sum := targetBytes + len(t.Incarnation.Target) + len(t.Address) + len(t.Pool) + len(t.Zone) + len(t.Rack)
	for _, l := range t.Labels {
		sum += labelBytes + len(l)
	}
	return sum
}

// endsByIncarnation returns the ends in groups of one incarnation, in the order in which the incarnations were first heard.
func (d *decisions) endsByIncarnation() [][]csjob.End {
	var out [][]csjob.End
	index := map[csjob.Incarnation]int{}
	for _, e := range d.ends {
		i, known := index[e.Incarnation]
		if !known {
			i = len(out)
			index[e.Incarnation] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], e)
	}
	return out
}
