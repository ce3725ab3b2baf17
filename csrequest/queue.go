package csrequest

import (
	"container/heap"

	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	maxQueueLength = 1024    // queued requests per pool
	stride         = 1 << 20 // virtual time that one request costs a team with share 1
)

// teamState holds the configuration of a team and the limiter of its quota on this node.
type teamState struct {
	config  csconfig.Team
	limiter *rate.Limiter // nil if the team has no quota
}

func (t *teamState) share() int { return max(1, t.config.Share) }

// teamQueue holds the queued requests of one team in one pool, earliest deadline first.
type teamQueue struct {
	team     *teamState
	name     csmodel.TeamID
	requests []*request
	pass     uint64 // virtual time of the team's next turn
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

// fairQueue is the queue of a pool, to which new requests are admitted up to maxQueueLength. Stride scheduling serves the
// teams in proportion to their shares.
type fairQueue struct {
	teams       map[csmodel.TeamID]*teamQueue
	active      []*teamQueue // teams with queued requests
	virtualTime uint64       // pass of the team served last
	length      int
}

func (f *fairQueue) add(r *request) {
	q, ok := f.teams[r.teamName]
	if !ok {
		q = &teamQueue{name: r.teamName}
		f.teams[r.teamName] = q
	}
	q.team = r.team
	if len(q.requests) == 0 {
		// A team accumulates no credit while it has no queued requests.
		q.pass = max(q.pass, f.virtualTime)
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
	if q.pass <= f.virtualTime {
		delete(f.teams, q.name)
	}
}

// head returns the next request to dispatch, or nil if the queue is empty.
func (f *fairQueue) head() *request {
	var next *teamQueue
	for _, q := range f.active {
		if next == nil || q.pass < next.pass || q.pass == next.pass && q.name < next.name {
			next = q
		}
	}
	if next == nil {
		return nil
	}
	return next.requests[0]
}

// take removes a request and advances the pass of its team, unless an earlier attempt of the request did.
func (f *fairQueue) take(r *request) {
	q := r.queue
	f.virtualTime = max(f.virtualTime, q.pass)
	if !r.charged {
		q.pass += stride / uint64(q.team.share())
		r.charged = true
	}
	f.remove(r)
}

// shedCandidate returns the queued request to refuse in favor of a new request of the named team when the queue is full. It is
// the request with the latest deadline of the team whose queue is longest in proportion to its share. It returns nil if the
// new request itself is to be refused: that team is its own, or would not have the longer queue in proportion to its share.
func (f *fairQueue) shedCandidate(name csmodel.TeamID, share int) *request {
	var longest *teamQueue
	for _, q := range f.active {
		if longest == nil || longerPerShare(q, longest) {
			longest = q
		}
	}
	if longest == nil || longest.name == name {
		return nil
	}
	ownLength := 1
	if q, ok := f.teams[name]; ok {
		ownLength += len(q.requests)
	}
	if len(longest.requests)*share <= ownLength*longest.team.share() {
		return nil
	}
	last := longest.requests[0]
	for _, r := range longest.requests {
		if r.deadline.After(last.deadline) || r.deadline.Equal(last.deadline) && r.sequence > last.sequence {
			last = r
		}
	}
	return last
}

// longerPerShare reports whether the queue of a is longer than that of b in proportion to the teams' shares. The name breaks
// ties.
func longerPerShare(a, b *teamQueue) bool {
	left := len(a.requests) * b.team.share()
	right := len(b.requests) * a.team.share()
	return left > right || left == right && a.name < b.name
}

// ahead returns the number of queued requests of the same team whose deadline is not later.
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

// totalShares returns the sum of the shares of the teams with queued requests and the named team.
func (f *fairQueue) totalShares(name csmodel.TeamID, share int) int {
	total := share
	for _, q := range f.active {
		if q.name != name {
			total += q.team.share()
		}
	}
	return total
}
