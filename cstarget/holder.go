package cstarget

import (
	"cmp"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	renewInterval = 500 * time.Millisecond // between requests to a home node
	// shortInterval replaces renewInterval while the grant is below the demand.
	shortInterval  = 200 * time.Millisecond
	growthInterval = 20 * time.Millisecond // between requests because of higher demand
	// dispatchMargin ends a lease earlier for its holder, so that an attempt reaches the target before the slot is
	// granted to another node.
	dispatchMargin = 50 * time.Millisecond
	// interestTime is the time after its last demand for which a pool's slots are held in advance.
	interestTime  = 30 * time.Second
	maxUnanswered = 8 // requests to a home node whose send time is kept
)

// HolderConfig configures the holder of slots.
type HolderConfig struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
}

// AddressedRequest is a slot request and the home node that it goes to.
type AddressedRequest struct {
	Home    csmodel.NodeID
	Request SlotRequest
}

type sentRequest struct {
	sequence uint64
	at       time.Time
}

// homeState is what the holder knows about one home node.
type homeState struct {
	pools     []csmodel.PoolSummary
	sent      []sentRequest // unanswered, oldest first
	sequence  uint64
	applied   uint64
	demand    []PoolDemand // last sent
	last      time.Time    // of the last request
	next      time.Time
	leases    []csmodel.SlotLease // in the order of target ids
	unmet     bool                // the last grant was below the demand
	confirmed bool                // nothing to confirm at once
}

// Holder keeps the slots that home nodes granted to a node.
type Holder struct {
	config HolderConfig
	homes  map[csmodel.NodeID]*homeState
	demand map[csmodel.PoolID]csmodel.SlotDemand
	uses   map[csmodel.VMID]TargetUse
	homeOf map[csmodel.VMID]csmodel.NodeID
	totals map[poolPart]int // nil after a summary changed
	// interest is the time of the last demand for each pool. It is bounded by the number of pools.
	interest map[csmodel.PoolID]time.Time
}

// NewHolder returns a holder without slots.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{
		config: c,
		homes:  map[csmodel.NodeID]*homeState{},
		demand: map[csmodel.PoolID]csmodel.SlotDemand{},
		uses:   map[csmodel.VMID]TargetUse{},
		homeOf: map[csmodel.VMID]csmodel.NodeID{},

		interest: map[csmodel.PoolID]time.Time{},
	}
}

// Summaries replaces what is known about the targets of a home node. The holder sends requests to home nodes that have
// targets of a demanded pool; no pools stop the requests, for example when the link to the home node is lost.
func (h *Holder) Summaries(home csmodel.NodeID, pools []csmodel.PoolSummary) {
	h.home(home).pools = pools
	h.totals = nil
}

// Demand replaces the demand for slots of a pool.
func (h *Holder) Demand(d csmodel.SlotDemand) { h.demand[d.Pool] = d }

// Uses replaces the attempts in flight on each target and adds outcomes for the next requests.
func (h *Holder) Uses(uses []TargetUse) {
	for vm, u := range h.uses {
		u.Busy = 0
		h.uses[vm] = u
	}
	for _, u := range uses {
		if _, known := h.homeOf[u.Target]; !known {
			continue
		}
		if old := h.uses[u.Target]; old.Incarnation == u.Incarnation {
			u.Good += old.Good
			u.Bad += old.Bad
		}
		h.uses[u.Target] = u
	}
}

// Requests returns the requests to send now: one to each home node that holds targets of a pool in use and whose renewal is
// due or whose demand grew. A pool stays in use for interestTime after its last demand, so that slots are held in advance
// only where they are likely to be needed.
func (h *Holder) Requests(now time.Time) []AddressedRequest {
	if h.totals == nil {
		h.totals = h.countSlots()
	}
	for pool, d := range h.demand {
		if d.Local > 0 || d.Remote > 0 {
			h.interest[pool] = now
		}
	}
	var requests []AddressedRequest
	for _, id := range csmodel.SortedKeys(h.homes) {
		home := h.homes[id]
		demand := h.demandOf(now, home)
		held := slices.ContainsFunc(home.leases, func(l csmodel.SlotLease) bool { return now.Before(l.Until) })
		if !held && len(demand) == 0 {
			continue
		}
		urgent := !home.confirmed || grew(home.demand, demand) && !now.Before(home.last.Add(growthInterval))
		if now.Before(home.next) && !urgent {
			continue
		}
		requests = append(requests, AddressedRequest{Home: id, Request: h.request(now, id, home, demand)})
	}
	return requests
}

