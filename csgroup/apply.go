package csgroup

import (
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// maxApplyBatch is the maximum number of entries applied under one write lock, during which readers wait.
const maxApplyBatch = 64

// applyQueue holds the commands that need the state machine, Apply and Readable, in order. They wait here while a reader holds
// its lock, so that the reader does not delay heartbeats and acknowledgements of the group.
type applyQueue struct {
	commands []csraft.Command
	applying bool // a goroutine waits for the write lock to apply the entries that precede the queue
}

// appliedBatch reports the entries applied by applyBlocking, or its panic, to the actor.
type appliedBatch struct {
	entries  []appliedEntry
	panicked any
}

// processQueue executes queued commands until the state machine is locked by a reader or a snapshot is due.
func (r *runner) processQueue() {
	results := map[csmodel.NodeID][]csraft.Proposal{}
	for !r.applyQueue.applying && len(r.applyQueue.commands) > 0 && !r.snapshotDue() {
		switch cmd := r.applyQueue.commands[0].(type) {
		case csraft.Readable:
			r.applyQueue.commands = r.applyQueue.commands[1:]
			r.calls.finishRead(cmd.ID)
		case csraft.Apply:
			batch := cmd.Entries[:min(len(cmd.Entries), maxApplyBatch, r.entriesUntilSnapshot())]
			r.advanceQueue(len(batch))
			epoch := r.group.replica.epoch
			out, ok := r.group.replica.tryApply(epoch, batch)
			if !ok {
				r.applyQueue.applying = true
				go r.applyBlocking(epoch, batch)
				continue
			}
			for _, a := range out {
				r.entryApplied(a, results)
			}
		}
	}
	r.sendResults(results)
}

// advanceQueue removes n entries from the Apply command at the head of the queue, and the command once it is empty.
func (r *runner) advanceQueue(n int) {
	cmd, ok := r.applyQueue.commands[0].(csraft.Apply)
	if ok && n < len(cmd.Entries) {
		r.applyQueue.commands[0] = csraft.Apply{Entries: cmd.Entries[n:]}
		return
	}
	r.applyQueue.commands = r.applyQueue.commands[1:]
}

// applyBlocking waits for the write lock and applies the entries. It runs outside the actor and passes a panic of the state
// machine on to it.
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
		r.entryApplied(a, results)
	}
	r.sendResults(results)
	r.processQueue()
	r.snapshotIfDue()
}

// snapshotIfDue takes the snapshots that are due and continues with the queued commands. It must run after all commands of a
// step, because a snapshot replaces the log on disk.
func (r *runner) snapshotIfDue() {
	for r.core != nil && !r.applyQueue.applying && r.snapshotDue() {
		r.takeSnapshot()
		r.processQueue()
	}
}

func (r *runner) snapshotDue() bool {
	return r.entriesSinceSnapshot >= r.options.SnapshotEntries || r.bytesSinceSnapshot >= r.options.SnapshotBytes
}

// entriesUntilSnapshot returns how many entries may be applied before a snapshot is due, at least one. Batches are split there:
// they have no size limit, and a snapshot only at the end of a batch would let the log exceed its bound by the size of the batch.
func (r *runner) entriesUntilSnapshot() int {
	return max(1, r.options.SnapshotEntries-r.entriesSinceSnapshot)
}

// dropQueuedEntries removes the queued entries, which an installed snapshot contains. The reads queued behind them stay.
func (r *runner) dropQueuedEntries() {
	var kept []csraft.Command
	for _, cmd := range r.applyQueue.commands {
		if _, ok := cmd.(csraft.Apply); !ok {
			kept = append(kept, cmd)
		}
	}
	r.applyQueue.commands = kept
}
