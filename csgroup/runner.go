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

// Delays before a failed group is built again.
const (
	reopenDelay  = 5 * time.Second // after a disk error
	rebuildLeast = time.Second     // after a panic; doubles
	rebuildMost  = 30 * time.Second
)

// errPanic reports a panic of the machine, a hook or the group itself.
var errPanic = errors.New("csgroup: panic")

// Messages of the actor.
type (
	tick struct {
		done func()
	}
	received struct{ message csraft.Message }
	flush    struct{}
	drain    struct{}
)

// runner is the actor of a group.
type runner struct {
	group *Group
	o     Options
	core  *csraft.Core // nil while a panic is not repaired
	store *store       // nil for a node without a disk and after a disk error
	calls calls
	tasks tasks

	appends  []csraft.Message // entries of a leader that wait for those behind them in the mailbox
	draining bool             // a drain message is on the way

	startsAt    time.Time // next attempt to build the group again; zero where it works
	builtAt     time.Time
	delay       time.Duration // before the next attempt after a panic
	incarnation csmodel.Incarnation
	sinceBytes  csmodel.Bytes // applied since the last snapshot
	sinceCount  int
	err         error
	damaged     int
}

func newRunner(g *Group) *runner {
	return &runner{group: g, o: g.options, delay: rebuildLeast}
}

// Receive implements actor.Actor. A panic ends the work of this group only, which is then built again.
func (r *runner) Receive(ctx actor.Context) {
	defer r.publish()
	defer func() {
		if p := recover(); p != nil {
			r.panicked(p)
		}
	}()
	if m, ok := ctx.Message().(*received); ok && m.message.Kind == csraft.MessageAppend {
		r.group.queued.Add(-1)
		r.queueAppend(ctx, m.message)
		return
	}
	r.drain() // messages keep their order
	switch m := ctx.Message().(type) {
	case *actor.Started:
		r.incarnation = r.o.Config.Incarnation
		r.build()
	case *actor.Stopping:
		r.calls.stop()
		r.group.halt()
	case *tick:
		m.done()
		r.tick()
	case *received:
		r.group.queued.Add(-1)
		r.receive(ctx, m.message)
	case *call:
		r.call(ctx, m)
	case *flush:
		r.flush()
	case *appliedBatch:
		r.batchApplied(m)
	case *drain:
		r.draining = false
	case func():
		m()
	}
}

// queueAppend joins the entries of a leader that wait in the mailbox, so that one sync of the disk saves all of them. A
// leader sends entries about as often as one disk can sync; a voter that synced for each message would fall behind for as
// long as the load lasts.
func (r *runner) queueAppend(ctx actor.Context, m csraft.Message) {
	if n := len(r.appends); n > 0 {
		if joined, ok := csraft.JoinAppends(r.appends[n-1], m); ok {
			r.appends[n-1] = joined
			return
		}
	}
	r.appends = append(r.appends, m)
	if !r.draining {
		r.draining = true
		ctx.Send(ctx.Self(), &drain{})
	}
}

// drain handles the entries that have been joined. A panic ends this only: the message behind them is handled as well.
func (r *runner) drain() {
	defer func() {
		if p := recover(); p != nil {
			r.panicked(p)
		}
	}()
	appends := r.appends
	r.appends = nil
	for _, m := range appends {
		r.step(csraft.Receive{Message: m})
	}
}

func (r *runner) now() time.Time { return r.o.Clock.Now() }

// build starts the core from the folder, and from the machine's state where the machine is ahead of it.
func (r *runner) build() {
	r.startsAt = time.Time{}
	r.builtAt = r.now()
	c := r.o.Config
	if r.incarnation == 0 {
		r.incarnation = csmodel.Incarnation(r.now().UnixMicro())
	}
	var restored csraft.Restored
	var openErr error
	if r.o.Disk != nil {
		restored, openErr = r.open()
	}
	c.Incarnation = r.incarnation
	r.tasks.queue = nil
	if r.group.replica.index() < restored.Snapshot.Index {
		if err := r.group.replica.restore(restored.Snapshot); err != nil {
			r.report(fmt.Errorf("restore snapshot %d: %w", restored.Snapshot.Index, err))
			panic(err)
		}
		r.restoredHook(restored.Snapshot.Index)
	}
	restored.Applied = r.group.replica.index()
	r.core = csraft.New(c, restored)
	r.calls.begin(c.Self, r.incarnation)
	if openErr != nil {
		r.diskFailed(openErr)
		return
	}
	r.err = nil
}

