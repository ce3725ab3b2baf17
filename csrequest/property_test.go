package csrequest

import (
	"fmt"
	"testing"
	"time"
)

// dispatch decides the fate of an attempt: not sent, refused, run or not, answered once, twice, late or never.
func (w *world) dispatch(n *worldNode, d Dispatch) {
	arrival := n.arrivals[d.Request]
	t := &worldAttempt{dispatch: d, arrival: arrival}
	if arrival.replies > 0 {
		w.failf("attempt %s dispatched after the reply", d.Attempt)
	}
	arrival.dispatched = append(arrival.dispatched, t)
	if k := w.byText[arrival.arrive.Key]; k != nil {
		k.attempts = append(k.attempts, t)
	}
	switch k := w.random.IntN(100); {
	case k < 10:
		w.later(w.event(n, AttemptFailed{Attempt: d.Attempt}))
	case k < 25:
		w.later(w.event(n, AttemptRefused{Attempt: d.Attempt, Full: w.chance(50)}))
	case k < 30:
		w.later(w.event(n, AttemptFailed{Attempt: d.Attempt, Sent: true}))
	default:
		w.later(func() { w.run(n, t) })
	}
}

// run executes an attempt on its target, whatever has become of the node.
func (w *world) run(n *worldNode, t *worldAttempt) {
	w.executed++
	t.executed = true
	if t.barred {
		w.failf("attempt %s of request %d ran after not run was reported", t.dispatch.Attempt, t.dispatch.Request)
	}
	if k := w.byText[t.arrival.arrive.Key]; k != nil {
		k.executions++
		if k.executions > 1 && !k.idempotent {
			w.failf("key %s ran %d times", k.text, k.executions)
		}
	}
	answered := w.event(n, AttemptAnswered{
		Attempt: t.dispatch.Attempt,
		Answer:  Answer{Status: 200, Body: []byte(t.arrival.identity)},
	})
	lost := w.event(n, AttemptFailed{Attempt: t.dispatch.Attempt, Sent: true})
	switch k := w.random.IntN(100); {
	case k < 70:
		w.later(answered)
	case k < 80:
		w.later(answered)
		w.later(answered)
	case k < 85:
		w.later(answered)
		w.later(lost)
	case k < 95:
		w.later(lost)
	}
}

// forward carries a request to the owner of its key and the outcome back, or loses either.
func (w *world) forward(n *worldNode, f Forward) {
	arrival := n.arrivals[f.ID]
	var owner *worldNode
	for _, o := range w.nodes {
		if o.id == f.Node {
			owner = o
		}
	}
	if owner == nil || w.chance(5) {
		w.later(w.event(n, ForwardFailed{ID: f.ID}))
		return
	}
	w.later(func() {
		e := arrival.arrive
		e.Timeout = f.Timeout
		e.Forwarded = true
		w.arrive(owner, e, arrival.identity, arrival)
	})
}

func (w *world) reply(n *worldNode, r Reply) {
	a := n.arrivals[r.ID]
	a.replies++
	a.outcome = r.Outcome
	w.outcomes[r.Outcome]++
	if a.replies > 1 {
		w.failf("request %d of %s has %d replies", r.ID, n.id, a.replies)
	}
	switch r.Outcome {
	case Answered:
		if got := string(r.Answer.Body); got != a.identity {
			w.failf("request %d got the answer of %s, want %s", r.ID, got, a.identity)
		}
	case NotRun:
		w.bar(a, r.Reason)
	default:
	}
	if a.origin == nil {
		return
	}
	back := ForwardAnswered{ID: a.origin.arrive.ID, Outcome: r.Outcome, Answer: r.Answer, Reason: r.Reason}
	if w.chance(10) {
		w.later(w.event(a.origin.node, ForwardFailed{ID: a.origin.arrive.ID, Sent: true}))
		return
	}
	w.later(w.event(a.origin.node, back))
}

// bar checks that no attempt behind a reply of not run has run, and that none will. For a key that is every attempt with
// the key, at the time its owner decides: another request with the key may run while the outcome travels to its caller.
func (w *world) bar(a *worldArrival, reason Reason) {
	attempts := a.dispatched
	k := w.byText[a.arrive.Key]
	if k != nil && k.owner == a.node.id && !k.idempotent && a.arrive.Digest == k.digest {
		attempts = k.attempts
	}
	for _, t := range attempts {
		if t.executed {
			w.failf("request %d of %s is not run because of %q, but attempt %s ran",
				a.arrive.ID, a.node.id, reason, t.dispatch.Attempt)
		}
		t.barred = true
	}
}

// settle delivers everything that is pending and lets all timeouts pass.
func (w *world) settle() {
	for range 20 {
		for len(w.pending) > 0 {
			w.deliver()
		}
		w.now = w.now.Add(10 * time.Second)
		for _, n := range w.nodes {
			w.execute(n, n.router.Step(w.now, Tick{}))
		}
	}
}

// Guards against a key that runs twice, a request that is reported as not run but ran, a request with no outcome or two,
// and an answer that reaches the wrong caller.
func TestOutcomes(t *testing.T) {
	const steps = 100_000
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			w := newWorld(seed)
			for step := range steps {
				w.step()
				if w.err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, step, w.err)
				}
			}
			w.settle()
			if w.err != nil {
				t.Fatalf("seed %d, settling: %v", seed, w.err)
			}
			for _, n := range w.nodes {
				for id, a := range n.arrivals {
					if a.replies != 1 {
						t.Fatalf("seed %d: request %d of %s has %d replies", seed, id, n.id, a.replies)
					}
				}
				n.router.Drain(w.now)
				if !n.router.Drained() {
					t.Errorf("seed %d: %s has work left", seed, n.id)
				}
			}
			for _, o := range []Outcome{Answered, NotRun, Unknown} {
				if w.outcomes[o] < steps/200 {
					t.Errorf("seed %d: only %d outcomes %s", seed, w.outcomes[o], o)
				}
			}
			t.Logf("seed %d: outcomes %v, %d executions", seed, w.outcomes[1:], w.executed)
		})
	}
}
