package csmeasure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowslipstream.example/cowslipstream/cscapacity"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// Delays of the fakes.
const (
	sameZone     = 100 * time.Microsecond
	otherZone    = 500 * time.Microsecond
	commitTime   = 5 * time.Millisecond
	requestsTick = 20 * time.Millisecond
	targetsTick  = 100 * time.Millisecond
	leaderTick   = 250 * time.Millisecond
	silence      = time.Second // until a connection attempt without an answer is given up
	region       = csmodel.Region("r")
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// event is a function that runs at a point in virtual time. Equal times run in the order of creation.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// world is one run: the decision code of all nodes, and the fakes around it.
type world struct {
	profile  Profile
	rng      *rand.Rand // faults, attempts and tasks
	events   events
	sequence uint64
	at       time.Duration
	names    []csmodel.PoolID
	zones    []csmodel.AvailabilityZone
	nodes    []*node
	vms      []*vm
	byID     map[csmodel.VMID]*vm
	leader   *leader
	work     *work
	cutZone  csmodel.AvailabilityZone
	canceled float64 // part of the requests that their callers cancel
	sums     sums
}

// sums are the raw results of a run.
type sums struct {
	latency                                       *hdrhistogram.Histogram
	requests, started, answered, refused, unknown int
	moves                                         int
	held, idle                                    float64 // VMs, summed over ticks
	ticks                                         int
	due, finished                                 int // deferred tasks with a deadline in the measured time
	over                                          int // ticks in which more VMs of a pool were unavailable than budget and losses allow
}

func newWorld(p Profile, policy cscapacity.Policy, seed uint64, faults bool) *world {
	w := &world{
		profile: p, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[csmodel.VMID]*vm{},
		sums: sums{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)},
	}
	for i := range p.Pools - 1 {
		w.names = append(w.names, csmodel.PoolID(fmt.Sprintf("pool%03d", i)))
	}
	w.names = append(w.names, "spare")
	for i := range p.Zones {
		w.zones = append(w.zones, csmodel.AvailabilityZone(fmt.Sprintf("zone%02d", i)))
	}
	configuration := w.configuration()
	for i := range p.Nodes {
		w.nodes = append(w.nodes, newNode(w, i, configuration))
	}
	w.leader = newLeader(w, policy, configuration)
	w.work = newWork(w)
	for i := range p.VMs {
		w.addVM(i)
	}
	w.demand(seed)
	if faults {
		w.schedule()
	}
	return w
}

func (w *world) configuration() csconfig.Configuration {
	var c csconfig.Configuration
	for i, name := range w.names {
		spare := i == len(w.names)-1
		size := w.profile.size(i)
		part := w.profile.Budget
		if spare {
			part = w.profile.SpareBudget
		}
		c.Pools = append(c.Pools, csconfig.Pool{
			Name: name, Region: region, Size: size, Budget: max(1, int(part*float64(size))), Spare: spare,
		})
		if spare {
			continue
		}
		c.Jobs = append(c.Jobs,
			csconfig.Job{Name: urgentJob(name), Pool: name, Class: csconfig.Urgent, Idempotent: true, Timeout: timeout},
			csconfig.Job{Name: deferredJob(name), Pool: name, Class: csconfig.Deferred, Runtime: taskTime},
		)
	}
	c.Teams = []csconfig.Team{{Name: "team", Share: 1}}
	return c
}

func urgentJob(p csmodel.PoolID) csmodel.JobID   { return csmodel.JobID("urgent-" + p) }
func deferredJob(p csmodel.PoolID) csmodel.JobID { return csmodel.JobID("deferred-" + p) }

func (w *world) now() time.Time { return epoch.Add(w.at) }

func (w *world) after(d time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.at + d, sequence: w.sequence, run: f})
}

// every runs a function at an interval, from a first time on.
func (w *world) every(first, interval time.Duration, f func()) {
	w.after(first, func() {
		f()
		w.every(interval, interval, f)
	})
}

// run executes the events of the warm-up and the measured time.
func (w *world) run() {
	end := w.profile.Warm + w.profile.Length
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.at = e.at
		e.run()
	}
}

// spare is the name of the spare pool.
func (w *world) spare() csmodel.PoolID { return w.names[len(w.names)-1] }

func (w *world) measured() bool { return w.at >= w.profile.Warm }

// reaches tells whether messages pass between two zones.
func (w *world) reaches(a, b csmodel.AvailabilityZone) bool {
	return a == b || w.cutZone == "" || a != w.cutZone && b != w.cutZone
}

// send delivers a message between zones unless they are cut off from each other.
func (w *world) send(from, to csmodel.AvailabilityZone, f func()) {
	if !w.reaches(from, to) {
		return
	}
	delay := otherZone
	if from == to {
		delay = sameZone
	}
	w.after(delay, f)
}

// tasks applies commands to the task table as one entry.
func (w *world) tasks(commands ...cstask.Command) []cstask.Result {
	return w.leader.machine.Do(csfleet.Tasks{Commands: commands}, w.now()).Tasks
}
