package csnode

import (
	"context"
	"sync"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
)

// attempts holds the cancel functions of attempts in flight.
type attempts struct {
	mutex  sync.Mutex
	cancel map[csmodel.AttemptID]context.CancelFunc
}

func newAttempts() *attempts { return &attempts{cancel: map[csmodel.AttemptID]context.CancelFunc{}} }

func (as *attempts) add(id csmodel.AttemptID, cancel context.CancelFunc) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	as.cancel[id] = cancel
}

func (as *attempts) remove(id csmodel.AttemptID) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	delete(as.cancel, id)
}

func (as *attempts) abort(id csmodel.AttemptID) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	if cancel, ok := as.cancel[id]; ok {
		cancel()
	}
}

func (as *attempts) abortAll() {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	for _, cancel := range as.cancel {
		cancel()
	}
}

// dispatch sends an attempt to its target. Its result is an event for the router.
func (n *Node) dispatch(d csrequest.Dispatch) {
	w, ok := n.waiters.get(d.Request)
	if !ok {
		n.send(n.tree.requests, csrequest.AttemptFailed{Attempt: d.Attempt})
		return
	}
	w.sent.Store(true)
	n.metrics.attempts.Inc()
	n.background(d.Limit, func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		n.attempts.add(d.Attempt, cancel)
		defer n.attempts.remove(d.Attempt)
		n.send(n.tree.requests, n.dispatcher.Do(ctx, d, w.body))
	})
}
