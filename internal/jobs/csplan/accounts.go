package csplan

import (
	"cmp"
	"math"
	"slices"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pool is the input and the result of the placement in one pool.
type Pool struct {
	Work     []Work // sorted
	Slots    []*Slot
	Capacity csjob.Resources // of all slots, with what their runs use
	// Used returns what the runs and pending starts of each account with runs in the pool use there. Nil is for a pool without runs.
	Used   func() map[csmodel.AccountID]csjob.Resources
	Placed []Placement
	// OverShare holds the accounts whose work had to wait for that of accounts below their share, and was not placed in full.
	OverShare []OverShare
}

// OverShare is an account that has reached its share of a full pool.
type OverShare struct {
	Account     csmodel.AccountID
	Steps       int     // steps that wait
	Used, Share float64 // dominant share of what all accounts use there, and what its weight gives it
}

// Account is what a round knows of a client account.
type Account struct {
	Limited  bool            // the account has a quota
	Headroom csjob.Resources // the quota without what runs and pending starts use
	Weight   float64         // zero where the account has none
}

// Accounts holds the client accounts of one round. Its quotas are shared by all pools. Nil is valid, and accounts have no influence then.
type Accounts struct {
	find  func(csmodel.AccountID) Account
	byID  map[csmodel.AccountID]*Account
	chunk []Account // for the next accounts
}

// accountChunk is how many accounts are allocated at a time.
const accountChunk = 32

// NewAccounts returns the accounts of a round. find is called at most once for each account with waiting work.
func NewAccounts(find func(csmodel.AccountID) Account) *Accounts {
	return &Accounts{find: find, byID: map[csmodel.AccountID]*Account{}}
}

func (a *Accounts) account(id csmodel.AccountID) *Account {
	out := a.byID[id]
	if out == nil {
		if len(a.chunk) == cap(a.chunk) {
			a.chunk = make([]Account, 0, accountChunk)
		}
		a.chunk = append(a.chunk, a.find(id))
		out = &a.chunk[len(a.chunk)-1]
		a.byID[id] = out
	}
	return out
}

// Place places the waiting tasks of all pools like Place, within the quotas and shares of the accounts. The work of each rank is placed in all
// pools before that of the next one, so that the headroom of an account goes to its most urgent work in whatever pool.
//
// A step without headroom is passed over: it reserves nothing and does not count as work that does not fit. Where more work waits in a pool
// than fits, the work of accounts that use less than their share goes first within each rank. The order of the other work remains. The share is
// one of what all accounts use there, not of the capacity: a full pool keeps a few percent free in gaps, so that large accounts would always be
// below their share of the capacity, and small ones would have no precedence.
func (a *Accounts) Place(pools []*Pool, starting func(csjob.TaskKey) bool) {
	rounds := make([]*poolRound, len(pools))
	for i, p := range pools {
		rounds[i] = &poolRound{placer: newPlacer(p.Slots, starting), work: p.Work}
		if a != nil {
			rounds[i].accounts = a
			rounds[i].divide(p)
		}
	}
	for {
		next, found := urgencyClass(0), false
		for _, r := range rounds {
			if !r.ended && len(r.work) > 0 && (!found || r.work[0].urgency.rank() < next) {
				next, found = r.work[0].urgency.rank(), true
			}
		}
		if !found {
			break
		}
		for _, r := range rounds {
			r.placeRank(next)
		}
	}
	for i, p := range pools {
		p.Placed, p.OverShare = rounds[i].out, rounds[i].overShare()
		if a != nil {
			a.withhold(p.Work, starting)
		}
	}
}

// Headroom returns the headroom of an account that is left after the placement.
func (a *Accounts) Headroom(id csmodel.AccountID) csjob.Resources { return a.account(id).Headroom }

// Take takes resources from the headroom of an account, and returns false if they exceed it.
func (a *Accounts) Take(id csmodel.AccountID, r csjob.Resources) bool {
	if a == nil {
		return true
	}
	o := a.account(id)
	if !o.Limited {
		return true
	}
	if !o.Headroom.Fits(r) {
		return false
	}
	o.Headroom = o.Headroom.Sub(r)
	return true
}

// withhold sets how many waiting tasks of the work of a pool have no headroom left after the placement, the most urgent ones first.
func (a *Accounts) withhold(work []Work, starting func(csjob.TaskKey) bool) {
	left := map[*Account]csjob.Resources{}
	for i := range work {
		w := &work[i]
		o := a.account(w.Job.Submission.Account)
		if !o.Limited {
			continue
		}
		rest, known := left[o]
		if !known {
			rest = o.Headroom
		}
		waiting := w.unstarted(starting) - w.placed
		n := w.room(rest, waiting)
		w.withheld = waiting - n
		left[o] = rest.Sub(times(w.Step.Resources, n))
	}
}

// poolRound is the placement in one pool.
type poolRound struct {
	*placer
	work     []Work // not placed yet
	accounts *Accounts
	byID     map[csmodel.AccountID]*poolAccount
	chunk    []poolAccount // for the next accounts
	deferred []int         // indexes of work of accounts that have reached their share
	full     bool          // more work waits than fits, so that shares count
	used     float64       // sum of the dominant shares of all accounts
	capacity csjob.Resources
}

// poolAccount is an account in one pool.
type poolAccount struct {
	*Account
	pool    *poolRound
	claimed csjob.Resources // headroom that steps which wait for room will use
	used    float64         // dominant share of the pool's capacity
	share   float64         // of what all accounts use, by weight
	waiting int             // deferred steps of which no task was placed
}

// divide finds out whether more work waits than fits, and gives each account with work in the pool its share then.
func (r *poolRound) divide(p *Pool) {
	r.byID, r.capacity = map[csmodel.AccountID]*poolAccount{}, p.Capacity
	if r.full = exceedsFree(p); !r.full {
		return
	}
	for i := range p.Work {
		r.account(p.Work[i].Job.Submission.Account)
	}
	var used map[csmodel.AccountID]csjob.Resources
	if p.Used != nil {
		used = p.Used()
	}
	for id := range used {
		r.account(id)
	}
	weights, weighted := 0.0, 0
	for _, a := range r.byID {
		if a.Weight > 0 {
			weights += a.Weight
			weighted++
		}
	}
	// An account without a weight counts with the mean weight, so that it is neither starved nor exempt from shares.
	mean := 1.0
	if weighted > 0 {
		mean = weights / float64(weighted)
	}
	weights += mean * float64(len(r.byID)-weighted)
	for id, a := range r.byID {
		a.used = dominant(used[id], p.Capacity)
		r.used += a.used
		if a.share = mean / weights; a.Weight > 0 {
			a.share = a.Weight / weights
		}
	}
}

// exceedsFree reports whether the waiting work of a pool needs more than is free, in any component. It counts all tasks of each step.
func exceedsFree(p *Pool) bool {
	var free csjob.Resources
	for _, s := range p.Slots {
		free = free.Add(s.Free)
	}
	for i := range p.Work {
		s := p.Work[i].Step
		if free = free.Sub(times(s.Needs(), s.Tasks)); free.CPU < 0 || free.Memory < 0 || free.GPUs < 0 {
			return true
		}
	}
	return false
}

// account returns an account of the pool.
func (r *poolRound) account(id csmodel.AccountID) *poolAccount {
	a := r.byID[id]
	if a == nil {
		if len(r.chunk) == cap(r.chunk) {
			r.chunk = make([]poolAccount, 0, accountChunk)
		}
		r.chunk = append(r.chunk, poolAccount{Account: r.accounts.account(id), pool: r})
		a = &r.chunk[len(r.chunk)-1]
		r.byID[id] = a
	}
	return a
}

// placeRank places the work of one rank, which must be the first of the remaining work or absent.
func (r *poolRound) placeRank(rank urgencyClass) {
	n := 0
	for ; n < len(r.work) && r.work[n].urgency.rank() == rank && !r.ended; n++ {
		w := &r.work[n]
		var a *poolAccount
		if r.accounts != nil {
			a = r.account(w.Job.Submission.Account)
			if r.full && a.used >= a.share*r.used {
				r.deferred = append(r.deferred, n)
				continue
			}
		}
		r.place(w, a)
	}
	for _, i := range r.deferred {
		w := &r.work[i]
		a := r.account(w.Job.Submission.Account)
		if !r.ended {
			r.place(w, a)
		}
		if w.placed == 0 {
			a.waiting++
		}
	}
	r.deferred = r.deferred[:0]
	r.work = r.work[n:]
}

// overShare returns the accounts with deferred work that was not placed, in the order of their names.
func (r *poolRound) overShare() (out []OverShare) {
	for id, a := range r.byID {
		if a.waiting > 0 && a.used > 0 {
			out = append(out, OverShare{Account: id, Steps: a.waiting, Used: a.used / r.used, Share: a.share})
		}
	}
	slices.SortFunc(out, func(a, b OverShare) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// room returns how many tasks of a step the account may start now. Nil has no limit.
func (a *poolAccount) room(w *Work, starting func(csjob.TaskKey) bool) int {
	if a == nil || !a.Limited {
		return math.MaxInt
	}
	return w.room(a.Headroom, w.unstarted(starting))
}

// take accounts for placed tasks of a step.
func (a *poolAccount) take(w *Work, tasks int) {
	if a == nil || tasks == 0 {
		return
	}
	w.placed += tasks
	used := times(w.Step.Resources, tasks)
	a.Headroom = a.Headroom.Sub(used)
	if a.pool.full {
		d := dominant(used, a.pool.capacity)
		a.used += d
		a.pool.used += d
	}
}

// claim reports whether headroom remains for a step that waits for room, after the more urgent steps of the account that wait for room in the
// pool, and claims it. Otherwise a backlog that the quota holds back would count as work that does not fit.
func (a *poolAccount) claim(w *Work) bool {
	if a == nil || !a.Limited {
		return true
	}
	n := w.room(a.Headroom.Sub(a.claimed), w.unstarted(a.pool.starting)-w.placed)
	a.claimed = a.claimed.Add(times(w.Step.Resources, n))
	return n > 0
}

// room returns how many of n tasks fit into the headroom of an account, those of a gang all or none.
func (w *Work) room(headroom csjob.Resources, n int) int {
	fit := headroom.Room(w.Step.Resources, n)
	if w.Step.Gang && fit < n {
		return 0
	}
	return fit
}

// unstarted returns the number of tasks without a run that are not being started.
func (w *Work) unstarted(starting func(csjob.TaskKey) bool) int {
	n := 0
	for i := range w.Idle() {
		if !starting(w.task(i)) {
			n++
		}
	}
	return n
}

// times returns n times r.
func times(r csjob.Resources, n int) csjob.Resources {
	return csjob.Resources{CPU: r.CPU * csmodel.MilliCPU(n), Memory: r.Memory * csjob.MiB(n), GPUs: r.GPUs * n}
}

// dominant returns the largest fraction of the capacity that is used of any component.
func dominant(used, capacity csjob.Resources) float64 {
	return max(
		float64(used.CPU)/float64(max(1, capacity.CPU)),
		float64(used.Memory)/float64(max(1, capacity.Memory)),
		float64(used.GPUs)/float64(max(1, capacity.GPUs)),
	)
}
