package csentry

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

const (
	// refusalTime is how long the entry itself refuses a key that the leader refused. An added key has to be accepted 2.5 s after
	// its configuration was acknowledged.
	refusalTime = 500 * time.Millisecond
	maxRefusals = 4096
	// provenTime is how long a key that the leader has found counts as proven. Accounts of a busy deployment call each entry
	// several times a minute.
	provenTime = time.Minute
	// minProven is the number of proven keys below which expired ones are not looked for.
	minProven = 1024
	// maxAreas bounds the open areas that are remembered. Deployments have tens of queues.
	maxAreas = 256
	// unprovenCalls bounds the requests with unproven keys that one entry has at the leader at a time. 43 entries then have 688, below the
	// 1,024 calls that the leader answers at a time.
	unprovenCalls = 16
	// unprovenWait bounds the wait of such a request, so that its client still has time to try another entry.
	unprovenWait = 100 * time.Millisecond
	// unprovenRetry is the time after which a client may send such a request again.
	unprovenRetry = time.Second
)

// admission is what the gate decides about a request.
type admission uint8

const (
	admitted admission = iota
	refusedKey
	refusedBusy
)

// caller identifies the key of a request by its digest, and its host.
type caller struct {
	host   string
	digest csjob.KeyDigest
}

// refusal is a key that the leader refused, for the paths of a host with a prefix.
type refusal struct {
	caller caller
	prefix string
	until  time.Time
}

// area is the paths of a host with a prefix.
type area struct{ host, prefix string }

// keyGate protects the leader from floods of requests with unknown keys, and requests with known keys from waiting behind them. It decides
// nothing about which keys are valid: it repeats refusals of the leader for a short time, and bounds the requests with unproven keys that
// are at the leader at a time. Use newKeyGate.
type keyGate struct {
	clock clockwork.Clock
	slots chan struct{} // held by requests with unproven keys

	mu       sync.Mutex
	required bool // the current configuration requires keys
	refused  map[caller][]refusal
	order    []refusal // all of refused, oldest first
	proven   map[csjob.KeyDigest]time.Time
	sweepAt  int // number of proven keys at which expired ones are removed
	// open holds areas that need no key, until the leader refuses a key there.
	open map[area]time.Time
}

func newKeyGate(c clockwork.Clock) *keyGate {
	return &keyGate{
		clock: c, slots: make(chan struct{}, unprovenCalls), refused: map[caller][]refusal{},
		proven: map[csjob.KeyDigest]time.Time{}, sweepAt: minProven, open: map[area]time.Time{},
	}
}

// require records whether the current configuration requires keys. The gate admits all requests if it doesn't.
func (g *keyGate) require(required bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.required = required
}

// knownRefused reports whether the leader refused the key of a request within the last refusalTime.
func (g *keyGate) knownRefused(r csrpc.JobRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.required || len(g.refused) == 0 {
		return false
	}
	return g.isRefused(r, csjob.DigestKey(r.Key))
}

// isRefused is knownRefused for a caller that holds the lock.
func (g *keyGate) isRefused(r csrpc.JobRequest, digest csjob.KeyDigest) bool {
	now := g.clock.Now()
	for _, o := range g.refused[caller{r.Host, digest}] {
		if now.Before(o.until) && strings.HasPrefix(r.Path, o.prefix) {
			return true
		}
	}
	return false
}

// enter waits for admission of a request. The caller calls leave after the leader's answer to an admitted request.
func (g *keyGate) enter(ctx context.Context, r csrpc.JobRequest) (leave func(), a admission) {
	leave = func() {}
	if a, decided := g.decide(r); decided {
		return leave, a
	}
	timer := g.clock.NewTimer(unprovenWait)
	defer timer.Stop()
	fallback := refusedBusy
	select {
	case g.slots <- struct{}{}:
		leave, fallback = func() { <-g.slots }, admitted
	case <-timer.Chan():
	case <-ctx.Done():
	}
	// The answer to another request may have shown meanwhile what the key is.
	a, decided := g.decide(r)
	if !decided {
		return leave, fallback
	}
	leave()
	return func() {}, a
}

// decide decides about a request without waiting. It returns false if its key is unproven.
func (g *keyGate) decide(r csrpc.JobRequest) (a admission, decided bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.required {
		return admitted, true
	}
	digest := csjob.DigestKey(r.Key)
	switch now := g.clock.Now(); {
	case g.isRefused(r, digest):
		return refusedKey, true
	case now.Before(g.proven[digest]) || g.isOpen(now, r):
		return admitted, true
	default:
		return admitted, false
	}
}

func (g *keyGate) isOpen(now time.Time, r csrpc.JobRequest) bool {
	for o, until := range g.open {
		if o.host == r.Host && now.Before(until) && strings.HasPrefix(r.Path, o.prefix) {
			return true
		}
	}
	return false
}

// learn takes in what the leader found out about the key of a request.
func (g *keyGate) learn(r csrpc.JobRequest, a csrpc.JobAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, place := g.clock.Now(), area{r.Host, a.Prefix}
	switch a.Key {
	case csjob.KeyNotChecked:
	case csjob.KeyKnown:
		g.required = true
		g.prove(now, csjob.DigestKey(r.Key))
	case csjob.KeyUnknown:
		g.required = true
		digest := csjob.DigestKey(r.Key)
		delete(g.proven, digest)
		if a.Prefix != "" {
			delete(g.open, place)
			g.refuse(refusal{caller{r.Host, digest}, a.Prefix, now.Add(refusalTime)})
		}
	case csjob.KeyNotNeeded:
		if g.required && a.Prefix != "" {
			g.admitAll(now, place)
		}
	}
}

// prove keeps a key as proven. The keys of the configurations of the last minutes bound the number of proven keys.
func (g *keyGate) prove(now time.Time, digest csjob.KeyDigest) {
	g.proven[digest] = now.Add(provenTime)
	if len(g.proven) >= g.sweepAt {
		maps.DeleteFunc(g.proven, func(_ csjob.KeyDigest, until time.Time) bool { return !now.Before(until) })
		g.sweepAt = max(minProven, 2*len(g.proven))
	}
}

// admitAll keeps an area as open. Beyond maxAreas, all are learned again.
func (g *keyGate) admitAll(now time.Time, o area) {
	if _, known := g.open[o]; !known && len(g.open) >= maxAreas {
		clear(g.open)
	}
	g.open[o] = now.Add(provenTime)
}

// refuse keeps a refusal, and removes the expired ones and the oldest one beyond maxRefusals. A refusal that is kept already is not
// extended.
func (g *keyGate) refuse(o refusal) {
	now := g.clock.Now()
	for len(g.order) > 0 && !now.Before(g.order[0].until) {
		g.forgetOldest()
	}
	for _, kept := range g.refused[o.caller] {
		if kept.prefix == o.prefix {
			return
		}
	}
	if len(g.order) >= maxRefusals {
		g.forgetOldest()
	}
	g.order = append(g.order, o)
	g.refused[o.caller] = append(g.refused[o.caller], o)
}

// forgetOldest removes the oldest refusal, which is the first one of its caller too.
func (g *keyGate) forgetOldest() {
	c := g.order[0].caller
	g.order = g.order[1:]
	if g.refused[c] = g.refused[c][1:]; len(g.refused[c]) == 0 {
		delete(g.refused, c)
	}
}
