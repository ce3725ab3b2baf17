package csrequest

import (
	"fmt"
	"testing"
	"time"
)

// dispatch chooses the result of an attempt at random: not sent, refused, lost on the way, or run on its target.
func (s *simulation) dispatch(n *simNode, d Dispatch) {
	request := n.requests[d.Request]
	t := &simAttempt{dispatch: d, request: request}
	if request.replies > 0 {
		s.failf("attempt %s dispatched after the reply", d.Attempt)
	}
	request.attempts = append(request.attempts, t)
	if k := s.keysByText[request.arrive.Key]; k != nil {
		k.attempts = append(k.attempts, t)
	}
	switch roll := s.random.IntN(100); {
	case roll < 10:
		s.deliverLater(s.delivery(n, AttemptFailed{Attempt: d.Attempt}))
	case roll < 25:
		s.deliverLater(s.delivery(n, AttemptRefused{Attempt: d.Attempt, NoSlot: s.chance(50)}))
	case roll < 30:
		s.deliverLater(s.delivery(n, AttemptFailed{Attempt: d.Attempt, Sent: true}))
	default:
		s.deliverLater(func() { s.run(n, t) })
	}
}

// run executes an attempt on its target, even if the node has restarted. The response arrives once, twice, together with a
// failure, as a failure, or never.
func (s *simulation) run(n *simNode, t *simAttempt) {
	s.executions++
	t.executed = true
	if t.mustNotRun {
		s.failf("attempt %s of request %d ran after its request was reported as not-run", t.dispatch.Attempt, t.dispatch.Request)
	}
	if k := s.keysByText[t.request.arrive.Key]; k != nil {
		k.executions++
		if k.executions > 1 && !k.idempotent {
			s.failf("key %s ran %d times", k.text, k.executions)
		}
	}
	answered := s.delivery(n, AttemptAnswered{
		Attempt: t.dispatch.Attempt,
		Answer:  Answer{Status: 200, Body: []byte(t.request.wantBody)},
	})
	lost := s.delivery(n, AttemptFailed{Attempt: t.dispatch.Attempt, Sent: true})
	switch roll := s.random.IntN(100); {
	case roll < 70:
		s.deliverLater(answered)
	case roll < 80:
		s.deliverLater(answered)
		s.deliverLater(answered)
	case roll < 85:
		s.deliverLater(answered)
		s.deliverLater(lost)
	case roll < 95:
		s.deliverLater(lost)
	}
}

// forward sends a request to the owner of its key, or fails before sending it. The reply of the owner is returned by reply,
// which may lose it.
func (s *simulation) forward(n *simNode, f Forward) {
	request := n.requests[f.ID]
	var owner *simNode
	for _, o := range s.nodes {
		if o.id == f.Node {
			owner = o
		}
	}
	if owner == nil || s.chance(5) {
		s.deliverLater(s.delivery(n, ForwardFailed{ID: f.ID}))
		return
	}
	s.deliverLater(func() {
		e := request.arrive
		e.Timeout = f.Timeout
		e.Forwarded = true
		s.arrive(owner, e, request.wantBody, request)
	})
}

func (s *simulation) reply(n *simNode, r Reply) {
	req := n.requests[r.ID]
	req.replies++
	req.outcome = r.Outcome
	s.outcomes[r.Outcome]++
	if req.replies > 1 {
		s.failf("request %d of %s has %d replies", r.ID, n.id, req.replies)
	}
	switch r.Outcome {
	case Answered:
		if got := string(r.Answer.Body); got != req.wantBody {
			s.failf("request %d got the answer of %s, want %s", r.ID, got, req.wantBody)
		}
	case NotRun:
		s.checkNotRun(req, r.Reason)
	default:
	}
	if req.forwardedFrom == nil {
		return
	}
	answered := ForwardAnswered{ID: req.forwardedFrom.arrive.ID, Outcome: r.Outcome, Answer: r.Answer, Reason: r.Reason}
	if s.chance(10) {
		s.deliverLater(s.delivery(req.forwardedFrom.node, ForwardFailed{ID: req.forwardedFrom.arrive.ID, Sent: true}))
		return
	}
	s.deliverLater(s.delivery(req.forwardedFrom.node, answered))
}

// checkNotRun checks that no attempt of a request reported as not-run has run, and marks them so that none may run later. If
// the owner of a key replies, this covers all attempts with the key. When another node passes on the reply it covers only the
// attempts of that node, because another request with the key may run at the owner in the meantime.
func (s *simulation) checkNotRun(req *simRequest, reason Reason) {
	attempts := req.attempts
	k := s.keysByText[req.arrive.Key]
	if k != nil && k.owner == req.node.id && !k.idempotent && req.arrive.Digest == k.digest {
		attempts = k.attempts
	}
	for _, t := range attempts {
		if t.executed {
			s.failf("request %d of %s was reported as not-run (%q), but attempt %s ran",
				req.arrive.ID, req.node.id, reason, t.dispatch.Attempt)
		}
		t.mustNotRun = true
	}
}

// quiesce delivers all pending messages and lets all timeouts expire.
func (s *simulation) quiesce() {
	for range 20 {
		for len(s.pending) > 0 {
			s.deliver()
		}
		s.now = s.now.Add(10 * time.Second)
		for _, n := range s.nodes {
			s.execute(n, n.router.Step(s.now, Tick{}))
		}
	}
}

// Guards against running a key twice, reporting a request as not-run that has run, sending no reply or two, and returning an
// answer to the wrong caller.
func TestOutcomes(t *testing.T) {
	const steps = 100_000
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := newSimulation(seed)
			for step := range steps {
				s.step()
				if s.err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, step, s.err)
				}
			}
			s.quiesce()
			if s.err != nil {
				t.Fatalf("seed %d, quiescing: %v", seed, s.err)
			}
			for _, n := range s.nodes {
				for id, a := range n.requests {
					if a.replies != 1 {
						t.Fatalf("seed %d: request %d of %s has %d replies", seed, id, n.id, a.replies)
					}
				}
				n.router.Drain(s.now)
				if !n.router.Drained() {
					t.Errorf("seed %d: %s is not drained", seed, n.id)
				}
			}
			for _, o := range []Outcome{Answered, NotRun, Unknown} {
				if s.outcomes[o] < steps/200 {
					t.Errorf("seed %d: only %d outcomes %s", seed, s.outcomes[o], o)
				}
			}
			t.Logf("seed %d: outcomes %v, %d executions", seed, s.outcomes[1:], s.executions)
		})
	}
}
