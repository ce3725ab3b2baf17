package csgroup

import (
	"errors"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// startCountShift is the bit position of the start count in a sequence number, so that two starts of a node from the same
// folder never use the same proposal ID.
const startCountShift = 40

// calls tracks the calls of this node that wait for their outcome.
type calls struct {
	self        csmodel.NodeID
	incarnation csmodel.Incarnation
	sequence    uint64
	queue       []*call // without a sequence number
	pending     map[uint64]*call
	lowest      uint64 // lower bound of the pending sequence numbers
	reads       map[uint64]*call
	lastRead    uint64
	transfers   []*call
	flushing    bool // a flushCallsMessage is in the mailbox
	forwarded   []csraft.Proposal
}

func (c *calls) setIdentity(self csmodel.NodeID, i csmodel.Incarnation) {
	c.self = self
	c.incarnation = i
	if c.pending == nil {
		c.pending = map[uint64]*call{}
		c.reads = map[uint64]*call{}
	}
}

// setStartCount moves the sequence numbers past those of earlier starts of this folder.
func (c *calls) setStartCount(starts uint64) {
	if c.sequence == 0 {
		c.sequence = starts << startCountShift
		c.lastRead = c.sequence
	}
}

func (c *calls) count() int { return len(c.queue) + len(c.pending) + len(c.reads) + len(c.transfers) }

// resendAll makes all proposals and reads due for the new leader.
func (c *calls) resendAll() {
	for _, k := range c.pending {
		k.sentAt = time.Time{}
	}
	for _, k := range c.reads {
		k.sentAt = time.Time{}
	}
}

func (c *calls) resolve(id csraft.ProposalID, result []byte, err error) {
	k, ok := c.pending[id.Sequence]
	if !ok || id != k.proposal.ID {
		return
	}
	if errors.Is(err, csraft.ErrNotLeader) {
		return // resent by dueProposals
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	}
	delete(c.pending, id.Sequence)
	k.finish(result, err)
}

// resolveApplied finishes the calls whose results are contained in an installed snapshot.
func (c *calls) resolveApplied(result func(csraft.ProposalID) ([]byte, bool, error)) {
	for _, s := range csmodel.SortedKeys(c.pending) {
		id := c.pending[s].proposal.ID
		if b, found, err := result(id); found && err == nil {
			c.resolve(id, b, nil)
		}
	}
}

func (c *calls) finishRead(id uint64) {
	if k, ok := c.reads[id]; ok {
		delete(c.reads, id)
		k.finish(nil, nil)
	}
}

// assignSequences assigns sequence numbers to queued calls as long as all pending calls stay within csraft.SessionWindow.
func (c *calls) assignSequences() {
	for len(c.queue) > 0 && c.sequence+1 < c.lowestPending()+csraft.SessionWindow {
		k := c.queue[0]
		c.queue = c.queue[1:]
		if k.ended() {
			continue
		}
		c.sequence++
		k.proposal.ID = csraft.ProposalID{Node: c.self, Incarnation: c.incarnation, Sequence: c.sequence}
		c.pending[c.sequence] = k
	}
}

func (c *calls) lowestPending() uint64 {
	if len(c.pending) == 0 {
		return c.sequence + 1
	}
	for c.lowest <= c.sequence {
		if _, ok := c.pending[c.lowest]; ok {
			return c.lowest
		}
		if c.lowest+2*csraft.SessionWindow < c.sequence {
			c.lowest = c.sequence - csraft.SessionWindow
			continue
		}
		c.lowest++
	}
	return c.sequence + 1
}

// dropEnded removes the calls whose callers have stopped waiting.
func (c *calls) dropEnded(forget func(uint64)) {
	for s, k := range c.pending {
		if k.ended() {
			delete(c.pending, s)
		}
	}
	for id, k := range c.reads {
		if k.ended() {
			delete(c.reads, id)
			forget(id)
		}
	}
}

// failUnsent fails the unsent proposals with ErrNoLeader, so that their callers do not wait until their contexts end.
func (c *calls) failUnsent() {
	for _, k := range c.queue {
		if k.stage.CompareAndSwap(stageWaiting, stageAbandoned) {
			k.finish(nil, ErrNoLeader)
		}
	}
	c.queue = nil
}

// failAll fails all calls when the actor stops: with ErrTimeout if the outcome is unknown, else with ErrClosed.
func (c *calls) failAll() {
	all := append(c.queue, c.transfers...)
	for _, k := range c.pending {
		all = append(all, k)
	}
	for _, k := range c.reads {
		all = append(all, k)
	}
	for _, k := range all {
		if k.kind == callTransfer || k.kind == callRead || k.stage.CompareAndSwap(stageWaiting, stageAbandoned) {
			k.finish(nil, ErrClosed)
			continue
		}
		k.finish(nil, ErrTimeout)
	}
}

// startCall starts a transfer or read at once and queues a proposal for the next batch.
func (r *runner) startCall(ctx actor.Context, k *call) {
	switch k.kind {
	case callTransfer:
		r.calls.transfers = append(r.calls.transfers, k)
		r.step(csraft.Transfer{})
		r.finishTransfers()
	case callRead:
		r.calls.lastRead++
		r.calls.reads[r.calls.lastRead] = k
		r.sendRead(r.calls.lastRead, k, r.now())
	default:
		r.calls.queue = append(r.calls.queue, k)
		r.scheduleFlush(ctx)
	}
}

// scheduleFlush sends the actor a message behind those now in its mailbox, so that all their proposals form one batch.
func (r *runner) scheduleFlush(ctx actor.Context) {
	if !r.calls.flushing {
		r.calls.flushing = true
		ctx.Send(ctx.Self(), &flushCallsMessage{})
	}
}

func (r *runner) flushCalls() {
	r.calls.flushing = false
	if r.core == nil {
		r.calls.forwarded = nil
		return
	}
	batch := r.dueProposals(r.now())
	if r.core.Role() == csraft.Leader {
		batch = append(batch, r.calls.forwarded...)
	}
	r.calls.forwarded = nil
	if len(batch) > 0 {
		r.step(csraft.Propose{Proposals: batch})
	}
}

// dueProposals returns the proposals to send or resend now.
func (r *runner) dueProposals(now time.Time) []csraft.Proposal {
	if !r.core.Routed() {
		return nil
	}
	r.calls.assignSequences()
	var batch []csraft.Proposal
	for _, s := range csmodel.SortedKeys(r.calls.pending) {
		k := r.calls.pending[s]
		if !k.sentAt.IsZero() && now.Sub(k.sentAt) < r.options.Resend {
			continue
		}
		if !k.markSent() {
			delete(r.calls.pending, s)
			continue
		}
		k.attempts++
		k.sentAt = now
		batch = append(batch, k.proposal)
	}
	return batch
}

func (r *runner) resend(now time.Time) {
	r.calls.dropEnded(r.core.ForgetRead)
	if d := r.options.GiveUp; d > 0 && !r.core.Routed() && r.core.NoLeaderContactFor(d) {
		r.calls.failUnsent()
	}
	if batch := r.dueProposals(now); len(batch) > 0 {
		r.step(csraft.Propose{Proposals: batch})
	}
	for _, id := range csmodel.SortedKeys(r.calls.reads) {
		if k := r.calls.reads[id]; k.sentAt.IsZero() || now.Sub(k.sentAt) >= r.options.Resend {
			r.sendRead(id, k, now)
		}
	}
}

func (r *runner) sendRead(id uint64, k *call, now time.Time) {
	k.sentAt = now
	r.step(csraft.Read{ID: id})
}

// finishTransfers ends the transfers when this node does not lead or no other voter is reachable.
func (r *runner) finishTransfers() {
	transferable := r.core != nil && r.core.Role() == csraft.Leader && r.core.CanTransfer()
	var kept []*call
	for _, k := range r.calls.transfers {
		switch {
		case !transferable:
			k.finish(nil, nil)
		case !k.ended():
			kept = append(kept, k)
		}
	}
	r.calls.transfers = kept
}

// receiveMessage passes a message to the core, except results and the proposals forwarded to a leader, which join its next batch.
func (r *runner) receiveMessage(ctx actor.Context, m csraft.Message) {
	switch {
	case r.core == nil:
	case m.Kind == csraft.MessageResult:
		r.receiveResults(m)
	case m.Kind == csraft.MessagePropose && r.core.Role() == csraft.Leader:
		r.receiveForwarded(ctx, m)
	default:
		r.step(csraft.Receive{Message: m})
	}
}

// receiveForwarded replies to proposals that were already applied and adds the others to the next batch.
func (r *runner) receiveForwarded(ctx actor.Context, m csraft.Message) {
	known := map[csmodel.NodeID][]csraft.Proposal{}
	for _, p := range m.Proposals {
		result, found, err := r.group.replica.result(p.ID)
		switch {
		case err != nil: // csraft.ErrExpired: the outcome is unknown and the proposal must not run
		case found:
			known[p.ID.Node] = append(known[p.ID.Node], csraft.Proposal{ID: p.ID, Data: result})
		default:
			r.calls.forwarded = append(r.calls.forwarded, p)
		}
	}
	r.sendResults(known)
	if len(r.calls.forwarded) > 0 {
		r.scheduleFlush(ctx)
	}
}

func (r *runner) receiveResults(m csraft.Message) {
	for _, p := range m.Proposals {
		var err error
		if m.Reject {
			err = errors.New(string(m.Data))
		}
		r.calls.resolve(p.ID, p.Data, err)
	}
}
