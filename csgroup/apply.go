package csgroup

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// applyBatch is the number of entries that are applied while readers wait.
const applyBatch = 64

// tasks are the commands that need the machine, in order: Apply and Readable. They wait where a reader holds the machine,
// so that heartbeats and acknowledgements of the group do not.
type tasks struct {
	queue []csraft.Command
	busy  bool // a goroutine waits for the machine with the entries before the queue
}

// appliedBatch tells the actor that entries were applied.
type appliedBatch struct {
	entries  []applied
	panicked any
}

// work executes the tasks that need not wait, until a snapshot is due.
func (r *runner) work() {
	results := map[csmodel.NodeID][]csraft.Proposal{}
	for !r.tasks.busy && len(r.tasks.queue) > 0 && !r.snapshotDue() {
		switch o := r.tasks.queue[0].(type) {
		case csraft.Readable:
			r.tasks.queue = r.tasks.queue[1:]
			r.calls.readable(o.ID)
		case csraft.Apply:
			batch := o.Entries[:min(len(o.Entries), applyBatch, r.untilSnapshot())]
			r.next(len(batch))
			epoch := r.group.replica.epoch
			out, ok := r.group.replica.tryApply(epoch, batch)
			if !ok {
				r.tasks.busy = true
				go r.applyLater(epoch, batch)
				continue
			}
			for _, a := range out {
				r.applied(a, results)
			}
		}
	}
	r.sendResults(results)
}

// next removes entries from the head of the queue.
func (r *runner) next(n int) {
	o, ok := r.tasks.queue[0].(csraft.Apply)
	if ok && n < len(o.Entries) {
		r.tasks.queue[0] = csraft.Apply{Entries: o.Entries[n:]}
		return
	}
	r.tasks.queue = r.tasks.queue[1:]
}

// applyLater waits for the machine. A panic of the machine is handed to the actor.
func (r *runner) applyLater(epoch int, batch []csraft.Entry) {
	m := &appliedBatch{}
	defer func() {
		m.panicked = recover()
		r.group.root.Send(r.group.pid, m)
	}()
	m.entries = r.group.replica.apply(epoch, batch)
}

func (r *runner) batchApplied(m *appliedBatch) {
	r.tasks.busy = false
	if m.panicked != nil {
		panic(m.panicked)
	}
	if r.core == nil {
		return
	}
	results := map[csmodel.NodeID][]csraft.Proposal{}
	for _, a := range m.entries {
		r.applied(a, results)
	}
	r.sendResults(results)
	r.work()
	r.finish()
}

// finish takes the snapshots that are due and goes on with the tasks behind them. It runs when all commands of a step are
// executed, because a snapshot replaces the log on the disk.
func (r *runner) finish() {
	for r.core != nil && !r.tasks.busy && r.snapshotDue() {
		r.compact()
		r.work()
	}
}

func (r *runner) snapshotDue() bool {
	return r.sinceCount >= r.o.SnapshotEntries || r.sinceBytes >= r.o.SnapshotBytes
}

// untilSnapshot returns how many entries may be applied before a snapshot is due, at least one. Entries come in batches of any
// size, and a snapshot at the end of each batch would let the log grow by as much more.
func (r *runner) untilSnapshot() int { return max(1, r.o.SnapshotEntries-r.sinceCount) }

// dropEntries drops the entries that wait, because a snapshot holds them. Reads that wait for them go on.
func (r *runner) dropEntries() {
	var kept []csraft.Command
	for _, o := range r.tasks.queue {
		if _, ok := o.(csraft.Apply); !ok {
			kept = append(kept, o)
		}
	}
	r.tasks.queue = kept
}
