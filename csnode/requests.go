package csnode

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
)

// loadTicks is the number of ticks of requestsTick between two reports of the load.
const loadTicks = 2

// requestsActor runs the router, the idempotency keys and the slots held by this node.
type requestsActor struct {
	n       *Node
	router  *csrequest.Router
	keys    *csrequest.Keys
	holder  *cstarget.Holder
	ticks   int
	renewed time.Time // last look for due slot requests
	urgent  bool      // the demand changed since then
	woken   time.Time // time of the next wake message that is on its way
	forward map[csrequest.RequestID]csmodel.NodeID
}

// minRenew is the shortest time between two looks for due slot requests.
const minRenew = 20 * time.Millisecond

// wake lets the router handle a time that comes before the next tick.
type wake struct{}

type (
	arrival struct {
		event csrequest.RequestArrived
	}
	issueKeys struct {
		count int
		reply chan<- []csrequest.Key
	}
	beginDrain struct{}
	drainState struct{ reply chan<- bool }
	readLoads  struct{ reply chan<- []csrequest.Load }
	readLeases struct{ reply chan<- []csmodel.SlotLease }
)

func newRequestsActor(n *Node) *requestsActor { return &requestsActor{n: n} }

// Receive handles a message.
func (a *requestsActor) Receive(c actor.Context) {
	now := a.n.clock.Now()
	switch m := c.Message().(type) {
	case *actor.Started:
		a.start(now)
	case *actor.Stopping:
		a.run(a.router.Stop(now))
	case tick:
		a.tick(now)
	case wake:
		a.woken = time.Time{}
		a.step(now, csrequest.Tick{})
		a.renew(now)
	case arrival:
		a.step(now, m.event)
	case csrequest.Event:
		a.step(now, m)
	case forwardedMessage:
		a.forwarded(now, m)
	case cstarget.SlotGrant:
		if a.holder.ApplyGrant(m) {
			a.shareLeases(now)
			a.renew(now)
		}
	case summaryOf:
		a.summary(now, m)
	case configurationChanged:
		a.step(now, csrequest.Configure{Configuration: m.head.Configuration, Share: a.n.quotaShare()})
	case peerDown:
		a.lostPeer(now, m.node)
	case issueKeys:
		m.reply <- a.keys.Issue(now, m.count)
	case beginDrain:
		a.router.Drain(now)
	case drainState:
		m.reply <- a.router.Drained()
	case readLoads:
		m.reply <- a.router.Loads(now)
	case readLeases:
		m.reply <- a.holder.Leases(now)
	}
	a.schedule(now)
}

// schedule asks for a wake message where the router or a due slot request cannot wait for the next tick.
func (a *requestsActor) schedule(now time.Time) {
	if a.router == nil {
		return
	}
	next, ok := a.router.Next()
	if a.urgent && (!ok || next.After(a.renewed.Add(minRenew))) {
		next, ok = a.renewed.Add(minRenew), true
	}
	if !ok || next.After(now.Add(requestsTick)) || !a.woken.IsZero() && !next.Before(a.woken) {
		return
	}
	a.woken = next
	a.n.clock.AfterFunc(max(next.Sub(now), time.Millisecond), func() {
		if a.n.life.Err() == nil {
			a.n.send(a.n.tree.requests, wake{})
		}
	})
}

// start begins without requests. Callers of a failed predecessor get their outcome from what was sent for them.
func (a *requestsActor) start(now time.Time) {
	a.n.waiters.failAll()
	a.n.attempts.abortAll()
	// A restarted child must not issue or accept the keys of its predecessor, whose records it may have lost.
	incarnation := csmodel.Incarnation(now.UnixMicro())
	a.keys = csrequest.NewKeys(csrequest.KeysConfig{Node: a.n.settings.Node, Incarnation: incarnation})
	if err := a.n.journal.restore(now, a.keys); err != nil {
		a.n.log.Error("key records not restored", zap.Error(err))
	}
	a.router = csrequest.NewRouter(csrequest.Config{
		Node: a.n.settings.Node, Incarnation: incarnation, Zone: a.n.settings.Zone, Keys: a.keys,
	})
	a.holder = cstarget.NewHolder(cstarget.HolderConfig{
		Node: a.n.settings.Node, Incarnation: incarnation, Zone: a.n.settings.Zone,
	})
	a.forward = map[csrequest.RequestID]csmodel.NodeID{}
	if head := a.n.Active(); head.Revision > 0 {
		a.step(now, csrequest.Configure{Configuration: head.Configuration, Share: a.n.quotaShare()})
	}
}

// quotaShare is this node's part of each team's quota: callers reach the nodes of the region evenly.
func (n *Node) quotaShare() float64 {
	return 1 / float64(1+len(n.peers(n.settings.Region)))
}

func (a *requestsActor) step(now time.Time, e csrequest.Event) { a.run(a.router.Step(now, e)) }

