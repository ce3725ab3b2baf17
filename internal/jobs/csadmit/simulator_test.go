package csadmit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	simTick     = 20 * time.Millisecond
	simEndDelay = 120 * time.Millisecond // from the end of a run until it is committed
	simCPU      = csmodel.MilliCPU(1800) // of a task
	simVMCPU    = csmodel.MilliCPU(32000)
	simVMs      = 10
	simDuration = 16 * time.Second
	simBudget   = 3 * time.Second // how long a client waits over all its attempts
	simRetries  = 4
	simHangs    = time.Second // attempt without an answer
	simSigma    = 0.3         // of the logarithms of run times
)

// simSizes are the numbers of tasks of a step of small, medium and large jobs.
var simSizes = [3][2]int{{1, 4}, {6, 12}, {24, 40}}

// load is the load of a simulated pool.
type load struct {
	name    string
	rate    func(at time.Duration, queue int) float64 // arriving work relative to the capacity of the pool
	refuses bool                                      // admission refuses jobs
	gain    float64                                   // least share of served jobs that the order of late jobs has to add
	paths   [2]time.Duration                          // median run time of a task, by queue
	frozen  [2]time.Duration                          // the leader decides nothing; another one leads afterwards
	cut     [2]time.Duration                          // half of the targets are out of reach; their runs are lost
}

// client sends one job until it is accepted, or its time is over.
type client struct {
	number   int
	job      csjob.Submission
	queue    int
	size     int
	first    time.Duration // first attempt
	next     time.Duration // next attempt
	attempts int
	refused  time.Duration // when it was first refused; zero if it never was
	doubted  bool          // it would have been refused with admission
	accepted *csjob.Job
	longest  map[int]time.Duration
	ended    time.Duration // zero while it runs
}

// simulator simulates a pool, its clients and a leader under a virtual clock.
type simulator struct {
	load      load
	seed      uint64
	newOrder  bool
	admission bool
	random    *rand.Rand
	start     time.Time
	queues    [2]csjob.Queue
	clients   []*client
	active    []*client
	slots     []*csplan.Slot
	runs      []simRun
	backlog   *Backlog
	accepted  int
}

type simRun struct {
	slot    *csplan.Slot
	c       *client
	key     csjob.TaskKey
	started time.Time
	ends    time.Time
}

func newSimulator(l load, seed uint64, newOrder, admission bool) *simulator {
	sim := &simulator{
		load: l, seed: seed, newOrder: newOrder, admission: admission, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_800_000_000, 0),
		queues: [2]csjob.Queue{
			{Key: csjob.QueueKey{Host: "burst", Prefix: "/"}, Stretch: 1.6, Objective: 600 * time.Millisecond},
			{Key: csjob.QueueKey{Host: "steady", Prefix: "/"}, Stretch: 1.6, Objective: 600 * time.Millisecond},
		},
	}
	for i := range simVMs {
		sim.slots = append(sim.slots, &csplan.Slot{
			Incarnation: csjob.Incarnation{Target: csjob.TargetID(fmt.Sprint(i))}, Preferred: true,
			Free: csjob.Resources{CPU: simVMCPU, Memory: 1 << 30}, Drained: csjob.Resources{CPU: simVMCPU, Memory: 1 << 30},
		})
	}
	sim.createClients()
	return sim
}

// createClients draws all jobs before the simulation, so that they are the same for each order of work.
func (sim *simulator) createClients() {
	meanTasks := 0.0
	for _, s := range simSizes {
		meanTasks += float64(s[0]+s[1]) / 2 / float64(len(simSizes))
	}
	work := 1.4 * meanTasks * float64(simCPU) * math.Exp(simSigma*simSigma/2) // of a job whose tasks run for 1 s
	for at := time.Duration(0); at < simDuration; at += simTick {
		for queue := range sim.queues {
			perTick := sim.load.rate(at, queue) * simVMs * float64(simVMCPU) / work / sim.load.paths[queue].Seconds() * simTick.Seconds()
			for ; sim.random.Float64() < perTick; perTick-- {
				sim.clients = append(sim.clients, sim.newClient(at, queue))
			}
		}
	}
}

