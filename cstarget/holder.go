package cstarget

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	renewInterval = 500 * time.Millisecond // between renewals at a home node
	// unmetRenewInterval replaces renewInterval while the leases are below the demand.
	unmetRenewInterval = 200 * time.Millisecond
	minGrowthInterval  = 20 * time.Millisecond // between requests for higher demand
	// dispatchMargin is how much earlier a lease ends for its holder than for the home node, so that an attempt reaches the
	// target before the slot is granted to another node.
	dispatchMargin = 50 * time.Millisecond
	// idlePoolTimeout is the time after the last demand for a pool during which its slots are held in advance.
	idlePoolTimeout    = 30 * time.Second
	maxPendingRequests = 8 // unanswered requests to a home node whose send time is kept
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
}

// AddressedRequest is a slot request and its destination.
type AddressedRequest struct {
	Home    csmodel.NodeID
	Request SlotRequest
}

type sentRequest struct {
	sequence uint64
	at       time.Time
}

// homeState is the state of the exchange with one home node.
type homeState struct {
	pools       []csmodel.PoolSummary
	pending     []sentRequest // unanswered, oldest first
	sequence    uint64
	applied     uint64
	sentDemand  []PoolDemand // in the last request
	lastRequest time.Time
	nextRequest time.Time
	leases      []csmodel.SlotLease // sorted by target id
	unmetDemand bool                // the last grant was below the demand
	confirmed   bool                // no lowered lease waits for its confirmation
}

// Holder requests slot leases from home nodes and keeps the leases granted to its own node.
type Holder struct {
	config    HolderConfig
	homes     map[csmodel.NodeID]*homeState
	demand    map[csmodel.PoolID]csmodel.SlotDemand
	uses      map[csmodel.VMID]TargetUse
	homeOf    map[csmodel.VMID]csmodel.NodeID
	poolSlots map[poolLocality]int // nil after a change of a summary
	// lastDemand is the time of the last demand for each pool. Its size is bounded by the number of pools.
	lastDemand map[csmodel.PoolID]time.Time
}

// NewHolder returns a Holder without leases.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{
		config: c,
		homes:  map[csmodel.NodeID]*homeState{},
		demand: map[csmodel.PoolID]csmodel.SlotDemand{},
		uses:   map[csmodel.VMID]TargetUse{},
		homeOf: map[csmodel.VMID]csmodel.NodeID{},

		lastDemand: map[csmodel.PoolID]time.Time{},
	}
}

// SetSummaries replaces the summaries of a home node's targets. The holder sends requests to home nodes that have targets of a
// pool in demand. An empty list stops the requests, for example after the link to the home node is lost.
func (h *Holder) SetSummaries(home csmodel.NodeID, pools []csmodel.PoolSummary) {
	h.ensureHome(home).pools = pools
	h.poolSlots = nil
}

// SetDemand replaces the demand for slots of a pool.
func (h *Holder) SetDemand(d csmodel.SlotDemand) { h.demand[d.Pool] = d }

// UpdateUses replaces the numbers of attempts in flight on all targets and adds the outcomes to those that the next requests
// report.
func (h *Holder) UpdateUses(uses []TargetUse) {
	for vm, u := range h.uses {
		u.InFlight = 0
		h.uses[vm] = u
	}
	for _, u := range uses {
		if _, known := h.homeOf[u.Target]; !known {
			continue
		}
		if old := h.uses[u.Target]; old.Incarnation == u.Incarnation {
			u.Succeeded += old.Succeeded
			u.Failed += old.Failed
		}
		h.uses[u.Target] = u
	}
}

