package cstarget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// slotRequest returns a request that confirms the grant of the previous one.
func slotRequest(node csmodel.NodeID, sequence uint64, slots int) SlotRequest {
	return SlotRequest{
		Node: node, Incarnation: 1, Sequence: sequence, Applied: sequence - 1,
		Demand: []PoolDemand{{Pool: "p", Slots: slots}},
	}
}

func totalSlots(g SlotGrant) int {
	slots := 0
	for _, t := range g.Targets {
		slots += t.Slots
	}
	return slots
}

// keepAlive renews the target lease with an announcement, so that slots can be granted at the given time.
func keepAlive(r *Registry, at time.Time, id csmodel.VMID) {
	r.Announce(at, announcement(id, uint64(at.Sub(start)/time.Millisecond)+2))
}

// Guards against slots that stay leased to a silent node forever, or that are granted again before its lease has ended.
func TestSilentNodeLeaseExpires(t *testing.T) {
	r := newHomeRegistry("vm")
	g := r.Grantor()
	if got := totalSlots(g.Request(start, slotRequest("silent", 1, 8))); got != 8 {
		t.Fatalf("got %d slots, want 8", got)
	}
	tests := []struct {
		at   time.Duration
		want int
	}{
		{time.Second, 0},
		{SlotLease - time.Millisecond, 0},
		{SlotLease, 8},
	}
	for i, tt := range tests {
		at := start.Add(tt.at)
		keepAlive(r, at, "vm")
		if got := totalSlots(g.Request(at, slotRequest("other", uint64(i+1), 8))); got != tt.want {
			t.Errorf("after %v: got %d slots, want %d", tt.at, got, tt.want)
		}
	}
}

// Guards against new attempts on an unusable target: one slot lease after the change, no slot of it may be leased. A target
// that stops announcing is unusable only after its target lease.
func TestNoGrantForUnusableTarget(t *testing.T) {
	tests := []struct {
		name   string
		within time.Duration
		change func(r *Registry, at time.Time)
	}{
		{"leaving", SlotLease, func(r *Registry, at time.Time) {
			a := announcement("vm", 2)
			a.Leaving = true
			r.Announce(at, a)
		}},
		{"draining", SlotLease, func(r *Registry, at time.Time) { r.SetOwnership(at, Ownership{VM: "vm", Pool: "p", Fence: 2}) }},
		{"not owned", SlotLease, func(r *Registry, _ time.Time) { r.RemoveOwnership("vm") }},
		{"prepared for another pool", SlotLease, func(r *Registry, at time.Time) {
			r.SetOwnership(at, Ownership{VM: "vm", Pool: "q", Fence: 2, Usable: true})
		}},
		{"silent", minTargetLease, func(*Registry, time.Time) {}},
	}
	for _, tt := range tests {
		r := newHomeRegistry("vm")
		h := NewHolder(HolderConfig{Node: "n2", Incarnation: 1, Zone: "z1"})
		h.SetSummaries("n1", []csmodel.PoolSummary{{Node: "n1", Pool: "p", Zone: "z1", Targets: 1, Slots: 8}})
		h.SetDemand(csmodel.SlotDemand{Pool: "p", Local: 8})
		exchange := func(at time.Time) {
			for _, q := range h.Requests(at) {
				h.ApplyGrant(r.Grantor().Request(at, q.Request))
			}
		}
		exchange(start)
		if !h.MayStart(start, "vm", 7) {
			t.Fatalf("%s: no slots before the change", tt.name)
		}
		at := start.Add(100 * time.Millisecond)
		tt.change(r, at)
		end := at.Add(tt.within)
		for ; at.Before(end); at = at.Add(100 * time.Millisecond) {
			exchange(at)
			r.Tick(at)
		}
		if h.MayStart(end, "vm", 0) || r.Grantor().ReservedSlots(end, "vm") != 0 {
			t.Errorf("%s: slots are still leased %v after the change", tt.name, tt.within)
		}
	}
}

// Guards against two home nodes that lease the same slots: a home node must wait until leases granted before the target
// moved to it, or before its own restart, have ended.
func TestNewHomeWaitsForOldLeases(t *testing.T) {
	tests := []struct {
		name     string
		sequence uint64
		moved    bool
		wait     time.Duration
	}{
		{"first announcement", 1, false, 0},
		{"moved from another home node", 9, true, SlotLease},
		{"restart of the home node", 9, false, SlotLease},
	}
	for _, tt := range tests {
		r := newHomeRegistry()
		r.SetOwnership(start, Ownership{VM: "vm", Pool: "p", Fence: 1, Usable: true})
		a := announcement("vm", tt.sequence)
		a.Moved = tt.moved
		r.Announce(start, a)
		if tt.wait > 0 {
			before := start.Add(tt.wait - time.Millisecond)
			if got := totalSlots(r.Grantor().Request(before, slotRequest("n2", 1, 8))); got != 0 {
				t.Errorf("%s: got %d slots before %v, want 0", tt.name, got, tt.wait)
			}
		}
		if got := totalSlots(r.Grantor().Request(start.Add(tt.wait), slotRequest("n2", 2, 8))); got != 8 {
			t.Errorf("%s: got %d slots after %v, want 8", tt.name, got, tt.wait)
		}
	}
}

