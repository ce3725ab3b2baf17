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

// Config configures a Router. Keys are required.
type Config struct {
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Zone        csmodel.AvailabilityZone
	Keys        *Keys
}

// Use is what the Router knows about its attempts on a target since the previous call of Uses.
type Use struct {
	Target      csmodel.VMID
	Incarnation csmodel.Incarnation
	Busy        int // attempts in flight
	Good        int // complete responses
	Bad         int // failures
}

// Load describes a pool's queue, for the capacity policy and metrics.
type Load struct {
	Pool     csmodel.PoolID
	Arrivals uint64 // total
	Queued   int
	Busy     int
	Slots    int
	Wait     time.Duration // expected wait of a request that arrives now
}

// Stats counts what the Router did since its start.
type Stats struct {
	Arrivals, Answered, NotRun, Unknown uint64
	Attempts, Retries, Hedges           uint64
	Late                                uint64 // events of closed attempts
}

// Router decides for the requests of one node.
type Router struct {
	config   Config
	prefix   string // of attempt ids
	jobs     map[csmodel.JobID]*jobState
	teams    map[csmodel.TeamID]*teamState
	pools    map[csmodel.PoolID]*pool
	requests map[RequestID]*request
	attempts map[csmodel.AttemptID]*attempt
	keyed    map[keyID]*request // requests in progress by key
	timers   timers
	sequence uint64
	budget   float64 // retries and hedges that may be sent now
	draining bool
	// configured is false until the first configuration: then no job is known, and an unknown one is no final refusal.
	configured bool
	stats      Stats
	now        time.Time // of the last event
	out        []Command
}

// noTeam stands for all teams that are not configured.
const noTeam csmodel.TeamID = ""

// NewRouter returns a Router without requests. It refuses requests until event Configure.
func NewRouter(c Config) *Router {
	return &Router{
		config:   c,
		prefix:   string(c.Node) + "." + strconv.FormatUint(uint64(c.Incarnation), keyBase) + ".",
		jobs:     map[csmodel.JobID]*jobState{},
		teams:    map[csmodel.TeamID]*teamState{noTeam: {}},
		pools:    map[csmodel.PoolID]*pool{},
		requests: map[RequestID]*request{},
		attempts: map[csmodel.AttemptID]*attempt{},
		keyed:    map[keyID]*request{},
		budget:   maxBudget,
	}
}

// Step handles an event and returns commands in the order of execution.
func (r *Router) Step(now time.Time, e Event) []Command {
	r.out = nil
	r.now = now
	switch e := e.(type) {
	case Arrive:
		r.arrive(now, e)
	case Configure:
		r.configure(now, e)
	case SlotsChanged:
		r.lease(e.Leases)
		r.pumpAll(now)
	case SummariesChanged:
		r.summarize(e)
		r.updateDemands(now)
	case Recorded:
		r.recorded(now, e)
	case AttemptAnswered:
		r.answered(now, e)
	case AttemptRefused:
		r.refused(now, e)
	case AttemptFailed:
		r.failed(now, e)
	case ForwardAnswered:
		r.forwardAnswered(e)
	case ForwardFailed:
		r.forwardFailed(now, e)
	case Cancelled:
		r.cancelled(now, e)
	case Tick:
		r.tick(now)
	}
	return r.out
}

func (r *Router) emit(c Command) { r.out = append(r.out, c) }

func (r *Router) tick(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		t := heap.Pop(&r.timers).(timer)
		req, ok := r.requests[t.id]
		if !ok {
			continue
		}
		switch t.kind {
		case timerDeadline:
			r.expired(now, req)
		case timerHedge:
			r.hedge(now, req)
		case timerLinger:
			r.gaveUp(now, req)
		}
	}
	r.pumpAll(now)
	r.updateDemands(now)
}

// Next returns the time of the next Tick that has an effect.
func (r *Router) Next() (time.Time, bool) {
	next, some := r.demandDue()
	consider := func(at time.Time) {
		if !some || at.Before(next) {
			next = at
			some = true
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
			if t.pausing.After(r.now) && t.pausing.Before(t.lease.Until) && t.busy < t.lease.Slots {
				consider(t.pausing)
			}
		}
	}
	return next, some
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
		r.pool(j.Pool)
	}
	r.jobs = jobs
	share := c.Share
	if share == 0 {
		share = 1
	}
	teams := make(map[csmodel.TeamID]*teamState, len(c.Configuration.Teams)+1)
	teams[noTeam] = &teamState{}
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

func (r *Router) pool(name csmodel.PoolID) *pool {
	p, ok := r.pools[name]
	if !ok {
		p = newPool(name)
		r.pools[name] = p
	}
	return p
}

func (r *Router) lease(leases []csmodel.SlotLease) {
	byPool := map[csmodel.PoolID][]csmodel.SlotLease{}
	for _, l := range leases {
		byPool[l.Pool] = append(byPool[l.Pool], l)
		r.pool(l.Pool)
	}
	for name, p := range r.pools {
		p.lease(byPool[name])
	}
}

func (r *Router) summarize(e SummariesChanged) {
	for _, p := range r.pools {
		p.summaries = slices.DeleteFunc(p.summaries, func(s csmodel.PoolSummary) bool { return s.Node == e.Node })
	}
	for _, s := range e.Pools {
		p := r.pool(s.Pool)
		p.summaries = append(p.summaries, s)
	}
}

// Uses returns attempts in flight and outcomes by target, in the order of target ids, and resets the outcome counts.
func (r *Router) Uses() []Use {
	var uses []Use
	for _, name := range csmodel.SortedKeys(r.pools) {
		for _, t := range r.pools[name].targets {
			if t.busy == 0 && t.good == 0 && t.bad == 0 {
				continue
			}
			uses = append(uses, Use{
				Target:      t.lease.Target,
				Incarnation: t.lease.Incarnation,
				Busy:        t.busy,
				Good:        t.good,
				Bad:         t.bad,
			})
			t.good = 0
			t.bad = 0
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
			Wait:     p.expected(now),
		})
	}
	return loads
}

// Waits returns the expected wait of each pool in the order of pool ids.
func (r *Router) Waits(now time.Time) []csmodel.PoolWait {
	waits := make([]csmodel.PoolWait, 0, len(r.pools))
	for _, name := range csmodel.SortedKeys(r.pools) {
		waits = append(waits, csmodel.PoolWait{Pool: name, Wait: r.pools[name].expected(now)})
	}
	return waits
}

// Stats returns the counts since the start.
func (r *Router) Stats() Stats { return r.stats }
