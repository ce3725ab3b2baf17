package csrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// peer is another store as the leader sees it.
type peer struct {
	zone    csmodel.AvailabilityZone
	stamp   int64     // of its last report
	heardAt time.Time // when that arrived
	restTo  time.Time // it has refused an order as too old or one too many
	calls   int       // without an answer
	orders  []order   // for the next message
	specs   []string
	index   map[string]int // of specs
	size    int
	armed   bool // a message is due after ordersDelay
}

// waiter is a relayed call without an answer.
type waiter struct {
	via    csmodel.NodeID
	answer chan result // closed when the relaying store is lost
}

// caller is the part of a relay that works on the leader.
type caller struct {
	o Options

	mu       sync.Mutex
	last     uint64 // identifier of a call
	waiting  map[uint64]waiter
	peers    map[csmodel.NodeID]*peer
	detours  map[csjob.TargetID]detour
	rankings rankings
	counted  counted
	checked  time.Time // last search for lost stores
	changed  bool      // stores that the others have not been told of
	toldAt   time.Time // when they were told last
}

func newCaller(o Options) *caller {
	return &caller{
		// An answer to an earlier process at this address must not match a call of this one.
		o: o, last: uint64(o.Clock.Now().UnixNano()), waiting: map[uint64]waiter{}, peers: map[csmodel.NodeID]*peer{},
		detours: map[csjob.TargetID]detour{},
	}
}

// Start implements csrun.TargetClient.
func (c *caller) Start(ctx context.Context, t csjob.Target, o csrun.StartOrder) (csrun.Reply, error) {
	w := c.route(t)
	if w.via == "" {
		reply, err := c.o.Workers.Start(ctx, t, o)
		c.ended(ctx, t, w, err)
		return reply, err
	}
	a, err := c.exchange(ctx, t, w, o.Spec, order{
		Kind: orderStart, Task: o.Task, Attempt: o.Attempt, Until: o.LeaseEnd, Fence: o.Fence, Checkpoint: o.Checkpoint,
		Ticket: o.Ticket,
	})
	if a.refused() {
		again, cancel := c.again(ctx, 0)
		defer cancel()
		return c.o.Workers.Start(again, t, o)
	}
	return a.reply(), err
}

// Stop implements csrun.TargetClient.
func (c *caller) Stop(ctx context.Context, t csjob.Target, o csrun.StopOrder) (csrun.Reply, error) {
	w := c.route(t)
	if w.via == "" {
		reply, err := c.o.Workers.Stop(ctx, t, o)
		c.ended(ctx, t, w, err)
		return reply, err
	}
	a, err := c.exchange(ctx, t, w, "", order{Kind: orderStop, Task: o.Task, Attempt: o.Attempt, Fence: o.Fence})
	if a.refused() {
		again, cancel := c.again(ctx, 0)
		defer cancel()
		return c.o.Workers.Stop(again, t, o)
	}
	return a.reply(), err
}

// Poll implements csrun.TargetClient.
func (c *caller) Poll(ctx context.Context, t csjob.Target, o csrun.PollRequest) (csrun.PollResponse, error) {
	w := c.route(t)
	if w.via == "" {
		look, err := c.o.Workers.Poll(ctx, t, o)
		c.ended(ctx, t, w, err)
		return look, err
	}
	a, err := c.exchange(ctx, t, w, "", order{Kind: orderLook, Until: o.LeaseEnd, Fence: o.Fence, Noted: o.Acknowledged, Wait: o.Wait})
	if a.refused() {
		again, cancel := c.again(ctx, o.Wait)
		defer cancel()
		return c.o.Workers.Poll(again, t, o)
	}
	return a.look(), err
}

// again returns the time for a direct call after a store has refused the order. The order has certainly not been carried out,
// and its time for an exchange has not been used. The call is withdrawn with the first one's context, but does not share its
// deadline.
func (c *caller) again(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	out, cancel := context.WithTimeout(context.WithoutCancel(ctx), secondTry+wait)
	if errors.Is(ctx.Err(), context.Canceled) {
		cancel()
	}
	return out, cancel
}

