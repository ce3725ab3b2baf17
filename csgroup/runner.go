package csgroup

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Delays before a failed group is rebuilt.
const (
	reopenDelay     = 5 * time.Second // after a disk error
	minRebuildDelay = time.Second     // after a panic; doubles with each one
	maxRebuildDelay = 30 * time.Second
)

// errPanic reports a panic of the state machine, a hook or the group itself.
var errPanic = errors.New("csgroup: panic")

// Messages of the actor.
type (
	tick struct {
		done func()
	}
	received            struct{ message csraft.Message }
	flushCallsMessage   struct{}
	flushAppendsMessage struct{}
)

// runner is the actor of a group.
type runner struct {
	group      *Group
	options    Options
	core       *csraft.Core // nil after a panic until it is rebuilt
	store      *store       // nil for a node without a disk and after a disk error
	calls      calls
	applyQueue applyQueue

	appends         []csraft.Message // joined appends, not yet passed to the core
	flushingAppends bool             // a flushAppendsMessage is in the mailbox

	rebuildAt            time.Time // next attempt to rebuild the core; zero if none is due
	coreStartedAt        time.Time
	rebuildDelay         time.Duration // before the next attempt after a panic
	incarnation          csmodel.Incarnation
	bytesSinceSnapshot   csmodel.Bytes // applied since the last snapshot
	entriesSinceSnapshot int
	snapshotSize         int // of the latest snapshot that was taken, in bytes
	err                  error
	damagedFolders       int
}

func newRunner(g *Group) *runner {
	return &runner{group: g, options: g.options, rebuildDelay: minRebuildDelay}
}

// Receive implements actor.Actor. It recovers from a panic, which affects only this group: its core is rebuilt.
func (r *runner) Receive(ctx actor.Context) {
	defer r.publish()
	defer func() {
		if p := recover(); p != nil {
			r.handlePanic(p)
		}
	}()
	if m, ok := ctx.Message().(*received); ok && m.message.Kind == csraft.MessageAppend {
		r.group.queued.Add(-1)
		r.queueAppend(ctx, m.message)
		return
	}
	r.flushAppends() // messages keep their order
	switch m := ctx.Message().(type) {
	case *actor.Started:
		r.incarnation = r.options.Config.Incarnation
		r.startCore()
	case *actor.Stopping:
		r.calls.failAll()
		r.group.stopCalls()
	case *tick:
		m.done()
		r.tick()
	case *received:
		r.group.queued.Add(-1)
		r.receiveMessage(ctx, m.message)
	case *call:
		r.startCall(ctx, m)
	case *flushCallsMessage:
		r.flushCalls()
	case *appliedBatch:
		r.batchApplied(m)
	case *flushAppendsMessage:
		r.flushingAppends = false
	case func():
		m()
	}
}

// queueAppend joins the append messages in the mailbox, so that one sync of the disk saves all their entries. A leader sends
// appends about as often as a disk can sync; a voter that synced for each of them would fall behind as long as the load lasts.
func (r *runner) queueAppend(ctx actor.Context, m csraft.Message) {
	if n := len(r.appends); n > 0 {
		if joined, ok := csraft.JoinAppends(r.appends[n-1], m); ok {
			r.appends[n-1] = joined
			return
		}
	}
	r.appends = append(r.appends, m)
	if !r.flushingAppends {
		r.flushingAppends = true
		ctx.Send(ctx.Self(), &flushAppendsMessage{})
	}
}

// flushAppends passes the joined messages to the core. It recovers from a panic itself, so that the next message is still processed.
func (r *runner) flushAppends() {
	defer func() {
		if p := recover(); p != nil {
			r.handlePanic(p)
		}
	}()
	appends := r.appends
	r.appends = nil
	for _, m := range appends {
		r.step(csraft.Receive{Message: m})
	}
}

func (r *runner) now() time.Time { return r.options.Clock.Now() }

// startCore creates the core from the folder and the state machine. It first restores the snapshot of the folder if the state
// machine is behind that snapshot.
func (r *runner) startCore() {
	r.rebuildAt = time.Time{}
	r.coreStartedAt = r.now()
	c := r.options.Config
	if r.incarnation == 0 {
		r.incarnation = csmodel.Incarnation(r.now().UnixMicro())
	}
	var restored csraft.Restored
	var openErr error
	if r.options.Disk != nil {
		restored, openErr = r.openFolder()
	}
	c.Incarnation = r.incarnation
	r.applyQueue.commands = nil
	if r.group.replica.lastApplied() < restored.Snapshot.Index {
		if err := r.group.replica.restore(restored.Snapshot); err != nil {
			r.report(fmt.Errorf("restore snapshot %d: %w", restored.Snapshot.Index, err))
			panic(err)
		}
		r.notifyRestored(restored.Snapshot.Index)
	}
	restored.Applied = r.group.replica.lastApplied()
	r.core = csraft.New(c, restored)
	r.calls.setIdentity(c.Self, r.incarnation)
	if openErr != nil {
		r.diskFailed(openErr)
		return
	}
	r.err = nil
}