func (r *runner) open() (csraft.Restored, error) {
	r.store = nil
	rewrite := r.err != nil
	s, restored, err := openStore(r.o.Disk, r.incarnation, rewrite, func(err error) {
		r.damaged++
		r.report(err)
		// Above the incarnation of the damaged folder, also where the clock was set back.
		r.incarnation = max(r.incarnation+1, csmodel.Incarnation(r.now().UnixMicro()))
	})
	if err != nil {
		return csraft.Restored{}, err
	}
	r.store = s
	r.incarnation = s.identity.Incarnation
	r.calls.start(s.identity.Starts)
	return restored, nil
}

func (r *runner) tick() {
	now := r.now()
	if !r.startsAt.IsZero() && !now.Before(r.startsAt) && !r.tasks.busy {
		r.build()
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
	if now.Sub(r.builtAt) > 2*rebuildMost {
		r.delay = rebuildLeast
	}
}

// step hands an event to the core, executes the commands and takes a snapshot where one is due.
func (r *runner) step(e csraft.Event) {
	if r.core == nil {
		return
	}
	r.execute(r.stepCore(e))
	r.finish()
}

// compact takes a snapshot.
func (r *runner) compact() {
	r.sinceCount, r.sinceBytes = 0, 0
	data, index, err := r.group.replica.snapshot()
	if err != nil {
		r.report(err)
		return
	}
	r.execute(r.stepCore(csraft.Compact{Index: index, Data: data}))
}

func (r *runner) stepCore(e csraft.Event) []csraft.Command {
	r.group.status.mu.Lock()
	defer r.group.status.mu.Unlock()
	return r.core.Step(r.now(), e)
}

func (r *runner) execute(commands []csraft.Command) {
	var failed error
	for _, o := range commands {
		if failed != nil {
			// Only a state that is already committed elsewhere may be used after a failed Save.
			if i, ok := o.(csraft.Install); ok {
				r.install(i.Snapshot)
			}
			continue
		}
		failed = r.executeOne(o)
	}
	if failed != nil {
		r.diskFailed(failed)
	}
}

func (r *runner) executeOne(o csraft.Command) error {
	switch o := o.(type) {
	case csraft.Save:
		if r.store != nil {
			return r.store.save(o)
		}
	case csraft.Send:
		r.o.Send(o.To, o.Message)
	case csraft.Apply:
		r.tasks.queue = append(r.tasks.queue, o)
		r.work()
	case csraft.Install:
		r.install(o.Snapshot)
	case csraft.Resolve:
		r.calls.resolve(o.ID, nil, o.Err)
	case csraft.Readable:
		r.tasks.queue = append(r.tasks.queue, o)
		r.work()
	case csraft.Lead:
		if f := r.o.Observe.Lead; f != nil {
			f(o.Term)
		}
		r.calls.hurry()
	case csraft.Follow:
		if f := r.o.Observe.Follow; f != nil {
			f(o.Term, o.Leader)
		}
		if o.Leader != "" {
			r.calls.hurry()
		}
	case csraft.Renumber:
		return r.renumber(o.Incarnation)
	}
	return nil
}

func (r *runner) renumber(i csmodel.Incarnation) error {
	r.incarnation = i
	r.calls.begin(r.o.Config.Self, i)
	if r.store == nil {
		return nil
	}
	return r.store.renumber(i)
}

func (r *runner) install(s csraft.Snapshot) {
	if err := r.group.replica.restore(s); err != nil {
		panic(fmt.Errorf("install snapshot %d: %w", s.Index, err))
	}
	r.sinceCount, r.sinceBytes = 0, 0
	r.dropEntries()
	r.restoredHook(s.Index)
	r.calls.settle(r.group.replica.result)
}

func (r *runner) restoredHook(i csmodel.Index) {
	if f := r.o.Observe.Restored; f != nil {
		f(i)
	}
}

func (r *runner) applied(a applied, results map[csmodel.NodeID][]csraft.Proposal) {
	r.sinceCount++
	r.sinceBytes += csmodel.Bytes(len(a.Data))
	if f := r.o.Observe.Applied; a.fresh && f != nil {
		f(a.Entry, a.result)
	}
	switch node := a.Proposal.Node; {
	case a.err != nil || node == "":
	case node == r.o.Config.Self:
		r.calls.resolve(a.Proposal, a.result, nil)
	case r.core.Role() == csraft.Leader:
		results[node] = append(results[node], csraft.Proposal{ID: a.Proposal, Data: a.result})
	}
}

func (r *runner) sendResults(results map[csmodel.NodeID][]csraft.Proposal) {
	for _, n := range csmodel.SortedKeys(results) {
		for _, part := range csraft.SplitProposals(results[n], r.o.Config.Batch) {
			r.o.Send(n, csraft.Message{
				Kind: csraft.MessageResult, From: r.o.Config.Self, Incarnation: r.incarnation, Proposals: part,
			})
		}
	}
}

// diskFailed makes the node follow without a vote until the folder can be opened again.
func (r *runner) diskFailed(err error) {
	r.store = nil
	r.err = err
	r.report(err)
	r.startsAt = r.now().Add(reopenDelay)
	// Reads that wait for these entries go with them, and are asked for again: the machine misses what was committed before.
	r.tasks.queue = nil
	r.execute(r.stepCore(csraft.Detach{Applied: r.group.replica.index()}))
}

// panicked drops the core. The machine may be half changed, so it starts over as well.
func (r *runner) panicked(p any) {
	r.core = nil
	r.store = nil
	r.tasks.queue = nil
	r.err = fmt.Errorf("%w: %v", errPanic, p)
	if r.o.Disk == nil {
		r.incarnation++ // acknowledged entries are lost
	}
	r.startsAt = r.now().Add(r.delay)
	r.delay = min(2*r.delay, rebuildMost)
	defer func() {
		if q := recover(); q != nil {
			r.err = fmt.Errorf("%w: %v, then %v", errPanic, p, q)
		}
	}()
	r.report(r.err)
	if err := r.group.replica.reset(); err != nil {
		r.report(err)
	}
}

func (r *runner) report(err error) {
	if f := r.o.Observe.Error; f != nil {
		f(err)
	}
}

// statusBox guards what Status reads while the actor works.
type statusBox struct {
	mu       sync.Mutex // also held while the core decides
	core     *csraft.Core
	err      error
	damaged  int
	logBytes csmodel.Bytes
	pending  int
}

func (r *runner) publish() {
	b := &r.group.status
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core = r.core
	b.err = r.err
	b.damaged = r.damaged
	b.pending = r.calls.count()
	b.logBytes = 0
	if r.store != nil {
		b.logBytes = r.store.log.Bytes()
	}
}

// Status returns the current state.
func (g *Group) Status() Status {
	b := &g.status
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Group: g.options.Config.Group, Self: g.options.Config.Self, Err: b.err, Pending: b.pending, Damaged: b.damaged}
	if b.core == nil {
		return s
	}
	c := b.core.Status(g.options.Clock.Now())
	s.Incarnation, s.Role, s.Term, s.Leader, s.Leading = c.Incarnation, c.Role, c.Term, c.Leader, c.Leading
	s.LastContact, s.Commit, s.Applied, s.First, s.Last = c.Contact, c.Commit, c.Applied, c.First, c.Last
	s.LogBytes = b.logBytes
	if s.LogBytes == 0 {
		s.LogBytes = c.Bytes
	}
	for _, m := range c.Members {
		s.Members = append(s.Members, MemberStatus{Member: m.Member, Match: m.Match, LastContact: m.Contact})
	}
	return s
}