// refused tells whether the relaying store has not carried out the order, and will not.
func (r *result) refused() bool { return r.Outcome == outcomeExpired || r.Outcome == outcomeFull }

// exchange relays a call. The deadline of the context is the time for the exchange with the target and begins when the
// relaying store sends the order; the leader waits answerSlack longer, so that a slow leader does not lose answers.
func (c *caller) exchange(ctx context.Context, t csjob.Target, w way, spec string, o order) (result, error) {
	deadline, limited := ctx.Deadline()
	o.Limit = orderLimit
	if limited {
		o.Limit = max(0, time.Until(deadline))
	}
	o.Target, o.Address = t.Incarnation.Target, t.Address
	id, answer := c.enqueue(w.via, spec, o)
	a, err := c.wait(ctx, answer, o.Limit+answerSlack)
	c.finish(id, w.via)
	if err == nil {
		err = a.failure()
	}
	if a.refused() {
		c.rest(w.via, a.Outcome)
	} else {
		c.ended(ctx, t, w, err)
	}
	if err != nil {
		return a, fmt.Errorf("%w (by %s)", err, w.via)
	}
	return a, nil
}

// wait returns the answer. The end of the context counts only where the call is withdrawn.
func (c *caller) wait(ctx context.Context, answer chan result, limit time.Duration) (result, error) {
	timer := c.o.Clock.NewTimer(limit)
	defer timer.Stop()
	for done := ctx.Done(); ; {
		select {
		case a, answered := <-answer:
			if !answered {
				return a, fmt.Errorf("%w: %w", csrun.ErrNoAnswer, errLost)
			}
			return a, nil
		case <-timer.Chan():
			return result{}, fmt.Errorf("%w: %w", csrun.ErrNoAnswer, errLate)
		case <-done:
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return result{}, fmt.Errorf("%w: %w", csrun.ErrNoAnswer, ctx.Err())
			}
			done = nil
		}
	}
}

// failure returns why an order has no answer that can be used.
func (r *result) failure() error {
	switch r.Outcome {
	case outcomeAnswered:
		return nil
	case outcomeMalformed:
		return fmt.Errorf("%w: %s", csrun.ErrMalformed, r.Cause)
	case outcomeExpired:
		return fmt.Errorf("%w: %w", csrun.ErrNoAnswer, errExpired)
	case outcomeFull:
		return fmt.Errorf("%w: %w", csrun.ErrNoAnswer, errFull)
	default:
		return fmt.Errorf("%w: %w: %s", csrun.ErrNoAnswer, errTarget, r.Cause)
	}
}

// enqueue adds an order to the next message to a store.
func (c *caller) enqueue(via csmodel.NodeID, spec string, o order) (uint64, chan result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := make(chan result, 1)
	c.last++
	o.ID = c.last
	p := c.peers[via]
	if p == nil { // lost since the way was chosen
		close(answer)
		return o.ID, answer
	}
	c.waiting[o.ID] = waiter{via, answer}
	o.Spec = p.intern(spec)
	p.orders = append(p.orders, o)
	p.size += o.size()
	switch {
	case p.size >= fullMessage:
		c.flush(via, p)
	case !p.armed:
		p.armed = true
		c.o.Clock.AfterFunc(ordersDelay, func() { c.flushDue(via) })
	}
	return o.ID, answer
}

// intern returns the index of a text in the next message.
func (p *peer) intern(spec string) int {
	if i, ok := p.index[spec]; ok {
		return i
	}
	if p.index == nil {
		p.index = map[string]int{}
	}
	p.specs = append(p.specs, spec)
	p.index[spec] = len(p.specs) - 1
	p.size += len(spec)
	return len(p.specs) - 1
}

func (c *caller) flushDue(via csmodel.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[via]; p != nil {
		p.armed = false
		c.flush(via, p)
	}
}