func (sim *simulator) newClient(at time.Duration, queue int) *client {
	c := &client{number: len(sim.clients), queue: queue, size: sim.random.IntN(len(simSizes)), first: at, next: at, longest: map[int]time.Duration{}}
	bounds := simSizes[c.size]
	for range 1 + int(min(1, sim.random.Float64()/0.6)) { // two steps in 0.4 of the jobs
		s := csjob.Step{Tasks: bounds[0] + sim.random.IntN(bounds[1]-bounds[0]+1), Resources: csjob.Resources{CPU: simCPU, Memory: 1}, Estimate: sim.load.paths[queue]}
		if len(c.job.Steps) > 0 {
			s.After = []int{0}
		}
		c.job.Steps = append(c.job.Steps, s)
	}
	c.job.ID, c.job.Queue = csjob.ID(fmt.Sprintf("%016x", len(sim.clients))), sim.queues[queue].Key
	return c
}

func within(at time.Duration, span [2]time.Duration) bool { return at >= span[0] && at < span[1] }

func (sim *simulator) run() {
	for at := time.Duration(0); at < simDuration; at += simTick {
		sim.endRuns(at)
		sim.loseTargets(at)
		sim.attempts(at)
		if !within(at, sim.load.frozen) {
			sim.startRuns(at)
			if at%(3*simTick) == 0 {
				sim.publish(at)
			}
		}
	}
}

// attempts sends the submissions that are due.
func (sim *simulator) attempts(at time.Duration) {
	for _, c := range sim.clients {
		if c.accepted != nil || c.next > at || at-c.first >= simBudget || c.attempts > simRetries {
			continue
		}
		c.attempts++
		if within(at, sim.load.frozen) {
			c.next = at + simHangs
			continue
		}
		c.job.Waited = at - c.first
		graced := sim.load.frozen[1] > 0 && at >= sim.load.frozen[1] && at < sim.load.frozen[1]+3*time.Second
		if d := Decide(sim.start.Add(at), sim.backlog, sim.queues[c.queue], c.job, &csplan.LearnedEstimator{}); d.Reason != None && !graced {
			c.doubted = true
			if sim.admission {
				if c.refused == 0 {
					c.refused = at
				}
				c.next = at + (d.Retry + time.Second - 1).Truncate(time.Second)
				continue
			}
		}
		sim.accepted++
		c.accepted = csjob.NewJob(c.job, sim.start.Add(at), csmodel.Index(sim.accepted))
		c.accepted.Begun = []*csjob.Occurrence{c.accepted.Submission.NewOccurrence(0)}
		sim.active = append(sim.active, c)
	}
}

func (sim *simulator) endRuns(at time.Duration) {
	open := sim.runs[:0]
	for _, r := range sim.runs {
		if r.ends.After(sim.start.Add(at)) || within(at, sim.load.frozen) {
			open = append(open, r)
			continue
		}
		r.slot.Free = r.slot.Free.Add(r.c.job.Steps[r.key.Step].Needs())
		o := r.c.accepted.Begun[0]
		task := &o.Tasks[r.key.Step][r.key.Index]
		task.Runs, task.Done = nil, true
		if o.Remaining[r.key.Step]--; !slices.ContainsFunc(o.Remaining, func(n int) bool { return n > 0 }) {
			r.c.ended = at
		}
	}
	sim.runs = open
	sim.active = slices.DeleteFunc(sim.active, func(c *client) bool { return c.ended > 0 })
}

// loseTargets ends the runs of the targets that are out of reach.
func (sim *simulator) loseTargets(at time.Duration) {
	if at != sim.load.cut[0] || sim.load.cut[1] == 0 {
		return
	}
	sim.runs = slices.DeleteFunc(sim.runs, func(r simRun) bool {
		lost := slices.Index(sim.slots, r.slot) < simVMs/2
		if lost {
			r.slot.Free = r.slot.Free.Add(r.c.job.Steps[r.key.Step].Needs())
			r.c.accepted.Begun[0].Tasks[r.key.Step][r.key.Index].Runs = nil
		}
		return lost
	})
}

func (sim *simulator) usable(at time.Duration) []*csplan.Slot {
	if within(at, sim.load.cut) {
		return sim.slots[simVMs/2:]
	}
	return sim.slots
}

