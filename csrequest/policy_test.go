package csrequest

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// answerFirst advances the clock, answers the first dispatch in the history and returns the dispatches that follow.
func (h *harness) answerFirst(latency time.Duration) []Dispatch {
	h.now = h.now.Add(latency)
	d := commandsOf[Dispatch](h.history)[0]
	h.history = nil
	return commandsOf[Dispatch](h.step(answerTo(d)))
}

// warmUp serves enough requests with the given latency for the router to know the job's p95.
func (h *harness) warmUp(latency time.Duration) {
	for range minSamples + 1 {
		h.history = nil
		h.sendQuote("a", time.Minute)
		h.answerFirst(latency)
	}
	h.history = nil
}

// Guards against a team that gets more than its share of a busy pool, and against serving a later deadline before an earlier
// one of the same team.
func TestFairShare(t *testing.T) {
	h := newHarness(1)
	h.sendQuote("other", time.Hour) // occupies the slot
	teamOf := map[RequestID]csmodel.TeamID{}
	for i := range 80 {
		team := csmodel.TeamID("a")
		if i >= 40 {
			team = "b"
		}
		// The later a request of the team arrives, the earlier its deadline is.
		h.sendQuote(team, time.Hour-time.Duration(i)*time.Second)
		teamOf[h.lastID] = team
	}
	served := map[csmodel.TeamID]int{}
	last := map[csmodel.TeamID]RequestID{}
	for range 40 {
		d := h.answerFirst(time.Millisecond)[0]
		team := teamOf[d.Request]
		if last[team] != 0 && d.Request > last[team] {
			t.Errorf("request %d served after %d with a later deadline", d.Request, last[team])
		}
		last[team] = d.Request
		served[team]++
	}
	if served["a"] != 10 || served["b"] != 30 {
		t.Errorf("got served requests %v, want 10 of a and 30 of b", served)
	}
}

// Guards against an unbounded queue, and against a team that fills the queue of a pool and so blocks the other teams.
func TestQueueBound(t *testing.T) {
	h := newHarness()
	for range maxQueueLength {
		h.sendQuote("a", time.Minute)
	}
	h.history = nil
	wantOutcomes(t, "full", h.sendQuote("a", time.Minute), NotRun)
	out := h.sendQuote("b", time.Minute)
	wantOutcomes(t, "other team", out, NotRun)
	if got := commandsOf[Reply](out)[0].ID; got == h.lastID {
		t.Error("the request of the team with fewer requests was refused")
	}
	if got := h.Loads(h.now)[0].Queued; got != maxQueueLength {
		t.Errorf("got %d queued requests, want %d", got, maxQueueLength)
	}
}

// Guards against queuing requests whose expected wait exceeds their timeout, and against refusing requests that can be
// served. One slot with a latency of 10 ms serves 100 requests per second.
func TestAdmission(t *testing.T) {
	h := newHarness(1)
	h.warmUp(10 * time.Millisecond)
	refused := 0
	for range 150 {
		for _, r := range commandsOf[Reply](h.sendQuote("a", time.Second)) {
			refused++
			if r.Outcome != NotRun || r.Reason != ReasonWaitTooLong || r.RetryAfter < minRetryAfter {
				t.Errorf("got %+v", r)
			}
		}
	}
	if refused < 48 || refused > 52 {
		t.Errorf("refused %d of 150, want 50", refused)
	}
	wantOutcomes(t, "earlier deadline", h.sendQuote("a", 50*time.Millisecond))
}

// Guards against teams that exceed their quota, and against ignoring the node's share of the quota.
func TestQuota(t *testing.T) {
	for _, tt := range []struct {
		share float64
		want  int
	}{{1, 2 + 10}, {0.5, 1 + 5}} {
		h := newHarness(8, 8)
		h.step(Configure{Configuration: testConfig, Share: tt.share})
		admitted := 0
		for range 100 {
			h.history = nil
			if len(commandsOf[Dispatch](h.sendQuote("limited", time.Second))) == 1 {
				admitted++
				h.answerFirst(0)
			}
			h.now = h.now.Add(10 * time.Millisecond)
		}
		if admitted < tt.want-1 || admitted > tt.want {
			t.Errorf("share %v: admitted %d, want %d", tt.share, admitted, tt.want)
		}
	}
}