// Guards against an allocation that ignores demand, that grants slots before another node has confirmed their reduction, or
// that takes away slots in use.
func TestAllocation(t *testing.T) {
	r := newHomeRegistry("vm1", "vm2")
	g := r.Grantor()
	sequences := map[csmodel.NodeID]uint64{}
	ask := func(node csmodel.NodeID, slots int, uses ...TargetUse) int {
		sequences[node]++
		q := slotRequest(node, sequences[node], slots)
		q.Uses = uses
		return totalSlots(g.Request(start, q))
	}
	ask("a", 12) // plus spare slots, because no other node has demand yet
	ask("b", 4)
	if got := ask("a", 12); got != 12 {
		t.Errorf("a: got %d slots, want 12", got)
	}
	if got := ask("b", 4); got != 2 {
		t.Errorf("b: got %d slots before a confirmed its reduction, want 2", got)
	}
	ask("a", 12)
	if got := ask("b", 4); got != 4 {
		t.Errorf("b: got %d slots, want 4", got)
	}
	ask("b", 12)
	busy := []TargetUse{{Target: "vm1", Incarnation: 1, InFlight: 5}, {Target: "vm2", Incarnation: 1, InFlight: 5}}
	if got := ask("a", 4, busy...); got != 10 {
		t.Errorf("a: got %d slots with 10 in use, want 10", got)
	}
	ask("a", 4)
	ask("a", 4)
	if got := ask("b", 12); got != 12 {
		t.Errorf("b: got %d slots after a confirmed its reduction, want 12", got)
	}
}

// Guards against more leased slots on a target than it has, with two home nodes and three holders that restart, targets that
// move between the home nodes, and lost and delayed messages.
func TestSlotsNeverExceeded(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := newSlotSimulation(seed)
		for range 20000 {
			s.step()
			if err := s.checkSlots(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if s.granted == 0 {
			t.Errorf("seed %d: nothing was granted", seed)
		}
	}
}

// slotSimulation runs home nodes and holders over an unreliable network on a simulated clock.
type slotSimulation struct {
	random        *rand.Rand
	now           time.Time
	homes         []*Registry
	holders       []*Holder
	crashed       []*Holder // holders replaced by a restart, with unexpired leases
	sequences     map[csmodel.VMID]uint64
	homeIndex     map[csmodel.VMID]int
	moved         map[csmodel.VMID]bool
	lastAnnounced map[csmodel.VMID]time.Time
	delayed       []func()
	granted       int
}

var simulatedTargets = []csmodel.VMID{"vm1", "vm2", "vm3"}

func newSlotSimulation(seed uint64) *slotSimulation {
	s := &slotSimulation{
		random:        rand.New(rand.NewPCG(seed, 1)),
		now:           start,
		sequences:     map[csmodel.VMID]uint64{},
		homeIndex:     map[csmodel.VMID]int{},
		moved:         map[csmodel.VMID]bool{},
		lastAnnounced: map[csmodel.VMID]time.Time{},
	}
	for i := range 2 {
		s.homes = append(s.homes, s.newHomeRegistry(i))
	}
	for i := range 3 {
		s.holders = append(s.holders, s.newHolder(i, 1))
	}
	return s
}

func (s *slotSimulation) newHomeRegistry(i int) *Registry {
	r := NewRegistry(Config{Node: csmodel.NodeID(fmt.Sprint("home", i)), Started: s.now})
	for _, vm := range simulatedTargets {
		r.SetOwnership(s.now, Ownership{VM: vm, Pool: "p", Fence: 1, Usable: true})
	}
	return r
}

func (s *slotSimulation) newHolder(i int, incarnation csmodel.Incarnation) *Holder {
	h := NewHolder(HolderConfig{Node: csmodel.NodeID(fmt.Sprint("n", i)), Incarnation: incarnation, Zone: "z1"})
	for home := range 2 {
		id := csmodel.NodeID(fmt.Sprint("home", home))
		h.SetSummaries(id, []csmodel.PoolSummary{{Node: id, Pool: "p", Zone: "z1", Slots: 24}})
	}
	return h
}

func (s *slotSimulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(40)) * time.Millisecond)
	for _, r := range s.homes {
		r.Tick(s.now)
	}
	s.announce()
	s.crashed = slices.DeleteFunc(s.crashed, func(h *Holder) bool { return len(h.Leases(s.now)) == 0 })
	i := s.random.IntN(len(s.holders))
	h := s.holders[i]
	switch s.random.IntN(200) {
	case 0: // restart of a holder; its attempts continue
		s.crashed = append(s.crashed, h)
		s.holders[i] = s.newHolder(i, h.config.Incarnation+1)
	case 1: // restart of a home node
		home := s.random.IntN(2)
		s.homes[home] = s.newHomeRegistry(home)
	default:
		h.SetDemand(csmodel.SlotDemand{Pool: "p", Local: s.random.IntN(30)})
		for _, q := range h.Requests(s.now) {
			s.exchange(h, q)
		}
	}
	if n := len(s.delayed); n > 0 && s.random.IntN(2) == 0 {
		k := s.random.IntN(n)
		deliver := s.delayed[k]
		s.delayed = append(s.delayed[:k], s.delayed[k+1:]...)
		deliver()
	}
}

