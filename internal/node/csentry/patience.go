package csentry

import (
	"strings"
	"sync"
	"time"

	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

const (
	// patienceWindow is how long the longest deadline of a queue is remembered, so that a change of the clients' settings is
	// followed. A queue between its busy phases gets a few requests in this time.
	patienceWindow = time.Minute
	// patienceQueues bounds the queues that are remembered. Deployments have tens of them; paths that no queue has come too.
	patienceQueues = 1024
	// patienceError is the difference of deadlines that says nothing: opening a connection takes this long.
	patienceError = 50 * time.Millisecond
)

// patience learns how long client accounts wait at first, by queue. A request that was refused comes again with what is left
// of that time, at any entry, so the difference tells how long its client account has waited already. The zero value works.
type patience struct {
	mu     sync.Mutex
	queues map[string]*deadlines
}

// deadlines are the longest deadlines of the present window and of the one before.
type deadlines struct {
	began          time.Time
	longest, older time.Duration
}

// aged returns a request as it is after some time in this entry.
func aged(r csrpc.JobRequest, after time.Duration) csrpc.JobRequest {
	if r.Remaining > 0 {
		r.Waited, r.Remaining = r.Waited+after, max(1, r.Remaining-after)
	}
	return r
}

// waited returns how long the client account of a submission has waited, as far as other submissions tell.
func (p *patience) waited(now time.Time, r csrpc.JobRequest) time.Duration {
	if r.Remaining <= 0 {
		return 0
	}
	key := r.Host + r.Path[:strings.LastIndexByte(r.Path, '/')+1]
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.queues[key]
	if d == nil {
		if p.queues == nil || len(p.queues) >= patienceQueues {
			p.queues = map[string]*deadlines{}
		}
		d = &deadlines{began: now}
		p.queues[key] = d
	}
	if now.Sub(d.began) >= patienceWindow {
		d.began, d.older, d.longest = now, d.longest, 0
	}
	d.longest = max(d.longest, r.Remaining)
	if left := max(d.longest, d.older) - r.Remaining; left > patienceError {
		return left
	}
	return 0
}