func (a *requestsActor) run(commands []csrequest.Command) {
	var records []csrequest.Record
	for _, command := range commands {
		switch c := command.(type) {
		case csrequest.Record:
			records = append(records, c)
		case csrequest.Dispatch:
			a.n.dispatch(c)
		case csrequest.Abort:
			a.n.attempts.abort(c.Attempt)
		case csrequest.Forward:
			a.sendForward(c)
		case csrequest.Reply:
			delete(a.forward, c.ID)
			a.n.metrics.observeOutcome(c)
			a.n.waiters.resolve(c)
		case csrequest.Demand:
			a.holder.SetDemand(c.SlotDemand)
			a.urgent = true
		}
	}
	a.n.journal.append(records)
}

func (a *requestsActor) sendForward(c csrequest.Forward) {
	w, ok := a.n.waiters.get(c.ID)
	if !ok {
		return
	}
	message := encode(forwardMessage{
		ID: c.ID, Job: w.job, Team: w.team, Key: w.key, Timeout: c.Timeout, Body: w.body,
	})
	a.forward[c.ID] = c.Node
	w.sent.Store(true)
	if err := a.n.post(c.Node, cslink.Data, kindForward, message, ""); err != nil {
		w.sent.Store(false)
		delete(a.forward, c.ID)
		a.n.send(a.n.tree.requests, csrequest.ForwardFailed{ID: c.ID})
	}
}

func (a *requestsActor) forwarded(now time.Time, m forwardedMessage) {
	a.step(now, csrequest.ForwardAnswered{
		ID: m.ID, Outcome: m.Outcome, Answer: m.Answer, Reason: m.Reason, RetryAfter: m.RetryAfter,
	})
}

// lostPeer ends what was forwarded to a node whose link is down. The node may have received it.
func (a *requestsActor) lostPeer(now time.Time, node csmodel.NodeID) {
	for _, id := range csmodel.SortedKeys(a.forward) {
		if a.forward[id] == node {
			delete(a.forward, id)
			a.step(now, csrequest.ForwardFailed{ID: id, Sent: true})
		}
	}
}

func (a *requestsActor) summary(now time.Time, m summaryOf) {
	a.holder.SetSummaries(m.node, m.pools)
	if !a.n.self(m.node) {
		a.step(now, csrequest.SummariesChanged{Node: m.node, Pools: m.pools})
	}
}

func (a *requestsActor) shareLeases(now time.Time) {
	leases := a.holder.Leases(now)
	a.step(now, csrequest.SlotsChanged{Leases: leases})
}

func (a *requestsActor) tick(now time.Time) {
	a.step(now, csrequest.Tick{})
	a.renew(now)
	a.ticks++
	if a.ticks%loadTicks != 0 {
		return
	}
	a.keys.Tick(now)
	a.n.journal.compact(now, a.keys)
	a.shareLeases(now)
	loads := a.router.Loads(now)
	a.n.metrics.observeLoads(loads)
	a.n.send(a.n.tree.targets, loadsChanged{loads: poolLoads(loads), waits: a.router.Waits(now)})
}

// renew sends the slot requests that are due.
func (a *requestsActor) renew(now time.Time) {
	if now.Sub(a.renewed) < minRenew {
		a.urgent = true
		return
	}
	a.renewed = now
	a.urgent = false
	var uses []cstarget.TargetUse
	for _, u := range a.router.TargetUsage() {
		uses = append(uses, cstarget.TargetUse(u))
	}
	a.holder.UpdateUses(uses)
	for _, r := range a.holder.Requests(now) {
		if a.n.self(r.Home) {
			a.n.send(a.n.tree.targets, r.Request)
			continue
		}
		a.n.notify(r.Home, kindSlots, encode(r.Request), "slots")
	}
}

func poolLoads(loads []csrequest.Load) []poolLoad {
	var out []poolLoad
	for _, l := range loads {
		out = append(out, poolLoad{Pool: l.Pool, Arrivals: l.Arrivals, Queued: l.Queued, Busy: l.Busy})
	}
	return out
}

// acceptForwarded takes a request that another node sent to the owner of its key.
func (n *Node) acceptForwarded(from csmodel.NodeID, m forwardMessage) {
	n.arrive(&waiter{job: m.Job, team: m.Team, key: m.Key, body: m.Body, reply: func(r csrequest.Reply) {
		payload := encode(forwardedMessage{
			ID: m.ID, Outcome: r.Outcome, Answer: r.Answer, Reason: r.Reason, RetryAfter: r.RetryAfter,
		})
		if err := n.post(from, cslink.Data, kindForwarded, payload, ""); err != nil {
			n.log.Warn("forwarded outcome not queued", zap.String("peer", string(from)), zap.Error(err))
		}
	}}, m.Timeout, true)
}
