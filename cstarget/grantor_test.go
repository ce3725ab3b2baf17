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

func demand(node csmodel.NodeID, sequence uint64, slots int) SlotRequest {
	return SlotRequest{
		Node: node, Incarnation: 1, Sequence: sequence, Applied: sequence - 1,
		Demand: []PoolDemand{{Pool: "p", Slots: slots}},
	}
}

func total(g SlotGrant) int {
	slots := 0
	for _, t := range g.Targets {
		slots += t.Slots
	}
	return slots
}

// keepAlive announces a target in time for a later request.
func keepAlive(r *Registry, at time.Time, id csmodel.VMID) {
	r.Announce(at, announcement(id, uint64(at.Sub(start)/time.Millisecond)+2))
}

// Guards against slots of a silent node that are lost, or granted twice before its lease has ended.
func TestSilentNode(t *testing.T) {
	r := newHome("vm")
	g := r.Grantor()
	if got := total(g.Request(start, demand("silent", 1, 8))); got != 8 {
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
		if got := total(g.Request(at, demand("other", uint64(i+1), 8))); got != tt.want {
			t.Errorf("after %v: got %d slots, want %d", tt.at, got, tt.want)
		}
	}
}

// Guards against new work on a target that must not get any: one slot lease after the change no slot is left. A target
// that went silent is found out after its target lease.
func TestNoGrant(t *testing.T) {
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
		{"draining", SlotLease, func(r *Registry, at time.Time) { r.Own(at, Ownership{VM: "vm", Pool: "p", Fence: 2}) }},
		{"not owned", SlotLease, func(r *Registry, _ time.Time) { r.Disown("vm") }},
		{"prepared for another pool", SlotLease, func(r *Registry, at time.Time) {
			r.Own(at, Ownership{VM: "vm", Pool: "q", Fence: 2, Usable: true})
		}},
		{"silent", minTargetLease, func(*Registry, time.Time) {}},
	}
	for _, tt := range tests {
		r := newHome("vm")
		h := NewHolder(HolderConfig{Node: "n2", Incarnation: 1, Zone: "z1"})
		h.Summaries("n1", []csmodel.PoolSummary{{Node: "n1", Pool: "p", Zone: "z1", Targets: 1, Slots: 8}})
		h.Demand(csmodel.SlotDemand{Pool: "p", Local: 8})
		exchange := func(at time.Time) {
			for _, q := range h.Requests(at) {
				h.Granted(r.Grantor().Request(at, q.Request))
			}
		}
		exchange(start)
		if !h.MayStart(start, "vm", 7) {
			t.Fatalf("%s: no slots before", tt.name)
		}
		at := start.Add(100 * time.Millisecond)
		tt.change(r, at)
		end := at.Add(tt.within)
		for ; at.Before(end); at = at.Add(100 * time.Millisecond) {
			exchange(at)
			r.Tick(at)
		}
		if h.MayStart(end, "vm", 0) || r.Grantor().Leased(end, "vm") != 0 {
			t.Errorf("%s: slots are left", tt.name)
		}
	}
}

// Guards against two home nodes that grant the same slots.
func TestNewHomeWaits(t *testing.T) {
	tests := []struct {
		name     string
		sequence uint64
		moved    bool
		wait     time.Duration
	}{
		{"first announcement", 1, false, 0},
		{"from another home", 9, true, SlotLease},
		{"after a restart of the home", 9, false, SlotLease},
	}
	for _, tt := range tests {
		r := newHome()
		r.Own(start, Ownership{VM: "vm", Pool: "p", Fence: 1, Usable: true})
		a := announcement("vm", tt.sequence)
		a.Moved = tt.moved
		r.Announce(start, a)
		if tt.wait > 0 {
			before := start.Add(tt.wait - time.Millisecond)
			if got := total(r.Grantor().Request(before, demand("n2", 1, 8))); got != 0 {
				t.Errorf("%s: got %d slots early", tt.name, got)
			}
		}
		if got := total(r.Grantor().Request(start.Add(tt.wait), demand("n2", 2, 8))); got != 8 {
			t.Errorf("%s: got %d slots after %v, want 8", tt.name, got, tt.wait)
		}
	}
}