// flush sends the waiting orders. The caller holds the lock.
func (c *caller) flush(via csmodel.NodeID, p *peer) {
	if len(p.orders) == 0 {
		return
	}
	m := orders{Stamp: p.stamp, Specs: p.specs, Orders: p.orders}
	p.orders, p.specs, p.index, p.size = nil, nil, nil, 0
	c.counted.messages++
	if err := c.o.Sender.Send(via, cslink.Calls, KindOrders, encode(m), ""); err != nil {
		c.o.Log.Warn("orders not queued", zap.String("peer", string(via)), zap.Int("orders", len(m.Orders)), zap.Error(err))
		for _, o := range m.Orders {
			c.deliver(result{ID: o.ID, Outcome: outcomeUnanswered, Cause: errors.Join(errUnsent, err).Error()})
		}
	}
}

// deliver hands a result to the waiting call. The caller holds the lock.
func (c *caller) deliver(r result) {
	if w, ok := c.waiting[r.ID]; ok {
		select {
		case w.answer <- r:
		default: // a second result
		}
	}
}

// finish forgets a call.
func (c *caller) finish(id uint64, via csmodel.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.waiting[id]; !ok {
		return
	}
	delete(c.waiting, id)
	if p := c.peers[via]; p != nil {
		p.calls = max(0, p.calls-1)
	}
}

// reported takes in the report of a store.
func (c *caller) reported(from csmodel.NodeID, m report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[from]
	if p == nil {
		p = &peer{}
		c.peers[from] = p
		c.changed, c.rankings = true, rankings{}
		c.o.Log.Info("store can relay", zap.String("peer", string(from)), zap.String("zone", string(m.Zone)))
	}
	if p.zone != m.Zone {
		c.rankings = rankings{}
	}
	p.zone, p.stamp, p.heardAt = m.Zone, m.Stamp, c.o.Clock.Now()
	for _, r := range m.Results {
		c.deliver(r)
	}
	c.counted.signs += len(m.Signs)
}

// rest keeps calls away from a store for a moment.
func (c *caller) rest(n csmodel.NodeID, why outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counted.refused++
	p := c.peers[n]
	now := c.o.Clock.Now()
	if p == nil || now.Before(p.restTo) {
		return
	}
	p.restTo = now.Add(restFor)
	c.rankings = rankings{}
	c.o.Log.Info("store refuses orders", zap.String("peer", string(n)), zap.String("reason", outcomeNames[why]), zap.Int("calls", p.calls),
		zap.Duration("report", now.Sub(p.heardAt)))
}

// lose ends the calls that a store relays.
func (c *caller) lose(n csmodel.NodeID, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[n]
	if p == nil {
		return
	}
	delete(c.peers, n)
	c.changed, c.rankings = true, rankings{}
	for id, w := range c.waiting {
		if w.via == n {
			close(w.answer)
			delete(c.waiting, id)
		}
	}
	c.o.Log.Info("store relays nothing", zap.String("peer", string(n)), zap.String("reason", why), zap.Int("calls", p.calls),
		zap.Duration("silent", c.o.Clock.Now().Sub(p.heardAt)))
}

// expire drops stores without a report and detours that are over.
func (c *caller) expire() {
	c.mu.Lock()
	now := c.o.Clock.Now()
	var lost []csmodel.NodeID
	// A leader that was held up itself reads the reports that wait before it takes a store for lost.
	heldUp := now.Sub(c.checked) >= lostAfter
	c.checked = now
	for n, p := range c.peers {
		if now.Sub(p.heardAt) >= lostAfter && !heldUp {
			lost = append(lost, n)
		}
	}
	for id, d := range c.detours {
		if !now.Before(d.until) {
			delete(c.detours, id)
		}
	}
	c.counted.log(now, c.o.Log, len(c.peers), len(c.detours))
	c.mu.Unlock()
	for _, n := range lost {
		c.lose(n, "no report")
	}
}