// Requests returns the requests to send now: one to each home node that has granted unexpired leases or has targets of a pool
// in use, if the renewal is due, the demand grew, or a lowered lease needs confirmation. A pool stays in use for
// idlePoolTimeout after its last demand, so that slots are held in advance only where they are likely to be needed.
func (h *Holder) Requests(now time.Time) []AddressedRequest {
	if h.poolSlots == nil {
		h.poolSlots = h.countPoolSlots()
	}
	for pool, d := range h.demand {
		if d.Local > 0 || d.Remote > 0 {
			h.lastDemand[pool] = now
		}
	}
	var requests []AddressedRequest
	for _, id := range csmodel.SortedKeys(h.homes) {
		home := h.homes[id]
		demand := h.demandFor(now, home)
		hasLease := slices.ContainsFunc(home.leases, func(l csmodel.SlotLease) bool { return now.Before(l.Until) })
		if !hasLease && len(demand) == 0 {
			continue
		}
		urgent := !home.confirmed || demandGrew(home.sentDemand, demand) && !now.Before(home.lastRequest.Add(minGrowthInterval))
		if now.Before(home.nextRequest) && !urgent {
			continue
		}
		requests = append(requests, AddressedRequest{Home: id, Request: h.newRequest(now, id, home, demand)})
	}
	return requests
}

func (h *Holder) newRequest(now time.Time, id csmodel.NodeID, home *homeState, demand []PoolDemand) SlotRequest {
	home.sequence++
	home.pending = append(home.pending, sentRequest{sequence: home.sequence, at: now})
	if len(home.pending) > maxPendingRequests {
		home.pending = slices.Delete(home.pending, 0, 1)
	}
	home.sentDemand = demand
	home.confirmed = true
	home.lastRequest = now
	home.nextRequest = now.Add(renewInterval)
	if home.unmetDemand {
		home.nextRequest = now.Add(unmetRenewInterval)
	}
	return SlotRequest{
		Node:        h.config.Node,
		Incarnation: h.config.Incarnation,
		Sequence:    home.sequence,
		Applied:     home.applied,
		Demand:      demand,
		Uses:        h.takeUses(id),
	}
}

// takeUses returns the uses of a home node's targets and resets their outcome counts.
func (h *Holder) takeUses(id csmodel.NodeID) []TargetUse {
	var uses []TargetUse
	for _, vm := range csmodel.SortedKeys(h.uses) {
		if h.homeOf[vm] != id {
			continue
		}
		u := h.uses[vm]
		uses = append(uses, u)
		u.Succeeded = 0
		u.Failed = 0
		h.uses[vm] = u
		if u.InFlight == 0 {
			delete(h.uses, vm)
		}
	}
	return uses
}

// demandFor returns the part of the demand that goes to a home node, in proportion to its slots. A pool in use that has
// targets in the holder's availability zone is listed even without demand.
func (h *Holder) demandFor(now time.Time, home *homeState) []PoolDemand {
	var demand []PoolDemand
	for _, s := range home.pools {
		local := s.Zone == h.config.Zone
		demanded := h.demand[s.Pool].Remote
		if local {
			demanded = h.demand[s.Pool].Local
		}
		lastDemand, known := h.lastDemand[s.Pool]
		prefetch := local && known && now.Sub(lastDemand) < idlePoolTimeout
		totalSlots := h.poolSlots[poolLocality{s.Pool, local}]
		if demanded <= 0 && !prefetch || totalSlots <= 0 || s.Slots <= 0 {
			continue
		}
		share := (max(0, demanded)*s.Slots + totalSlots - 1) / totalSlots
		i, found := slices.BinarySearchFunc(demand, s.Pool, func(d PoolDemand, p csmodel.PoolID) int {
			return cmp.Compare(d.Pool, p)
		})
		if found {
			demand[i].Slots += share
			continue
		}
		demand = slices.Insert(demand, i, PoolDemand{Pool: s.Pool, Slots: share})
	}
	return demand
}

// poolLocality selects the targets of a pool inside or outside the holder's availability zone.
type poolLocality struct {
	pool  csmodel.PoolID
	local bool
}

// countPoolSlots returns the slots of each pool on all home nodes, inside and outside the holder's availability zone.
func (h *Holder) countPoolSlots() map[poolLocality]int {
	totals := map[poolLocality]int{}
	for _, home := range h.homes {
		for _, s := range home.pools {
			totals[poolLocality{s.Pool, s.Zone == h.config.Zone}] += s.Slots
		}
	}
	return totals
}

// demandGrew reports whether the demand exceeds the demand sent last in any pool.
func demandGrew(sent, demand []PoolDemand) bool {
	for _, d := range demand {
		covered := slices.ContainsFunc(sent, func(s PoolDemand) bool { return s.Pool == d.Pool && s.Slots >= d.Slots })
		if !covered {
			return true
		}
	}
	return false
}

