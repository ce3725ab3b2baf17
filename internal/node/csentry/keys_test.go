package csentry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

func requestWith(path, key string) csrpc.JobRequest {
	return csrpc.JobRequest{Action: csrpc.ActionState, Host: "h", Path: path, Key: key}
}

// answerTo is the answer of a leader that knows the key "good" and has a closed queue at /a/, an open one at /open/ and one at /mixed/ with an
// open one below it.
func answerTo(r csrpc.JobRequest) csrpc.JobAnswer {
	closed := func(prefix string) csrpc.JobAnswer {
		if r.Key == "good" {
			return csrpc.JobAnswer{Result: csrpc.ResultDone, Key: csjob.KeyKnown}
		}
		return csrpc.JobAnswer{Result: csrpc.ResultUnauthorized, Key: csjob.KeyUnknown, Prefix: prefix}
	}
	switch r.Path[:3] {
	case "/a/":
		return closed("/a/")
	case "/mi":
		return closed("")
	case "/op":
		return csrpc.JobAnswer{Result: csrpc.ResultDone, Key: csjob.KeyNotNeeded, Prefix: "/open/"}
	default:
		return csrpc.JobAnswer{Result: csrpc.ResultNoQueue}
	}
}

// serve passes a request through the gate and returns the leader's answer, if it was asked.
func serve(g *keyGate, r csrpc.JobRequest) (csrpc.JobAnswer, admission) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second) // ends a wait that no step of the clock ends
	defer cancel()
	leave, a := g.enter(ctx, r)
	defer leave()
	if a != admitted {
		return csrpc.JobAnswer{}, a
	}
	answer := answerTo(r)
	g.learn(r, answer)
	return answer, a
}

// Guards against a flood of unknown keys that takes up the leader's time (load: one client repeats a few unknown keys thousands of times per
// second), and against refusals that outlive the addition of a key or hit requests that the leader would serve.
func TestGateRepeatsRefusals(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := newKeyGate(clock)
	g.require(true)
	asked := 0
	for i := range 5000 { // 2.5 s
		r := requestWith(fmt.Sprint("/a/", i), fmt.Sprint("bad", i%3))
		if i%10 == 9 {
			r.Key = "good"
		}
		answer, a := serve(g, r)
		switch {
		case r.Key == "good" && (a != admitted || answer.Result != csrpc.ResultDone):
			t.Fatalf("request %d with a known key: got admission %d and result %d, want it served", i, a, answer.Result)
		case r.Key != "good" && a == admitted:
			asked++
		case r.Key != "good" && a != refusedKey:
			t.Fatalf("request %d with an unknown key: got admission %d, want %d", i, a, refusedKey)
		}
		clock.Advance(500 * time.Microsecond)
	}
	if got, want := asked, 3*5; got != want { // each key once in refusalTime
		t.Errorf("the leader was asked %d times for unknown keys, want %d", got, want)
	}
	cases := []struct {
		name, path, key string
		after           time.Duration
		want            admission
	}{
		{"same key at once", "/a/1", "bad", 0, refusedKey},
		{"same key just before the end", "/a/1", "bad", refusalTime - 1, refusedKey},
		{"same key later", "/a/1", "bad", refusalTime, admitted},
		{"another key", "/a/1", "bad2", 0, admitted},
		{"open queue", "/open/1", "bad", 0, admitted},
		{"unknown route", "/x/1", "bad", 0, admitted},
		{"no key", "/a/1", "", 0, admitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock.Advance(time.Hour)
			serve(g, requestWith("/a/0", "bad"))
			clock.Advance(c.after)
			if got, want := g.knownRefused(requestWith(c.path, c.key)), c.want == refusedKey; got != want {
				t.Errorf("known to be refused: got %t, want %t", got, want)
			}
			if _, got := serve(g, requestWith(c.path, c.key)); got != c.want {
				t.Errorf("got admission %d, want %d", got, c.want)
			}
		})
	}
	t.Run("queues with open ones below", func(t *testing.T) {
		serve(g, requestWith("/mixed/1", "bad"))
		if _, got := serve(g, requestWith("/mixed/open/1", "bad")); got != admitted {
			t.Errorf("got admission %d, want %d", got, admitted)
		}
	})
}