// Guards against retries that multiply the load while targets fail.
func TestRetryBudget(t *testing.T) {
	h := newHarness(8, 8)
	const requests = 1000
	for range requests {
		ds := commandsOf[Dispatch](h.sendQuote("a", time.Second))
		for len(ds) > 0 {
			out := h.step(AttemptFailed{Attempt: ds[0].Attempt, Sent: true})
			ds = append(ds[1:], commandsOf[Dispatch](out)...)
		}
		h.now = h.now.Add(time.Second)
	}
	if got := h.Stats().Retries; got > requests/10+maxRetryBudget || got < requests/10 {
		t.Errorf("got %d retries for %d requests, want between %d and %d", got, requests, requests/10, requests/10+maxRetryBudget)
	}
}

// Guards against hedging too early, on the same target, more than once, or for requests that are not idempotent.
func TestHedge(t *testing.T) {
	h := newHarness(8, 8)
	h.warmUp(10 * time.Millisecond)
	first := commandsOf[Dispatch](h.sendQuote("a", time.Second))[0]
	order := commandsOf[Dispatch](h.sendOrder(h.issueKey(), time.Second))
	if got := commandsOf[Dispatch](h.advance(9 * time.Millisecond)); len(got) != 0 {
		t.Errorf("hedged before the p95: %v", got)
	}
	second := commandsOf[Dispatch](h.advance(4 * time.Millisecond))
	if len(second) != 1 || second[0].Request != first.Request || second[0].Target == first.Target {
		t.Fatalf("got hedges %+v of %+v and %+v", second, first, order)
	}
	if got := commandsOf[Dispatch](h.advance(100 * time.Millisecond)); len(got) != 0 {
		t.Errorf("hedged again: %v", got)
	}
	out := h.step(answerTo(second[0]))
	wantOutcomes(t, "hedge", out, Answered)
	if aborts := commandsOf[Abort](out); len(aborts) != 1 || aborts[0].Attempt != first.Attempt {
		t.Errorf("got aborts %v", aborts)
	}
	wantOutcomes(t, "first attempt, late", h.step(answerTo(first)))
}

// Guards against unnecessary traffic between availability zones, and against waiting for the local zone while another one
// has free slots and the local wait exceeds minRemoteBenefit.
func TestZonePreference(t *testing.T) {
	h := newHarness()
	leases := append(leasesIn("z1", start.Add(time.Hour), 1), leasesIn("z2", start.Add(time.Hour), 8)...)
	h.step(SlotsChanged{Leases: leases})
	h.warmUp(10 * time.Millisecond)
	zone := func(d []Dispatch) string {
		if len(d) == 0 {
			return "none"
		}
		return string(d[0].Target[:2])
	}
	if got := zone(commandsOf[Dispatch](h.sendQuote("a", time.Minute))); got != "z1" {
		t.Errorf("got zone %s with a free local slot", got)
	}
	if got := zone(commandsOf[Dispatch](h.sendQuote("a", time.Minute))); got != "z2" {
		t.Errorf("got zone %s with a local wait of 10 ms", got)
	}
	fast := newHarness()
	fast.step(SlotsChanged{Leases: leases})
	fast.warmUp(time.Millisecond)
	fast.sendQuote("a", time.Minute)
	if got := zone(commandsOf[Dispatch](fast.sendQuote("a", time.Minute))); got != "none" {
		t.Errorf("got zone %s with a local wait of 1 ms", got)
	}
}

