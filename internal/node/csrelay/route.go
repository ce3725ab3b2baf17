package csrelay

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// detourFor is how long another way to a target is used after an unanswered call. It is longer than most partitions;
	// each change of the way costs a new connection to the target.
	detourFor = 15 * time.Second
	// relaysFirst is the number of relaying stores that are tried before the leader calls the target itself.
	relaysFirst = 2
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

// route chooses the way to a target and counts the call there.
func (c *caller) route(t csjob.Target) way {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	ways := c.ways(t, now)
	w := way{}
	if d, ok := c.detours[t.Life.Target]; ok && now.Before(d.until) {
		w.skip = d.skip
	}
	w.via = ways[w.skip%len(ways)]
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

// ways returns the stores that can call a target, best first: rendezvous hashing, stores in the target's availability zone
// before others. The empty name is this store. It comes first where it is the only store in the target's zone.
func (c *caller) ways(t csjob.Target, now time.Time) []csmodel.NodeID {
	stores := make([]candidate, 0, len(c.peers))
	for n, p := range c.peers {
		if now.Sub(p.heardAt) < lostAfter {
			stores = append(stores, candidate{n, p.zone == t.Zone, xxhash.Sum64String(string(n) + "/" + string(t.Life.Target))})
		}
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
	self := min(relaysFirst, len(stores))
	if c.o.Zone == t.Zone && (len(stores) == 0 || !stores[0].local) {
		self = 0
	}
	out := make([]csmodel.NodeID, 0, len(stores)+1)
	for i, s := range stores {
		if i == self {
			out = append(out, "")
		}
		out = append(out, s.node)
	}
	if self == len(stores) {
		out = append(out, "")
	}
	return out
}

// ended notes the end of a call. After an unanswered one the next call to the target takes another way, so that a store
// that is cut off from a target does not make it look silent.
func (c *caller) ended(t csjob.Target, w way, err error) {
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
	c.o.Metrics.calls.WithLabelValues(kind + "_failed").Inc()
	c.counted.failed++
	if !errors.Is(err, csrun.ErrNoAnswer) || len(c.peers) == 0 {
		return
	}
	d := c.detours[t.Life.Target]
	if d.skip == w.skip { // otherwise a call that was made at the same time has changed the way
		c.detours[t.Life.Target] = detour{skip: d.skip + 1, until: c.o.Clock.Now().Add(detourFor)}
	}
}

// counted adds up calls for a line in the log.
type counted struct {
	since    time.Time
	relayed  int
	direct   int
	failed   int
	full     int // made directly because the relaying store had too many
	messages int
}

func (n *counted) log(now time.Time, log *zap.Logger, peers, detours int) {
	if now.Sub(n.since) < reportLog {
		return
	}
	if n.relayed+n.direct > 0 {
		log.Info("calls to targets", zap.Duration("for", now.Sub(n.since)), zap.Int("relayed", n.relayed), zap.Int("direct", n.direct),
			zap.Int("failed", n.failed), zap.Int("full", n.full), zap.Int("messages", n.messages), zap.Int("stores", peers),
			zap.Int("detours", detours))
	}
	*n = counted{since: now}
}