func (r *runner) openFolder() (csraft.Restored, error) {
	r.store = nil
	rewrite := r.err != nil
	s, restored, err := openStore(r.options.Disk, r.incarnation, rewrite, func(err error) {
		r.damagedFolders++
		r.report(err)
		// Above the incarnation of the damaged folder, even if the clock was set back.
		r.incarnation = max(r.incarnation+1, csmodel.Incarnation(r.now().UnixMicro()))
	})
	if err != nil {
		return csraft.Restored{}, err
	}
	r.store = s
	r.incarnation = s.identity.Incarnation
	r.calls.setStartCount(s.identity.Starts)
	return restored, nil
}

func (r *runner) tick() {
	now := r.now()
	if !r.rebuildAt.IsZero() && !now.Before(r.rebuildAt) && !r.applyQueue.applying {
		r.startCore()
	}
	if r.core == nil {
		return
	}
	r.step(csraft.Tick{})
	r.resend(now)
	if len(r.calls.transfers) > 0 {
		r.step(csraft.Transfer{})
		r.finishTransfers()
	}
	if now.Sub(r.coreStartedAt) > 2*maxRebuildDelay {
		r.rebuildDelay = minRebuildDelay
	}
}

// step passes an event to the core, executes the resulting commands and takes a snapshot if one is due.
func (r *runner) step(e csraft.Event) {
	if r.core == nil {
		return
	}
	r.execute(r.stepCore(e))
	r.snapshotIfDue()
}

func (r *runner) recordSync(took time.Duration) {
	r.group.status.mu.Lock()
	defer r.group.status.mu.Unlock()
	r.core.RecordSync(took)
	if f := r.options.Observe.Saved; f != nil {
		f(took)
	}
}

// takeSnapshot takes a snapshot of the state machine and compacts the log up to it.
func (r *runner) takeSnapshot() {
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	data, index, err := r.group.replica.snapshot(r.snapshotSize)
	if err != nil {
		r.report(err)
		return
	}
	r.snapshotSize = len(data)
	r.execute(r.stepCore(csraft.Compact{Index: index, Data: data}))
}

func (r *runner) stepCore(e csraft.Event) []csraft.Command {
	r.group.status.mu.Lock()
	defer r.group.status.mu.Unlock()
	return r.core.Step(r.now(), e)
}

func (r *runner) execute(commands []csraft.Command) {
	var diskErr error
	for _, cmd := range commands {
		if diskErr != nil {
			// After a failed Save, only state that is already committed by a quorum may be used.
			if i, ok := cmd.(csraft.InstallSnapshot); ok {
				r.installSnapshot(i.Snapshot)
			}
			continue
		}
		diskErr = r.executeOne(cmd)
	}
	if diskErr != nil {
		r.diskFailed(diskErr)
	}
}

func (r *runner) executeOne(cmd csraft.Command) error {
	switch cmd := cmd.(type) {
	case csraft.Save:
		if r.store != nil {
			began := r.now()
			err := r.store.save(cmd)
			r.recordSync(r.now().Sub(began))
			return err
		}
	case csraft.Send:
		r.options.Send(cmd.To, cmd.Message)
	case csraft.Apply:
		r.applyQueue.commands = append(r.applyQueue.commands, cmd)
		r.processQueue()
	case csraft.InstallSnapshot:
		r.installSnapshot(cmd.Snapshot)
	case csraft.Resolve:
		r.calls.resolve(cmd.ID, nil, cmd.Err)
	case csraft.Readable:
		r.applyQueue.commands = append(r.applyQueue.commands, cmd)
		r.processQueue()
	case csraft.BecameLeader:
		if f := r.options.Observe.Lead; f != nil {
			f(cmd.Term)
		}
		r.calls.resendAll()
	case csraft.BecameFollower:
		if f := r.options.Observe.Follow; f != nil {
			f(cmd.Term, cmd.Leader)
		}
		if cmd.Leader != "" {
			r.calls.resendAll()
		}
	case csraft.RaiseIncarnation:
		return r.raiseIncarnation(cmd.Incarnation)
	}
	return nil
}

func (r *runner) raiseIncarnation(i csmodel.Incarnation) error {
	r.incarnation = i
	r.calls.setIdentity(r.options.Config.Self, i)
	if r.store == nil {
		return nil
	}
	return r.store.setIncarnation(i)
}

