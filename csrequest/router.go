package csrequest

import (
	"container/heap"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Config configures a Router. Keys is required.
type Config struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
	Keys        *Keys
}

// TargetUsage counts the attempts on a target: those in flight, and those that ended since the previous call of
// Router.TargetUsage.
type TargetUsage struct {
	Target      csmodel.VMID
	Incarnation csmodel.Incarnation
	InFlight    int // attempts in flight
	Succeeded   int // complete responses since the previous call
	Failed      int // failures since the previous call
}

// Load describes the load of a pool, for the capacity policy and metrics.
type Load struct {
	Pool     csmodel.PoolID
	Arrivals uint64        // requests since the start
	Queued   int           // requests waiting for a slot
	Busy     int           // attempts in flight
	Slots    int           // attempts that may be in flight now
	Wait     time.Duration // expected wait of a request that arrives now
}

// Stats counts requests and attempts since the start of the Router.
type Stats struct {
	Arrivals, Answered, NotRun, Unknown uint64
	Attempts, Retries, Hedges           uint64
	LateEvents                          uint64 // events of attempts that were already closed
}

// Router routes the requests of one node. It is not safe for concurrent use.
type Router struct {
	config        Config
	attemptPrefix string // prefix of attempt ids
	jobs          map[csmodel.JobID]*jobState
	teams         map[csmodel.TeamID]*teamState
	pools         map[csmodel.PoolID]*pool
	requests      map[RequestID]*request
	attempts      map[csmodel.AttemptID]*attempt
	requestsByKey map[keyID]*request // requests in progress
	timers        timers
	sequence      uint64
	retryBudget   float64 // retries and hedges that are allowed now
	draining      bool
	// configured is false until the first Configure event. Until then no job is known, so a request is refused with
	// ReasonUnconfigured, which the caller may retry, instead of ReasonUnknownJob.
	configured bool
	stats      Stats
	now        time.Time // time of the last event
	commands   []Command
}

// unconfiguredTeam is the name under which the requests of all teams without configuration are queued.
const unconfiguredTeam csmodel.TeamID = ""

// NewRouter returns a Router. It refuses requests until the first Configure event.
func NewRouter(c Config) *Router {
	return &Router{
		config:        c,
		attemptPrefix: string(c.Node) + "." + strconv.FormatUint(uint64(c.Incarnation), keyBase) + ".",
		jobs:          map[csmodel.JobID]*jobState{},
		teams:         map[csmodel.TeamID]*teamState{unconfiguredTeam: {}},
		pools:         map[csmodel.PoolID]*pool{},
		requests:      map[RequestID]*request{},
		attempts:      map[csmodel.AttemptID]*attempt{},
		requestsByKey: map[keyID]*request{},
		retryBudget:   maxRetryBudget,
	}
}

// Step handles an event and returns the commands to execute, in order.
func (r *Router) Step(now time.Time, e Event) []Command {
	r.commands = nil
	r.now = now
	switch e := e.(type) {
	case RequestArrived:
		r.arrive(now, e)
	case Configure:
		r.configure(now, e)
	case SlotsChanged:
		r.slotsChanged(e.Leases)
		r.dispatchAllQueued(now)
	case SummariesChanged:
		r.summariesChanged(e)
		r.updateDemands(now)
	case Recorded:
		r.recorded(now, e)
	case AttemptAnswered:
		r.attemptAnswered(now, e)
	case AttemptRefused:
		r.attemptRefused(now, e)
	case AttemptFailed:
		r.attemptFailed(now, e)
	case ForwardAnswered:
		r.forwardAnswered(e)
	case ForwardFailed:
		r.forwardFailed(now, e)
	case Cancelled:
		r.cancelled(now, e)
	case Tick:
		r.tick(now)
	}
	return r.commands
}

func (r *Router) emit(c Command) { r.commands = append(r.commands, c) }

func (r *Router) tick(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		t := heap.Pop(&r.timers).(timer)
		req, ok := r.requests[t.id]
		if !ok {
			continue
		}
		switch t.kind {
		case timerDeadline:
			r.deadlineExpired(now, req)
		case timerHedge:
			r.hedge(now, req)
		case timerAttemptOverdue:
			r.failOverdueAttempts(now, req)
		}
	}
	r.dispatchAllQueued(now)
	r.updateDemands(now)
}