// Guards against shares that ignore the demand, and against slots in use that are taken away.
func TestDivision(t *testing.T) {
	r := newHome("vm1", "vm2")
	g := r.Grantor()
	sequences := map[csmodel.NodeID]uint64{}
	ask := func(node csmodel.NodeID, slots int, uses ...TargetUse) int {
		sequences[node]++
		q := demand(node, sequences[node], slots)
		q.Uses = uses
		return total(g.Request(start, q))
	}
	ask("a", 12) // with spare slots, because no other node wants any yet
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
	busy := []TargetUse{{Target: "vm1", Incarnation: 1, Busy: 5}, {Target: "vm2", Incarnation: 1, Busy: 5}}
	if got := ask("a", 4, busy...); got != 10 {
		t.Errorf("a: got %d slots with 10 in use", got)
	}
	ask("a", 4)
	ask("a", 4)
	if got := ask("b", 12); got != 12 {
		t.Errorf("b: got %d slots after a confirmed its reduction, want 12", got)
	}
}

// Guards against more attempts on a target than it has slots: two home nodes, three holders that restart, targets that
// move between the home nodes, lost and delayed messages.
func TestSlotsNeverExceeded(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := newSlotWorld(seed)
		for range 20000 {
			w.step()
			if err := w.check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if w.granted == 0 {
			t.Errorf("seed %d: nothing was granted", seed)
		}
	}
}

type slotWorld struct {
	random    *rand.Rand
	now       time.Time
	homes     []*Registry
	holders   []*Holder
	dead      []*Holder // whose leases may not have ended
	sequences map[csmodel.VMID]uint64
	home      map[csmodel.VMID]int
	moved     map[csmodel.VMID]bool
	last      map[csmodel.VMID]time.Time
	delayed   []func()
	granted   int
}

var slotTargets = []csmodel.VMID{"vm1", "vm2", "vm3"}

func newSlotWorld(seed uint64) *slotWorld {
	w := &slotWorld{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		sequences: map[csmodel.VMID]uint64{},
		home:      map[csmodel.VMID]int{},
		moved:     map[csmodel.VMID]bool{},
		last:      map[csmodel.VMID]time.Time{},
	}
	for i := range 2 {
		w.homes = append(w.homes, w.newHome(i))
	}
	for i := range 3 {
		w.holders = append(w.holders, w.newHolder(i, 1))
	}
	return w
}

func (w *slotWorld) newHome(i int) *Registry {
	r := NewRegistry(Config{Node: csmodel.NodeID(fmt.Sprint("home", i)), Started: w.now})
	for _, vm := range slotTargets {
		r.Own(w.now, Ownership{VM: vm, Pool: "p", Fence: 1, Usable: true})
	}
	return r
}

func (w *slotWorld) newHolder(i int, incarnation csmodel.Incarnation) *Holder {
	h := NewHolder(HolderConfig{Node: csmodel.NodeID(fmt.Sprint("n", i)), Incarnation: incarnation, Zone: "z1"})
	for home := range 2 {
		id := csmodel.NodeID(fmt.Sprint("home", home))
		h.Summaries(id, []csmodel.PoolSummary{{Node: id, Pool: "p", Zone: "z1", Slots: 24}})
	}
	return h
}

