package csrequest

import (
	"container/heap"

	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxQueue = 1024    // requests queued in a pool
	stride   = 1 << 20 // virtual time of one request of a team with share 1
)

// teamState is a team and its quota on this node.
type teamState struct {
	config  csconfig.Team
	limiter *rate.Limiter // nil without a quota
}

func (t *teamState) share() int { return max(1, t.config.Share) }

// teamQueue holds the queued requests of one team in one pool, earliest deadline first.
type teamQueue struct {
	team     *teamState
	name     csmodel.TeamID
	requests []*request
	pass     uint64 // virtual time at which the team is next in turn
}

// Len implements heap.Interface.
func (q *teamQueue) Len() int { return len(q.requests) }

// Less implements heap.Interface.
func (q *teamQueue) Less(i, j int) bool {
	a, b := q.requests[i], q.requests[j]
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *teamQueue) Swap(i, j int) {
	q.requests[i], q.requests[j] = q.requests[j], q.requests[i]
	q.requests[i].index = i
	q.requests[j].index = j
}

// Push implements heap.Interface.
func (q *teamQueue) Push(x any) {
	r := x.(*request)
	r.index = len(q.requests)
	q.requests = append(q.requests, r)
}

// Pop implements heap.Interface.
func (q *teamQueue) Pop() any {
	last := q.requests[len(q.requests)-1]
	q.requests[len(q.requests)-1] = nil
	q.requests = q.requests[:len(q.requests)-1]
	last.index = notQueued
	return last
}

const notQueued = -1

// fairQueue is the bounded queue of a pool: weighted fair share over teams by stride scheduling.
type fairQueue struct {
	teams   map[csmodel.TeamID]*teamQueue
	active  []*teamQueue // with queued requests
	virtual uint64       // pass of the team served last
	length  int
}

func (f *fairQueue) add(r *request) {
	q, ok := f.teams[r.teamName]
	if !ok {
		q = &teamQueue{name: r.teamName}
		f.teams[r.teamName] = q
	}
	q.team = r.team
	if len(q.requests) == 0 {
		// An idle team earns no credit for the time in which it queued nothing.
		q.pass = max(q.pass, f.virtual)
		f.active = append(f.active, q)
	}
	r.queue = q
	heap.Push(q, r)
	f.length++
}

func (f *fairQueue) remove(r *request) {
	q := r.queue
	heap.Remove(q, r.index)
	r.queue = nil
	f.length--
	if len(q.requests) > 0 {
		return
	}
	for i, a := range f.active {
		if a == q {
			f.active = append(f.active[:i], f.active[i+1:]...)
			break
		}
	}
	if q.pass <= f.virtual {
		delete(f.teams, q.name)
	}
}

// head returns the next request in turn, or nil.
func (f *fairQueue) head() *request {
	var best *teamQueue
	for _, q := range f.active {
		if best == nil || q.pass < best.pass || q.pass == best.pass && q.name < best.name {
			best = q
		}
	}
	if best == nil {
		return nil
	}
	return best.requests[0]
}

// take removes the request in turn and charges its team, unless the request was charged before.
func (f *fairQueue) take(r *request) {
	q := r.queue
	f.virtual = max(f.virtual, q.pass)
	if !r.charged {
		q.pass += stride / uint64(q.team.share())
		r.charged = true
	}
	f.remove(r)
}

// victim returns the request to refuse when the queue is full: the one with the latest deadline of the team whose queue is
// largest for its share. It returns nil where that team is the one of the new request.
func (f *fairQueue) victim(name csmodel.TeamID, share int) *request {
	var worst *teamQueue
	for _, q := range f.active {
		if worst == nil || heavier(q, worst) {
			worst = q
		}
	}
	if worst == nil || worst.name == name {
		return nil
	}
	own := 1
	if q, ok := f.teams[name]; ok {
		own += len(q.requests)
	}
	if len(worst.requests)*share <= own*worst.team.share() {
		return nil
	}
	last := worst.requests[0]
	for _, r := range worst.requests {
		if r.deadline.After(last.deadline) || r.deadline.Equal(last.deadline) && r.sequence > last.sequence {
			last = r
		}
	}
	return last
}

func heavier(a, b *teamQueue) bool {
	left := len(a.requests) * b.team.share()
	right := len(b.requests) * a.team.share()
	return left > right || left == right && a.name < b.name
}

// ahead returns the number of queued requests of a team with an earlier deadline.
func (f *fairQueue) ahead(r *request) int {
	q, ok := f.teams[r.teamName]
	if !ok {
		return 0
	}
	count := 0
	for _, other := range q.requests {
		if !other.deadline.After(r.deadline) {
			count++
		}
	}
	return count
}

// shares returns the sum of the shares of the teams with queued requests, the given team included.
func (f *fairQueue) shares(name csmodel.TeamID, share int) int {
	total := share
	for _, q := range f.active {
		if q.name != name {
			total += q.team.share()
		}
	}
	return total
}