// Next returns the time of the next Tick that has an effect, or false if there is none.
func (r *Router) Next() (time.Time, bool) {
	next, found := r.nextDemandReport()
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next = at
			found = true
		}
	}
	if len(r.timers) > 0 {
		consider(r.timers[0].at)
	}
	for _, p := range r.pools {
		if p.queue.length == 0 {
			continue
		}
		for _, t := range p.targets {
			if t.pausedUntil.After(r.now) && t.pausedUntil.Before(t.lease.Until) && t.busy < t.lease.Slots {
				consider(t.pausedUntil)
			}
		}
	}
	return next, found
}

func (r *Router) configure(now time.Time, c Configure) {
	r.configured = true
	jobs := make(map[csmodel.JobID]*jobState, len(c.Configuration.Jobs))
	for _, j := range c.Configuration.Jobs {
		job, ok := r.jobs[j.Name]
		if !ok {
			job = newJob(j)
		}
		job.config = j
		jobs[j.Name] = job
		r.ensurePool(j.Pool)
	}
	r.jobs = jobs
	share := c.Share
	if share == 0 {
		share = 1
	}
	teams := make(map[csmodel.TeamID]*teamState, len(c.Configuration.Teams)+1)
	teams[unconfiguredTeam] = &teamState{}
	for _, t := range c.Configuration.Teams {
		team, ok := r.teams[t.Name]
		if !ok || team.config.Rate == 0 {
			team = &teamState{}
		}
		team.configure(now, t, share)
		teams[t.Name] = team
	}
	r.teams = teams
}

func (t *teamState) configure(now time.Time, c csconfig.Team, share float64) {
	t.config = c
	if c.Rate <= 0 {
		t.limiter = nil
		return
	}
	limit := rate.Limit(c.Rate * share)
	burst := max(1, int(float64(c.Burst)*share))
	if t.limiter == nil {
		t.limiter = rate.NewLimiter(limit, burst)
		return
	}
	t.limiter.SetLimitAt(now, limit)
	t.limiter.SetBurstAt(now, burst)
}

// ensurePool returns the pool with the given name and creates it if necessary.
func (r *Router) ensurePool(name csmodel.PoolID) *pool {
	p, ok := r.pools[name]
	if !ok {
		p = newPool(name)
		r.pools[name] = p
	}
	return p
}

func (r *Router) slotsChanged(leases []csmodel.SlotLease) {
	byPool := map[csmodel.PoolID][]csmodel.SlotLease{}
	for _, l := range leases {
		byPool[l.Pool] = append(byPool[l.Pool], l)
		r.ensurePool(l.Pool)
	}
	for name, p := range r.pools {
		p.replaceLeases(byPool[name])
	}
}

func (r *Router) summariesChanged(e SummariesChanged) {
	for _, p := range r.pools {
		p.summaries = slices.DeleteFunc(p.summaries, func(s csmodel.PoolSummary) bool { return s.Node == e.Node })
	}
	for _, s := range e.Pools {
		p := r.ensurePool(s.Pool)
		p.summaries = append(p.summaries, s)
	}
}

// TargetUsage returns the attempts in flight and the results by target, in the order of pool and target ids. It resets the
// result counts.
func (r *Router) TargetUsage() []TargetUsage {
	var uses []TargetUsage
	for _, name := range csmodel.SortedKeys(r.pools) {
		for _, t := range r.pools[name].targets {
			if t.busy == 0 && t.successes == 0 && t.failures == 0 {
				continue
			}
			uses = append(uses, TargetUsage{
				Target:      t.lease.Target,
				Incarnation: t.lease.Incarnation,
				InFlight:    t.busy,
				Succeeded:   t.successes,
				Failed:      t.failures,
			})
			t.successes = 0
			t.failures = 0
		}
	}
	return uses
}

// Loads returns the load of each pool in the order of pool ids.
func (r *Router) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(r.pools))
	for _, name := range csmodel.SortedKeys(r.pools) {
		p := r.pools[name]
		loads = append(loads, Load{
			Pool:     name,
			Arrivals: p.arrivals,
			Queued:   p.queue.length,
			Busy:     p.busy,
			Slots:    p.capacity(now, ""),
			Wait:     p.expectedQueueWait(now),
		})
	}
	return loads
}

// Waits returns the expected wait of each pool in the order of pool ids.
func (r *Router) Waits(now time.Time) []csmodel.PoolWait {
	waits := make([]csmodel.PoolWait, 0, len(r.pools))
	for _, name := range csmodel.SortedKeys(r.pools) {
		waits = append(waits, csmodel.PoolWait{Pool: name, Wait: r.pools[name].expectedQueueWait(now)})
	}
	return waits
}

// Stats returns the counts since the start of the Router.
func (r *Router) Stats() Stats { return r.stats }