// Guards against a flood of ever new unknown keys that takes up the leader's time or the entry's memory, or makes requests with known keys or
// for open queues wait (load: each request has another key).
func TestGateBoundsUnprovenKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := newKeyGate(clock)
	g.require(true)
	serve(g, requestWith("/a/1", "good"))
	serve(g, requestWith("/open/1", "any"))
	var leaves []func()
	for i := range unprovenCalls { // their answers are on the way
		leave, a := g.enter(context.Background(), requestWith("/a/1", fmt.Sprint("held", i)))
		if a != admitted {
			t.Fatalf("request %d: got admission %d, want %d", i, a, admitted)
		}
		leaves = append(leaves, leave)
	}
	for _, r := range []csrpc.JobRequest{requestWith("/a/1", "good"), requestWith("/open/1", "another")} {
		if _, a := serve(g, r); a != admitted {
			t.Errorf("%s with key %q: got admission %d, want %d", r.Path, r.Key, a, admitted)
		}
	}
	wait := func(key string, meanwhile func()) admission {
		var all sync.WaitGroup
		var got admission
		all.Go(func() { _, got = serve(g, requestWith("/a/1", key)) })
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		meanwhile()
		all.Wait()
		return got
	}
	if got := wait("bad", func() { clock.Advance(unprovenWait) }); got != refusedBusy {
		t.Errorf("got admission %d after the longest wait, want %d", got, refusedBusy)
	}
	if got := wait("bad", leaves[0]); got != admitted {
		t.Errorf("got admission %d after another request was answered, want %d", got, admitted)
	}
	_, _ = g.enter(context.Background(), requestWith("/a/1", "held again"))
	proven := func() {
		g.learn(requestWith("/a/1", "late"), csrpc.JobAnswer{Key: csjob.KeyKnown})
		clock.Advance(unprovenWait)
	}
	if got := wait("late", proven); got != admitted {
		t.Errorf("got admission %d for a key that was proven meanwhile, want %d", got, admitted)
	}
	g.learn(requestWith("/a/1", "late"), csrpc.JobAnswer{Key: csjob.KeyUnknown})
	if a, decided := g.decide(requestWith("/a/1", "late")); decided && a == admitted {
		t.Error("a withdrawn key still counts as proven")
	}
	for i := range 3 * maxRefusals {
		r := requestWith("/a/1", fmt.Sprint("new", i))
		g.learn(r, answerTo(r))
		g.learn(r, answerTo(r))
	}
	if len(g.order) != maxRefusals || len(g.refused) != maxRefusals {
		t.Errorf("got %d refusals of %d keys, want %d", len(g.order), len(g.refused), maxRefusals)
	}
}

// Guards against deployments without accounts that meet the bound for unproven keys.
func TestGateWithoutAccounts(t *testing.T) {
	g := newKeyGate(clockwork.NewFakeClock())
	for i := range 10 * unprovenCalls {
		if _, a := g.enter(context.Background(), requestWith("/a/1", "")); a != admitted {
			t.Fatalf("request %d: got admission %d, want %d", i, a, admitted)
		}
	}
}

// Guards against a flood that fills the log, and against keys in it.
func TestRefusalsAreLoggedAtALimitedRate(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	registry, now := prometheus.NewRegistry(), time.Unix(1_800_000_000, 0)
	f := newRefusals(registry)
	for i := range 1000 {
		f.record(zap.New(core), now, requestWith(fmt.Sprint("/a/", i), "s3cret"), reasonCached)
	}
	f.record(zap.New(core), now.Add(time.Second), requestWith("/a/last", "s3cret"), reasonBusy)
	if got, want := lines.Len(), refusalBurst+1; got != want {
		t.Fatalf("got %d lines, want %d", got, want)
	}
	last := lines.All()[refusalBurst].ContextMap()
	if got, want := last["omitted"], int64(1000-refusalBurst); got != want || last["path"] != "/a/last" || last["key"] != true {
		t.Errorf("got last line %v, want %d omitted lines", last, want)
	}
	for _, l := range lines.All() {
		if text := fmt.Sprint(l.Message, l.ContextMap()); strings.Contains(text, "s3cret") {
			t.Fatalf("the line %q contains the key", text)
		}
	}
	families, err := registry.Gather()
	if err != nil || len(families) != 1 {
		t.Fatalf("got %d metrics and error %v, want 1", len(families), err)
	}
	counted := map[string]float64{}
	for _, m := range families[0].GetMetric() {
		counted[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
	}
	if counted[reasonCached] != 1000 || counted[reasonBusy] != 1 || counted[reasonLeader] != 0 {
		t.Errorf("counted %v, want 1000 refusals from the cache and 1 without a place", counted)
	}
}

// BenchmarkGate measures what a request with a known key costs at an entry that a flood has filled.
func BenchmarkGate(b *testing.B) {
	g := newKeyGate(clockwork.NewRealClock())
	r := requestWith("/a/1", "good")
	g.learn(r, answerTo(r))
	for i := range maxRefusals {
		bad := requestWith("/a/1", fmt.Sprint("bad", i))
		g.learn(bad, answerTo(bad))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, a := g.enter(b.Context(), r); a != admitted {
			b.Fatal("a known key was not admitted")
		}
	}
}