// exchange delivers a request and its grant, each of them now, later or never.
func (s *slotSimulation) exchange(h *Holder, q AddressedRequest) {
	home := 0
	if q.Home == "home1" {
		home = 1
	}
	s.deliverUnreliably(func() {
		grant := s.homes[home].Grantor().Request(s.now, q.Request)
		s.granted += totalSlots(grant)
		s.deliverUnreliably(func() { h.ApplyGrant(grant) })
	})
}

// deliverUnreliably drops, delays or delivers a message.
func (s *slotSimulation) deliverUnreliably(deliver func()) {
	switch s.random.IntN(8) {
	case 0:
	case 1:
		s.delayed = append(s.delayed, deliver)
	default:
		deliver()
	}
}

// announce sends a heartbeat of each target every second. Announcements and replies are sometimes lost, and a target
// sometimes moves to the other home node.
func (s *slotSimulation) announce() {
	for _, vm := range simulatedTargets {
		if s.now.Sub(s.lastAnnounced[vm]) < time.Second {
			continue
		}
		s.lastAnnounced[vm] = s.now
		if s.random.IntN(10) == 0 {
			s.homeIndex[vm] = 1 - s.homeIndex[vm]
			s.moved[vm] = true
		}
		s.sequences[vm]++
		a := announcement(vm, s.sequences[vm])
		a.Moved = s.moved[vm]
		if s.random.IntN(10) == 0 {
			continue // the announcement is lost
		}
		s.homes[s.homeIndex[vm]].Announce(s.now, a)
		if s.random.IntN(10) > 0 {
			s.moved[vm] = false
		}
	}
}

// checkSlots returns an error if holders hold, or home nodes reserve, more slots of a target than it has.
func (s *slotSimulation) checkSlots() error {
	for _, vm := range simulatedTargets {
		held := 0
		for _, h := range slices.Concat(s.crashed, s.holders) {
			for _, l := range h.Leases(s.now) {
				if l.Target == vm {
					held += l.Slots
				}
			}
		}
		reserved := s.homes[0].Grantor().ReservedSlots(s.now, vm) + s.homes[1].Grantor().ReservedSlots(s.now, vm)
		if held > 8 || reserved > 8 {
			return fmt.Errorf("%s at %v: held %d, reserved %d of 8 slots", vm, s.now.Sub(start), held, reserved)
		}
	}
	return nil
}

// benchmarkSlotRequest measures a request for half of the slots of a home node and the encoded size of request and grant.
func benchmarkSlotRequest(b *testing.B, targets, nodes int) {
	ids := make([]csmodel.VMID, targets)
	for i := range ids {
		ids[i] = csmodel.VMID(fmt.Sprint("vm", i))
	}
	r := newHomeRegistry(ids...)
	sequence := uint64(0)
	var request SlotRequest
	var grant SlotGrant
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		request = slotRequest(csmodel.NodeID(fmt.Sprint("n", sequence%uint64(nodes))), sequence, 4*targets)
		grant = r.Grantor().Request(start, request)
	}
	sent, _ := cbor.Marshal(request)
	received, _ := cbor.Marshal(grant)
	b.ReportMetric(float64(len(sent)+len(received)), "bytes/exchange")
}

// The smaller size is that of the present fleet, the larger one the size that the system is designed for.
func BenchmarkSlotRequest(b *testing.B) {
	b.Run("targets=8,nodes=8", func(b *testing.B) { benchmarkSlotRequest(b, 8, 8) })
	b.Run("targets=160,nodes=5", func(b *testing.B) { benchmarkSlotRequest(b, 160, 5) })
}
