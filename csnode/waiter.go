package csnode

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
)

// waiter is a request whose caller, or the node that forwarded it, waits for the outcome.
type waiter struct {
	job   csmodel.JobID
	team  csmodel.TeamID
	key   string
	body  []byte
	sent  atomic.Bool // something of the request may have left this node
	reply func(csrequest.Reply)
}

// waiters holds the requests of the node outside the requests child, so that each of them gets its outcome when the child
// fails.
type waiters struct {
	mutex  sync.Mutex
	byID   map[csrequest.RequestID]*waiter
	lastID atomic.Uint64
}

func newWaiters() *waiters { return &waiters{byID: map[csrequest.RequestID]*waiter{}} }

func (ws *waiters) add(w *waiter) csrequest.RequestID {
	id := csrequest.RequestID(ws.lastID.Add(1))
	ws.mutex.Lock()
	defer ws.mutex.Unlock()
	ws.byID[id] = w
	return id
}

func (ws *waiters) get(id csrequest.RequestID) (*waiter, bool) {
	ws.mutex.Lock()
	defer ws.mutex.Unlock()
	w, ok := ws.byID[id]
	return w, ok
}

func (ws *waiters) count() int {
	ws.mutex.Lock()
	defer ws.mutex.Unlock()
	return len(ws.byID)
}

// resolve gives a request its outcome. Later outcomes of the same request are ignored.
func (ws *waiters) resolve(r csrequest.Reply) {
	ws.mutex.Lock()
	w, ok := ws.byID[r.ID]
	delete(ws.byID, r.ID)
	ws.mutex.Unlock()
	if ok {
		w.reply(r)
	}
}

// failAll ends all requests: not run where nothing was sent, otherwise unknown. A request with a key is unknown, because
// an earlier one with the same key may have run.
func (ws *waiters) failAll() {
	ws.mutex.Lock()
	all := ws.byID
	ws.byID = map[csrequest.RequestID]*waiter{}
	ws.mutex.Unlock()
	for id, w := range all {
		outcome := csrequest.NotRun
		if w.sent.Load() || w.key != "" {
			outcome = csrequest.Unknown
		}
		w.reply(csrequest.Reply{ID: id, Outcome: outcome, Reason: csrequest.ReasonStopped, RetryAfter: time.Second})
	}
}

// arrive hands a request to the requests child and returns its id.
func (n *Node) arrive(w *waiter, timeout time.Duration, forwarded bool) csrequest.RequestID {
	id := n.waiters.add(w)
	n.send(n.tree.requests, arrival{csrequest.RequestArrived{
		ID:         id,
		Job:        w.job,
		Team:       w.team,
		Timeout:    timeout,
		Idempotent: n.idempotent(w.job),
		Key:        w.key,
		Size:       csmodel.Bytes(len(w.body)),
		Digest:     xxhash.Sum64(w.body),
		Forwarded:  forwarded,
	}})
	select {
	case <-n.closed:
		n.waiters.resolve(csrequest.Reply{ID: id, Outcome: csrequest.NotRun, Reason: csrequest.ReasonStopped})
	default:
	}
	return id
}

func (n *Node) idempotent(job csmodel.JobID) bool {
	j, ok := findJob(n.Active().Configuration, job)
	return ok && j.Idempotent
}

func findJob(c csconfig.Configuration, id csmodel.JobID) (csconfig.Job, bool) {
	for _, j := range c.Jobs {
		if j.Name == id {
			return j, true
		}
	}
	return csconfig.Job{}, false
}