func (r *runner) installSnapshot(s csraft.Snapshot) {
	if err := r.group.replica.restore(s); err != nil {
		panic(fmt.Errorf("install snapshot %d: %w", s.Index, err))
	}
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.dropQueuedEntries()
	r.notifyRestored(s.Index)
	r.calls.resolveApplied(r.group.replica.result)
}

func (r *runner) notifyRestored(i csmodel.Index) {
	if f := r.options.Observe.Restored; f != nil {
		f(i)
	}
}

func (r *runner) entryApplied(a appliedEntry, results map[csmodel.NodeID][]csraft.Proposal) {
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += csmodel.Bytes(len(a.Data))
	if f := r.options.Observe.Applied; a.isNew && f != nil {
		f(a.Entry, a.result)
	}
	switch node := a.Proposal.Node; {
	case a.err != nil || node == "":
	case node == r.options.Config.Self:
		r.calls.resolve(a.Proposal, a.result, nil)
	case r.core.Role() == csraft.Leader:
		results[node] = append(results[node], csraft.Proposal{ID: a.Proposal, Data: a.result})
	}
}

func (r *runner) sendResults(results map[csmodel.NodeID][]csraft.Proposal) {
	for _, n := range csmodel.SortedKeys(results) {
		for _, part := range csraft.SplitProposals(results[n], r.options.Config.MaxBatchBytes) {
			r.options.Send(n, csraft.Message{
				Kind: csraft.MessageResult, From: r.options.Config.Self, Incarnation: r.incarnation, Proposals: part,
			})
		}
	}
}

// diskFailed makes the node a non-voting follower until the folder can be reopened.
func (r *runner) diskFailed(err error) {
	r.store = nil
	r.err = err
	r.report(err)
	r.rebuildAt = r.now().Add(reopenDelay)
	// Reads queued behind these entries are dropped with them and resent, because the state machine lacks entries that were
	// committed before the reads.
	r.applyQueue.commands = nil
	r.execute(r.stepCore(csraft.DiskFailed{Applied: r.group.replica.lastApplied()}))
}

// handlePanic discards the core and resets the state machine, which may be partly modified. Both are rebuilt after a delay.
func (r *runner) handlePanic(p any) {
	r.core = nil
	r.store = nil
	r.applyQueue.commands = nil
	r.err = fmt.Errorf("%w: %v", errPanic, p)
	if r.options.Disk == nil {
		r.incarnation++ // acknowledged entries are lost
	}
	r.rebuildAt = r.now().Add(r.rebuildDelay)
	r.rebuildDelay = min(2*r.rebuildDelay, maxRebuildDelay)
	defer func() {
		if q := recover(); q != nil {
			r.err = fmt.Errorf("%w: %v; during recovery: %v", errPanic, p, q)
		}
	}()
	r.report(r.err)
	if err := r.group.replica.reset(); err != nil {
		r.report(err)
	}
}

func (r *runner) report(err error) {
	if f := r.options.Observe.Error; f != nil {
		f(err)
	}
}

// statusSource holds the values that Status reads concurrently with the actor.
type statusSource struct {
	mu             sync.Mutex // also held during Core.Step
	core           *csraft.Core
	err            error
	damagedFolders int
	logBytes       csmodel.Bytes
	pending        int
}

func (r *runner) publish() {
	source := &r.group.status
	source.mu.Lock()
	defer source.mu.Unlock()
	source.core = r.core
	source.err = r.err
	source.damagedFolders = r.damagedFolders
	source.pending = r.calls.count()
	source.logBytes = 0
	if r.store != nil {
		source.logBytes = r.store.log.Bytes()
	}
}

// Status returns the current state of this member.
func (g *Group) Status() Status {
	source := &g.status
	source.mu.Lock()
	defer source.mu.Unlock()
	s := Status{Group: g.options.Config.Group, Self: g.options.Config.Self, Err: source.err, Pending: source.pending, Damaged: source.damagedFolders}
	if source.core == nil {
		return s
	}
	c := source.core.Status(g.options.Clock.Now())
	s.Incarnation, s.Role, s.Term, s.Leader, s.Leading = c.Incarnation, c.Role, c.Term, c.Leader, c.Leading
	s.LastContact, s.Commit, s.Applied, s.First, s.Last = c.LastContact, c.Commit, c.Applied, c.First, c.Last
	s.LogBytes = source.logBytes
	if s.LogBytes == 0 {
		s.LogBytes = c.LogBytes
	}
	for _, m := range c.Members {
		s.Members = append(s.Members, MemberStatus{Member: m.Member, Match: m.Match, LastContact: m.LastContact})
	}
	return s
}
