package csmeasure

import (
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
)

// Preparation of a VM for another pool. A VM whose home is the spare pool is prepared for all pools.
const (
	spareTime   = 200 * time.Millisecond
	prepareTime = 2 * time.Second
	memory      = 128 * csmodel.GiB
)

// vm is a VM and its target.
type vm struct {
	w           *world
	id          csmodel.VMID
	home        csmodel.PoolID
	pool        csmodel.PoolID // prepared for
	fence       csmodel.Fence
	zone        csmodel.AvailabilityZone
	rack        csmodel.Rack
	node        *node
	incarnation csmodel.Incarnation
	sequence    uint64
	running     int // attempts
	tasks       []*task
	lost        bool
	failing     bool // fails everything
	preparing   bool
	drained     csmodel.Fence
}

func (w *world) addVM(i int) {
	p := w.profile
	zone := i / p.Pools % p.Zones
	number := i/(p.Pools*p.Zones)*p.Pools + i%p.Pools // in the zone
	var near []*node
	for _, n := range w.nodes {
		if n.zone == w.zones[zone] {
			near = append(near, n)
		}
	}
	v := &vm{
		w: w, id: csmodel.VMID(fmt.Sprintf("vm%04d", i)), home: w.names[i%p.Pools], pool: w.names[i%p.Pools],
		zone: w.zones[zone], rack: csmodel.Rack(fmt.Sprintf("%s-%d", w.zones[zone], number/rackSize)),
		node: near[number%len(near)], incarnation: 1,
	}
	w.vms = append(w.vms, v)
	w.byID[v.id] = v
	w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { v.announce(1) })
}

// announce sends an announcement and plans the next one. It ends with the incarnation.
func (v *vm) announce(incarnation csmodel.Incarnation) {
	if v.lost || v.incarnation != incarnation {
		return
	}
	reply := v.tell()
	v.w.after(reply.Interval, func() { v.announce(incarnation) })
}

func (v *vm) tell() cstarget.AnnounceReply {
	w := v.w
	v.sequence++
	a := cstarget.Announcement{
		ID: v.id, Incarnation: v.incarnation, Sequence: v.sequence, Address: string(v.id), Zone: v.zone, Rack: v.rack,
		Pool: v.pool, Fence: v.fence, Slots: slotsPerVM, Connections: 64, Cores: csmodel.MilliCPU(w.profile.Cores * 1000),
		Memory: memory, Running: v.running, Tasks: make([]cstarget.TaskReport, len(v.tasks)),
	}
	if record, ok := w.leader.machine.VM(v.id); ok && w.reaches(v.zone, w.nodes[0].zone) {
		v.node.own(record)
	}
	reply, events := v.node.registry.Announce(w.now(), a)
	v.node.handle(events)
	v.prepare(reply)
	return reply
}

// prepare follows a change of the pool and announces for it.
func (v *vm) prepare(reply cstarget.AnnounceReply) {
	if reply.Pool == "" || v.preparing || reply.Fence < v.fence || reply.Pool == v.pool && reply.Fence == v.fence {
		return
	}
	delay := time.Duration(0)
	if reply.Pool != v.pool {
		delay = prepareTime
		if v.home == v.w.spare() || reply.Pool == v.home {
			delay = spareTime
		}
	}
	v.preparing = true
	incarnation := v.incarnation
	v.w.after(delay, func() {
		v.preparing = false
		if v.lost || v.incarnation != incarnation {
			return
		}
		v.pool = reply.Pool
		v.fence = reply.Fence
		v.tell()
	})
}

// used is the capacity in use, in slots. Requests and deferred tasks share the processors in proportion.
func (v *vm) used() float64 {
	total := float64(v.running)
	for _, t := range v.tasks {
		total += t.load()
	}
	return total
}

// stretch is the factor by which work on the VM takes longer because its processors are overcommitted.
func (v *vm) stretch() float64 { return max(1, v.used()/slotsPerVM) }

// attempt runs a request. The service time follows from the load at its start.
func (v *vm) attempt(from *node, d csrequest.Dispatch) {
	w := v.w
	answer := func(e csrequest.Event) { w.send(v.zone, from.zone, func() { from.step(e) }) }
	switch {
	case v.lost:
		w.after(min(silence, d.Limit), func() { from.step(csrequest.AttemptFailed{Attempt: d.Attempt}) })
		return
	case v.incarnation != d.Incarnation:
		answer(csrequest.AttemptRefused{Attempt: d.Attempt})
		return
	case v.running >= slotsPerVM:
		answer(csrequest.AttemptRefused{Attempt: d.Attempt, NoSlot: true})
		return
	}
	v.running++
	service := time.Duration((0.5 + w.rng.Float64()) * v.stretch() * float64(w.profile.Service))
	if v.failing {
		service = failTime
	}
	incarnation := v.incarnation
	w.after(service, func() {
		if v.lost || v.incarnation != incarnation {
			// The connection stays silent until the attempt is given up.
			w.after(max(0, d.Limit-service), func() { from.step(csrequest.AttemptFailed{Attempt: d.Attempt, Sent: true}) })
			return
		}
		v.running--
		if v.failing {
			answer(csrequest.AttemptFailed{Attempt: d.Attempt, Sent: true})
			return
		}
		answer(csrequest.AttemptAnswered{Attempt: d.Attempt, Answer: csrequest.Answer{Status: 200}})
	})
}