// Guards against requesting slots in other availability zones when local slots suffice or the other zones have none, and
// against a demand that does not decay to 0.
func TestDemand(t *testing.T) {
	tests := []struct {
		name       string
		local      int
		free       int
		wantRemote bool
	}{
		{"local slots suffice", 100, 50, false},
		{"remote is free", 4, 50, true},
		{"no remote", 4, 0, false},
	}
	for _, tt := range tests {
		h := newHarness(4)
		h.warmUp(50 * time.Millisecond)
		summaries := []csmodel.PoolSummary{
			{Node: "n1", Pool: "p", Zone: "z1", Targets: 1, Slots: tt.local},
			{Node: "n1", Pool: "p", Zone: "z2", Targets: 1, Slots: tt.free, Free: tt.free},
		}
		h.step(SummariesChanged{Node: "n1", Pools: summaries})
		for range 20 {
			h.sendQuote("a", time.Minute)
		}
		h.advance(increaseReportInterval)
		demands := commandsOf[Demand](h.history)
		last := demands[len(demands)-1]
		if last.Local < 20 || (last.Remote > 0) != tt.wantRemote {
			t.Errorf("%s: got demand %+v", tt.name, last)
		}
		for _, id := range csmodel.SortedKeys(h.requests) {
			h.step(Cancelled{ID: id})
		}
		for range 100 {
			h.advance(time.Second)
		}
		demands = commandsOf[Demand](h.history)
		if last = demands[len(demands)-1]; last.Local != 0 || last.Remote != 0 {
			t.Errorf("%s: demand %+v remains", tt.name, last)
		}
	}
}

// Guards against a slow or failing target whose concurrency limit is not reduced, or does not recover.
func TestAdaptiveLimit(t *testing.T) {
	tests := []struct {
		name        string
		observe     func(*target, time.Time)
		wantReduced bool
	}{
		{"normal", func(tgt *target, now time.Time) { tgt.observeAnswer(now, 10*time.Millisecond, 10*time.Millisecond) }, false},
		{"slow", func(tgt *target, now time.Time) { tgt.observeAnswer(now, 50*time.Millisecond, 10*time.Millisecond) }, true},
		{"failing", func(tgt *target, now time.Time) { tgt.observeFailure(now) }, true},
	}
	for _, tt := range tests {
		tgt := &target{}
		tgt.updateLease(leasesIn("z1", start.Add(time.Hour), 8)[0])
		now := start
		for range 100 {
			now = now.Add(limitReductionInterval)
			tt.observe(tgt, now)
		}
		if got := tgt.capacity(now) < 8; got != tt.wantReduced {
			t.Errorf("%s: got capacity %d", tt.name, tgt.capacity(now))
		}
		for range 300 {
			now = now.Add(limitReductionInterval)
			tgt.busy = tgt.capacity(now)
			tgt.observeAnswer(now, 10*time.Millisecond, 10*time.Millisecond)
		}
		if got := tgt.capacity(now); got != 8 {
			t.Errorf("%s: got capacity %d after recovery", tt.name, got)
		}
	}
}

// Guards against probing a quarantined target with a request that is not idempotent.
func TestProbe(t *testing.T) {
	h := newHarness()
	leases := leasesIn("z1", h.now.Add(time.Hour), 1)
	leases[0].Probe = true
	h.step(SlotsChanged{Leases: leases})
	if got := commandsOf[Dispatch](h.sendOrder(h.issueKey(), time.Second)); len(got) != 0 {
		t.Error("a request that is not idempotent was used as a probe")
	}
	h.advance(2 * time.Second)
	if got := commandsOf[Dispatch](h.sendQuote("a", time.Second)); len(got) != 1 {
		t.Error("no probe was sent")
	}
}

// Guards against a wrong result of Next, with which the caller of the Router would loop without pause or miss a deadline.
func TestNextTick(t *testing.T) {
	h := newHarness()
	h.sendQuote("a", time.Second)
	for range 50 {
		next, ok := h.Next()
		if !ok {
			break
		}
		if !next.After(h.now) {
			t.Fatalf("got next tick %v at %v, want a later time", next, h.now)
		}
		h.now = next
		h.step(Tick{})
	}
	if got := outcomes(h.history); len(got) != 1 || h.now.Before(start.Add(time.Second)) {
		t.Errorf("got outcomes %v after %v, want one after 1s", got, h.now.Sub(start))
	}
	if _, ok := h.Next(); ok {
		t.Error("Next returns a time without pending requests")
	}
}