func (h *Holder) request(now time.Time, id csmodel.NodeID, home *homeState, demand []PoolDemand) SlotRequest {
	home.sequence++
	home.sent = append(home.sent, sentRequest{sequence: home.sequence, at: now})
	if len(home.sent) > maxUnanswered {
		home.sent = slices.Delete(home.sent, 0, 1)
	}
	home.demand = demand
	home.confirmed = true
	home.last = now
	home.next = now.Add(renewInterval)
	if home.unmet {
		home.next = now.Add(shortInterval)
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

// takeUses returns the uses of the targets of a home node and resets their outcome counts.
func (h *Holder) takeUses(id csmodel.NodeID) []TargetUse {
	var uses []TargetUse
	for _, vm := range csmodel.SortedKeys(h.uses) {
		if h.homeOf[vm] != id {
			continue
		}
		u := h.uses[vm]
		uses = append(uses, u)
		u.Good = 0
		u.Bad = 0
		h.uses[vm] = u
		if u.Busy == 0 {
			delete(h.uses, vm)
		}
	}
	return uses
}

// demandOf returns the part of the demand that goes to a home node, in proportion to its slots. A pool in use with targets
// in the own availability zone is listed even without demand.
func (h *Holder) demandOf(now time.Time, home *homeState) []PoolDemand {
	var demand []PoolDemand
	for _, s := range home.pools {
		local := s.Zone == h.config.Zone
		wanted := h.demand[s.Pool].Remote
		if local {
			wanted = h.demand[s.Pool].Local
		}
		last, known := h.interest[s.Pool]
		ahead := local && known && now.Sub(last) < interestTime
		all := h.totals[poolPart{s.Pool, local}]
		if wanted <= 0 && !ahead || all <= 0 || s.Slots <= 0 {
			continue
		}
		part := (max(0, wanted)*s.Slots + all - 1) / all
		i, found := slices.BinarySearchFunc(demand, s.Pool, func(d PoolDemand, p csmodel.PoolID) int {
			return cmp.Compare(d.Pool, p)
		})
		if found {
			demand[i].Slots += part
			continue
		}
		demand = slices.Insert(demand, i, PoolDemand{Pool: s.Pool, Slots: part})
	}
	return demand
}

// poolPart is the part of a pool in the own availability zone or in the others.
type poolPart struct {
	pool  csmodel.PoolID
	local bool
}

// countSlots returns the slots of each part of each pool on all home nodes.
func (h *Holder) countSlots() map[poolPart]int {
	totals := map[poolPart]int{}
	for _, home := range h.homes {
		for _, s := range home.pools {
			totals[poolPart{s.Pool, s.Zone == h.config.Zone}] += s.Slots
		}
	}
	return totals
}

// grew tells whether a demand exceeds the one that was sent last.
func grew(sent, demand []PoolDemand) bool {
	for _, d := range demand {
		known := slices.ContainsFunc(sent, func(s PoolDemand) bool { return s.Pool == d.Pool && s.Slots >= d.Slots })
		if !known {
			return true
		}
	}
	return false
}

// Granted applies a grant and tells whether it was applied. A late, duplicated or unrequested grant is ignored. Leases
// are counted from the time the request was sent, so the holder's end is never later than the home node's.
func (h *Holder) Granted(g SlotGrant) bool {
	home, known := h.homes[g.Home]
	if !known || g.Lease <= 0 || g.Sequence <= home.applied {
		return false
	}
	i := slices.IndexFunc(home.sent, func(s sentRequest) bool { return s.sequence == g.Sequence })
	if i < 0 {
		return false
	}
	sent := home.sent[i].at
	home.sent = slices.Delete(home.sent, 0, i+1)
	home.applied = g.Sequence
	before := home.leases
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
			Until:       sent.Add(lease - dispatchMargin),
		})
		h.homeOf[t.Target] = g.Home
	}
	slices.SortFunc(home.leases, byTarget)
	home.confirmed = !reduced(before, home.leases)
	home.unmet = h.unmet(home)
	h.forget()
	return true
}

// unmet tells whether the leases of a home node are below the demand that was sent to it.
func (h *Holder) unmet(home *homeState) bool {
	for _, d := range home.demand {
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

// forget drops the home node of targets that have neither a lease nor an unreported use.
func (h *Holder) forget() {
	for vm, id := range h.homeOf {
		_, used := h.uses[vm]
		leased := slices.ContainsFunc(h.homes[id].leases, func(l csmodel.SlotLease) bool { return l.Target == vm })
		if !used && !leased {
			delete(h.homeOf, vm)
		}
	}
}

// reduced tells whether any target has fewer slots than before. The home node counts them until the next request.
func reduced(before, after []csmodel.SlotLease) bool {
	for _, b := range before {
		i, found := slices.BinarySearchFunc(after, b, byTarget)
		if !found || after[i].Slots < b.Slots {
			return true
		}
	}
	return false
}

func byTarget(a, b csmodel.SlotLease) int { return cmp.Compare(a.Target, b.Target) }

// MayStart tells whether an attempt may start now on a target where the node already runs the given number.
func (h *Holder) MayStart(now time.Time, vm csmodel.VMID, running int) bool {
	for _, l := range h.Leases(now) {
		if l.Target == vm {
			return running < l.Slots
		}
	}
	return false
}

// Leases returns the unexpired leases in the order of target ids.
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

func (h *Holder) home(id csmodel.NodeID) *homeState {
	home, ok := h.homes[id]
	if !ok {
		home = &homeState{confirmed: true}
		h.homes[id] = home
	}
	return home
}