// ApplyGrant applies a grant and reports whether it was applied. A late, duplicate or unrequested grant is ignored. Leases
// are counted from the time the request was sent, so that they never end later for the holder than for the home node.
func (h *Holder) ApplyGrant(g SlotGrant) bool {
	home, known := h.homes[g.Home]
	if !known || g.Lease <= 0 || g.Sequence <= home.applied {
		return false
	}
	i := slices.IndexFunc(home.pending, func(s sentRequest) bool { return s.sequence == g.Sequence })
	if i < 0 {
		return false
	}
	sentAt := home.pending[i].at
	home.pending = slices.Delete(home.pending, 0, i+1)
	home.applied = g.Sequence
	previous := home.leases
	home.leases = make([]csmodel.SlotLease, 0, len(g.Targets))
	for _, t := range g.Targets {
		lease := t.Lease
		if lease == 0 {
			lease = g.Lease
		}
		home.leases = append(home.leases, csmodel.SlotLease{
			Target:      t.Target,
			Incarnation: t.Incarnation,
			Address:     t.Address,
			Pool:        t.Pool,
			Zone:        t.Zone,
			Home:        g.Home,
			Slots:       t.Slots,
			Connections: t.Connections,
			Probe:       t.Probe,
			Until:       sentAt.Add(lease - dispatchMargin),
		})
		h.homeOf[t.Target] = g.Home
	}
	slices.SortFunc(home.leases, byTarget)
	home.confirmed = !anyReduced(previous, home.leases)
	home.unmetDemand = h.unmetDemand(home)
	h.pruneHomes()
	return true
}

// unmetDemand reports whether the leases from a home node are below the demand last sent to it.
func (h *Holder) unmetDemand(home *homeState) bool {
	for _, d := range home.sentDemand {
		granted := 0
		for _, l := range home.leases {
			if l.Pool == d.Pool {
				granted += l.Slots
			}
		}
		if granted < d.Slots {
			return true
		}
	}
	return false
}

// pruneHomes drops the home node of each target that has neither a lease nor an unreported use.
func (h *Holder) pruneHomes() {
	for vm, id := range h.homeOf {
		_, used := h.uses[vm]
		leased := slices.ContainsFunc(h.homes[id].leases, func(l csmodel.SlotLease) bool { return l.Target == vm })
		if !used && !leased {
			delete(h.homeOf, vm)
		}
	}
}

// anyReduced reports whether any target has fewer slots than before. The home node reserves the lost slots until the next
// request confirms the reduction.
func anyReduced(before, after []csmodel.SlotLease) bool {
	for _, b := range before {
		i, found := slices.BinarySearchFunc(after, b, byTarget)
		if !found || after[i].Slots < b.Slots {
			return true
		}
	}
	return false
}

func byTarget(a, b csmodel.SlotLease) int { return cmp.Compare(a.Target, b.Target) }

// MayStart reports whether an attempt may start now on a target on which the node has the given number in flight.
func (h *Holder) MayStart(now time.Time, vm csmodel.VMID, running int) bool {
	for _, l := range h.Leases(now) {
		if l.Target == vm {
			return running < l.Slots
		}
	}
	return false
}

// Leases returns the unexpired leases sorted by target id, one for each target.
func (h *Holder) Leases(now time.Time) []csmodel.SlotLease {
	var leases []csmodel.SlotLease
	for _, id := range csmodel.SortedKeys(h.homes) {
		for _, l := range h.homes[id].leases {
			if now.Before(l.Until) {
				leases = append(leases, l)
			}
		}
	}
	slices.SortStableFunc(leases, func(a, b csmodel.SlotLease) int {
		return cmp.Or(byTarget(a, b), cmp.Compare(b.Incarnation, a.Incarnation), b.Until.Compare(a.Until))
	})
	return slices.CompactFunc(leases, func(a, b csmodel.SlotLease) bool { return a.Target == b.Target })
}

func (h *Holder) ensureHome(id csmodel.NodeID) *homeState {
	home, ok := h.homes[id]
	if !ok {
		home = &homeState{confirmed: true}
		h.homes[id] = home
	}
	return home
}
