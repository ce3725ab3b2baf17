package csrelay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// detourFor is how long another way to a target is used after an unanswered call. It is longer than most partitions;
	// each change of the way costs a new connection to the target.
	detourFor = 15 * time.Second
	// relaysFirst is the number of relaying stores that are tried before the leader calls the target itself. After that the
	// first one is tried again: where none of these ways works, the target is more likely at fault, and each further store
	// would open new connections to it.
	relaysFirst = 2
	// leaderRests is the number of other stores from which on the leader calls no target first. With 8 stores in 4 zones of
	// which one is lost, the leader made a fourth of all calls for its own zone.
	leaderRests = 4
	// secondTry is the time for the exchange with a target after a store has refused the order: that of the first try.
	secondTry = 200 * time.Millisecond
	// tellEvery is the interval in which the leader tells the other stores which of them take part.
	tellEvery = time.Second
)

// detour tells how many ways to a target are skipped.
type detour struct {
	skip  int
	until time.Time
}

// way is how a target is called: by a store, or by this one where via is empty.
type way struct {
	via  csmodel.NodeID
	skip int // number of ways that were skipped
}

// candidate is a store that can relay.
type candidate struct {
	node  csmodel.NodeID
	local bool // in the availability zone of the target
	score uint64
}

// members returns the stores that take part, the leader first. The caller holds the lock.
func (c *caller) members(now time.Time) []member {
	out := append(make([]member, 0, len(c.peers)+1), member{Node: c.o.Self, Zone: c.o.Zone})
	for n, p := range c.peers {
		if !now.Before(p.restTo) {
			out = append(out, member{Node: n, Zone: p.zone})
		}
	}
	return out
}

// best returns the store that is responsible for a target.
func (c *caller) best(t csjob.Target) csmodel.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranked(c.o.Clock.Now(), t)[0]
}

// rankings remembers the order of the stores for each target while the same stores take part. The zero value is empty.
type rankings struct {
	until  time.Time // when a store that rests takes part again; zero if none rests
	ranked map[rankedTarget][]csmodel.NodeID
}

type rankedTarget struct {
	target csjob.TargetID
	zone   csmodel.AvailabilityZone
}

// maxRankings bounds the targets that are remembered. A deployment of 1,100 targets has 5,000 incarnations in a minute of busy
// turns.
const maxRankings = 8192

// ranked returns the stores that can call a target, best first. The caller holds the lock and must not modify the result.
func (c *caller) ranked(now time.Time, t csjob.Target) []csmodel.NodeID {
	r := &c.rankings
	if r.ranked == nil || len(r.ranked) >= maxRankings || (!r.until.IsZero() && !now.Before(r.until)) {
		*r = rankings{ranked: map[rankedTarget][]csmodel.NodeID{}}
		for _, p := range c.peers {
			if now.Before(p.restTo) && (r.until.IsZero() || p.restTo.Before(r.until)) {
				r.until = p.restTo
			}
		}
	}
	key := rankedTarget{t.Incarnation.Target, t.Zone}
	ways, known := r.ranked[key]
	if !known {
		ways = rank(c.members(now), t)
		r.ranked[key] = ways
	}
	return ways
}

// tell sends the list of stores to all of them, so that targets send their heartbeats to the stores that call them.
func (c *caller) tell() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	if !c.changed && now.Sub(c.toldAt) < tellEvery {
		return
	}
	c.changed, c.toldAt = false, now
	stores := c.members(now)
	for n, p := range c.peers {
		// A list that is lost is sent again.
		if err := c.o.Sender.Send(n, cslink.Calls, KindOrders, encode(orders{Stamp: p.stamp, Stores: stores}), ""); err != nil {
			c.o.Log.Debug("list of stores not queued", zap.String("peer", string(n)), zap.Error(err))
		}
	}
}

// route chooses the way to a target and counts the call there.
func (c *caller) route(t csjob.Target) way {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	ways := c.ranked(now, t)
	w := way{}
	if d, ok := c.detours[t.Incarnation.Target]; ok && now.Before(d.until) {
		w.skip = d.skip
	}
	if w.via = ways[w.skip%min(len(ways), relaysFirst+1)]; w.via == c.o.Self {
		w.via = ""
	}
	p := c.peers[w.via]
	if p != nil && p.calls >= maxCalls {
		c.counted.full++
		p, w.via = nil, ""
	}
	if p == nil {
		c.counted.direct++
	} else {
		c.counted.relayed++
		p.calls++
	}
	return w
}

// rank returns the stores that can call a target, best first: rendezvous hashing, stores in the target's availability zone
// before others. The leader is the first member given. In a small group it comes first where it is the only store in the target's
// zone.
func rank(members []member, t csjob.Target) []csmodel.NodeID {
	leader := members[0]
	stores := make([]candidate, 0, len(members))
	for _, m := range members[1:] {
		stores = append(stores, candidate{m.Node, m.Zone == t.Zone, xxhash.Sum64String(string(m.Node) + "/" + string(t.Incarnation.Target))})
	}
	slices.SortFunc(stores, func(a, b candidate) int {
		switch {
		case a.local != b.local && a.local, a.local == b.local && a.score > b.score:
			return -1
		case a == b:
			return 0
		default:
			return 1
		}
	})
	at := min(relaysFirst, len(stores))
	if leader.Zone == t.Zone && len(stores) < leaderRests && (len(stores) == 0 || !stores[0].local) {
		at = 0
	}
	out := make([]csmodel.NodeID, 0, len(stores)+1)
	for _, s := range stores {
		out = append(out, s.node)
	}
	return slices.Insert(out, at, leader.Node)
}

// ended notes the end of a call. After an unanswered one the next call to the target takes another way, so that a store
// that is cut off from a target does not make it look silent. A call that was withdrawn tells nothing.
func (c *caller) ended(ctx context.Context, t csjob.Target, w way, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := "direct"
	if w.via != "" {
		kind = "relayed"
	}
	if err == nil {
		c.o.Metrics.calls.WithLabelValues(kind + "_answered").Inc()
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.o.Metrics.calls.WithLabelValues(kind + "_failed").Inc()
	c.counted.failed++
	if !errors.Is(err, csrun.ErrNoAnswer) || len(c.peers) == 0 {
		return
	}
	d := c.detours[t.Incarnation.Target]
	if d.skip == w.skip { // otherwise a call that was made at the same time has changed the way
		c.detours[t.Incarnation.Target] = detour{skip: d.skip + 1, until: c.o.Clock.Now().Add(detourFor)}
	}
}

// counted adds up calls for a line in the log.
type counted struct {
	since    time.Time
	relayed  int
	direct   int
	failed   int
	full     int // made directly because the relaying store had too many
	refused  int // made directly because the relaying store has refused the order
	messages int
	signs    int // heartbeats that other stores have acknowledged
}

func (n *counted) log(now time.Time, log *zap.Logger, peers, detours int) {
	if now.Sub(n.since) < reportLog {
		return
	}
	if n.relayed+n.direct+n.signs > 0 {
		log.Info("calls to targets", zap.Duration("for", now.Sub(n.since)), zap.Int("relayed", n.relayed), zap.Int("direct", n.direct),
			zap.Int("failed", n.failed), zap.Int("full", n.full), zap.Int("refused", n.refused), zap.Int("messages", n.messages), zap.Int("stores", peers),
			zap.Int("detours", detours), zap.Int("signs", n.signs))
	}
	*n = counted{since: now}
}