func (w *slotWorld) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(40)) * time.Millisecond)
	for _, r := range w.homes {
		r.Tick(w.now)
	}
	w.announce()
	w.dead = slices.DeleteFunc(w.dead, func(h *Holder) bool { return len(h.Leases(w.now)) == 0 })
	i := w.random.IntN(len(w.holders))
	h := w.holders[i]
	switch w.random.IntN(200) {
	case 0: // restart of a holder, whose attempts run on
		w.dead = append(w.dead, h)
		w.holders[i] = w.newHolder(i, h.config.Incarnation+1)
	case 1: // restart of a home node
		home := w.random.IntN(2)
		w.homes[home] = w.newHome(home)
	default:
		h.Demand(csmodel.SlotDemand{Pool: "p", Local: w.random.IntN(30)})
		for _, q := range h.Requests(w.now) {
			w.exchange(h, q)
		}
	}
	if n := len(w.delayed); n > 0 && w.random.IntN(2) == 0 {
		k := w.random.IntN(n)
		deliver := w.delayed[k]
		w.delayed = append(w.delayed[:k], w.delayed[k+1:]...)
		deliver()
	}
}

// exchange delivers a request now, later or never, and its grant likewise.
func (w *slotWorld) exchange(h *Holder, q AddressedRequest) {
	home := 0
	if q.Home == "home1" {
		home = 1
	}
	w.maybe(func() {
		grant := w.homes[home].Grantor().Request(w.now, q.Request)
		w.granted += total(grant)
		w.maybe(func() { h.Granted(grant) })
	})
}

func (w *slotWorld) maybe(deliver func()) {
	switch w.random.IntN(8) {
	case 0:
	case 1:
		w.delayed = append(w.delayed, deliver)
	default:
		deliver()
	}
}

// announce sends heartbeats every second; a target sometimes misses replies and moves to the other home node.
func (w *slotWorld) announce() {
	for _, vm := range slotTargets {
		if w.now.Sub(w.last[vm]) < time.Second {
			continue
		}
		w.last[vm] = w.now
		if w.random.IntN(10) == 0 {
			w.home[vm] = 1 - w.home[vm]
			w.moved[vm] = true
		}
		w.sequences[vm]++
		a := announcement(vm, w.sequences[vm])
		a.Moved = w.moved[vm]
		if w.random.IntN(10) == 0 {
			continue // the announcement is lost
		}
		w.homes[w.home[vm]].Announce(w.now, a)
		if w.random.IntN(10) > 0 {
			w.moved[vm] = false
		}
	}
}

func (w *slotWorld) check() error {
	for _, vm := range slotTargets {
		held := 0
		for _, h := range slices.Concat(w.dead, w.holders) {
			for _, l := range h.Leases(w.now) {
				if l.Target == vm {
					held += l.Slots
				}
			}
		}
		leased := w.homes[0].Grantor().Leased(w.now, vm) + w.homes[1].Grantor().Leased(w.now, vm)
		if held > 8 || leased > 8 {
			return fmt.Errorf("%s at %v: held %d, leased %d of 8 slots", vm, w.now.Sub(start), held, leased)
		}
	}
	return nil
}

// benchmarkSlots measures a request for half of the slots of a home node and the encoded sizes.
func benchmarkSlots(b *testing.B, targets, nodes int) {
	ids := make([]csmodel.VMID, targets)
	for i := range ids {
		ids[i] = csmodel.VMID(fmt.Sprint("vm", i))
	}
	r := newHome(ids...)
	sequence := uint64(0)
	var request SlotRequest
	var grant SlotGrant
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		request = demand(csmodel.NodeID(fmt.Sprint("n", sequence%uint64(nodes))), sequence, 4*targets)
		grant = r.Grantor().Request(start, request)
	}
	sent, _ := cbor.Marshal(request)
	received, _ := cbor.Marshal(grant)
	b.ReportMetric(float64(len(sent)+len(received)), "bytes/exchange")
}

func BenchmarkSlotRequest(b *testing.B) {
	b.Run("today", func(b *testing.B) { benchmarkSlots(b, 8, 8) })
	b.Run("design", func(b *testing.B) { benchmarkSlots(b, 160, 5) })
}
