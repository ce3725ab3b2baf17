package csgroup

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// maxApplyBatch is the number of entries that are applied while readers wait.
const maxApplyBatch = 64

// applyQueue holds the commands that need the machine, in order: Apply and Readable. They wait here while a reader holds the
// machine, so that heartbeats and acknowledgements of the group are not delayed.
type applyQueue struct {
	commands []csraft.Command
	applying bool // a goroutine waits for the machine with the entries before the queue
}

// appliedBatch reports applied entries to the actor.
type appliedBatch struct {
	entries  []appliedEntry
	panicked any
}

// processQueue executes queued commands until it would have to wait for the machine or a snapshot is due.
func (r *runner) processQueue() {
	results := map[csmodel.NodeID][]csraft.Proposal{}
	for !r.applyQueue.applying && len(r.applyQueue.commands) > 0 && !r.snapshotDue() {
		switch o := r.applyQueue.commands[0].(type) {
		case csraft.Readable:
			r.applyQueue.commands = r.applyQueue.commands[1:]
			r.calls.readable(o.ID)
		case csraft.Apply:
			batch := o.Entries[:min(len(o.Entries), maxApplyBatch, r.entriesUntilSnapshot())]
			r.advanceQueue(len(batch))
			epoch := r.group.replica.epoch
			out, ok := r.group.replica.tryApply(epoch, batch)
			if !ok {
				r.applyQueue.applying = true
				go r.applyBlocking(epoch, batch)
				continue
			}
			for _, a := range out {
				r.applied(a, results)
			}
		}
	}
	r.sendResults(results)
}

// advanceQueue removes entries from the head of the queue.
func (r *runner) advanceQueue(n int) {
	o, ok := r.applyQueue.commands[0].(csraft.Apply)
	if ok && n < len(o.Entries) {
		r.applyQueue.commands[0] = csraft.Apply{Entries: o.Entries[n:]}
		return
	}
	r.applyQueue.commands = r.applyQueue.commands[1:]
}

// applyBlocking waits for the machine and applies the entries. It passes a panic of the machine on to the actor.
func (r *runner) applyBlocking(epoch int, batch []csraft.Entry) {
	m := &appliedBatch{}
	defer func() {
		m.panicked = recover()
		r.group.root.Send(r.group.pid, m)
	}()
	m.entries = r.group.replica.apply(epoch, batch)
}

func (r *runner) batchApplied(m *appliedBatch) {
	r.applyQueue.applying = false
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
	r.processQueue()
	r.snapshotIfDue()
}

// snapshotIfDue takes the snapshots that are due and continues with the queued commands. It runs after all commands of a step,
// because a snapshot replaces the log on disk.
func (r *runner) snapshotIfDue() {
	for r.core != nil && !r.applyQueue.applying && r.snapshotDue() {
		r.takeSnapshot()
		r.processQueue()
	}
}

func (r *runner) snapshotDue() bool {
	return r.entriesSinceSnapshot >= r.options.SnapshotEntries || r.bytesSinceSnapshot >= r.options.SnapshotBytes
}

// entriesUntilSnapshot returns how many entries may be applied before a snapshot is due, at least one. Entries come in batches of any
// size, and a snapshot at the end of each batch would let the log grow by as much more.
func (r *runner) entriesUntilSnapshot() int {
	return max(1, r.options.SnapshotEntries-r.entriesSinceSnapshot)
}

// dropQueuedEntries drops the entries that wait, because a snapshot holds them. Reads that wait for them go on.
func (r *runner) dropQueuedEntries() {
	var kept []csraft.Command
	for _, o := range r.applyQueue.commands {
		if _, ok := o.(csraft.Apply); !ok {
			kept = append(kept, o)
		}
	}
	r.applyQueue.commands = kept
}