// work returns the waiting work in its order.
func (sim *simulator) work(now time.Time) []csplan.Work {
	var out []csplan.Work
	for _, c := range sim.active {
		out = csplan.AppendWaiting(out, now, &csplan.LearnedEstimator{}, &sim.queues[c.queue], c.accepted)
	}
	if sim.newOrder {
		csplan.Sort(out)
		return out
	}
	type earlier struct {
		class int
		start time.Time
	}
	keys := map[csplan.StepKey]earlier{}
	for i := range out {
		w := &out[i]
		class, start := sim.earlierUrgency(now, w.Job)
		keys[w.Key] = earlier{class, start}
	}
	slices.SortStableFunc(out, func(a, b csplan.Work) int {
		x, y := keys[a.Key], keys[b.Key]
		return cmp.Or(cmp.Compare(x.class, y.class), x.start.Compare(y.start), cmp.Compare(a.Job.AcceptIndex, b.Job.AcceptIndex))
	})
	return out
}

// earlierUrgency is the order of late work by latest start alone.
func (sim *simulator) earlierUrgency(now time.Time, j *csjob.Job) (class int, latestStart time.Time) {
	e := &csplan.LearnedEstimator{}
	q := sim.queues[0]
	deadline, expiry := csplan.Objective(e, q, j, 0)
	remaining := csplan.RemainingCriticalPath(e, j, 0)
	latestStart = deadline.Add(-remaining - 120*time.Millisecond)
	slack := 400 * time.Millisecond
	for s, tasks := range j.Begun[0].Tasks {
		if j.Begun[0].Remaining[s] < len(tasks) || slices.ContainsFunc(tasks, func(t csjob.Task) bool { return t.Attempts > 0 }) {
			slack = -200 * time.Millisecond
		}
	}
	switch {
	case !latestStart.Before(now.Add(slack)):
		return 0, latestStart
	case expiry.Add(-remaining).After(now):
		return 1, latestStart
	default:
		return 2, latestStart
	}
}

func (sim *simulator) startRuns(at time.Duration) {
	now := sim.start.Add(at)
	byID := map[csjob.ID]*client{}
	for _, c := range sim.active {
		byID[c.job.ID] = c
	}
	for _, p := range csplan.Place(sim.work(now), sim.usable(at), func(csjob.TaskKey) bool { return false }) {
		p.Slot.Starting = 0 // targets confirm starts at once
		c := byID[p.Task.Job]
		runTime := sim.runTime(c, p.Task)
		c.longest[p.Task.Step] = max(c.longest[p.Task.Step], runTime)
		task := &c.accepted.Begun[0].Tasks[p.Task.Step][p.Task.Index]
		task.Attempts++
		task.Runs = []csjob.Run{{Attempt: task.Attempts}}
		sim.runs = append(sim.runs, simRun{p.Slot, c, p.Task, now, now.Add(runTime + simEndDelay)})
	}
}

// runTime returns the run time of a task. It does not depend on the order of work.
func (sim *simulator) runTime(c *client, k csjob.TaskKey) time.Duration {
	r := rand.New(rand.NewPCG(sim.seed<<32|uint64(c.number), uint64(k.Step<<16|k.Index)))
	return time.Duration(float64(sim.load.paths[c.queue]) * math.Exp(simSigma*r.NormFloat64()))
}

// publish makes the backlog that the leader publishes after a round.
func (sim *simulator) publish(at time.Duration) {
	now := sim.start.Add(at)
	b := &Backlog{At: now, Now: simVMs * simVMCPU}
	work := sim.work(now)
	for i := range work {
		n := 0
		for range work[i].Idle() {
			n++
		}
		b.AddWaiting(&work[i], csmodel.MilliCPU(n)*simCPU, work[i].Step.Estimate)
	}
	first := map[*csplan.Slot]time.Duration{}
	for _, r := range sim.runs {
		remaining := sim.load.paths[r.c.queue] - now.Sub(r.started)
		b.AddRunning(simCPU, remaining)
		if known, ok := first[r.slot]; !ok || remaining < known {
			first[r.slot] = remaining
		}
	}
	for _, s := range sim.slots {
		b.Targets = append(b.Targets, Room{s.Free.CPU, first[s]})
	}
	sim.backlog = b
}
