package csrun_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// add brings a target into the world.
func (i *installation) add(id csjob.TargetID) {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	i.world.workers[addressOf(id)] = newWorker(id, wholeTarget)
}

// runsOn returns how many runs a target has begun.
func (i *installation) runsOn(id csjob.TargetID) int {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	n := 0
	for _, r := range i.world.runs {
		if r.worker.life.Target == id {
			n++
		}
	}
	return n
}

// await waits until a condition holds.
func (i *installation) await(what string, holds func() bool) {
	i.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	i.t.Errorf("got no end of the wait for %s", what)
}

// targets returns the number of targets in the table.
func (i *installation) targets() int {
	n := 0
	i.state.View(func(t *csjob.Table) { n = len(t.Targets()) })
	return n
}

// knows tells whether the table holds the present life of a target.
func (i *installation) knows(id csjob.TargetID) bool {
	var life csjob.Life
	i.with(id, func(k *worker) { life = k.life })
	known := false
	i.state.View(func(t *csjob.Table) {
		record, ok := t.Target(id)
		known = ok && record.Life == life
	})
	return known
}

// Guards against a second run by a start that is carried out seconds late: its target was given up by its lease meanwhile and
// has joined again, with the same birth time or as a new life under its name, and the task runs elsewhere.
func TestLateStartAfterTheTargetHasJoinedAgain(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		name := "same life"
		if restarted {
			name = "new life"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := install(t, 40, 1, faults{})
			time.Sleep(3 * testBeat)
			i.holdStarts("1")
			i.hand(1, 1500*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			i.with("1", func(k *worker) { k.dark = true })
			i.await("the target being given up", func() bool { return i.targets() == 0 })
			i.add("2")
			i.await("the second run", func() bool { return i.runsOn("2") == 1 })
			i.holdStarts("")
			if restarted {
				i.restart("1", false)
			}
			i.with("1", func(k *worker) { k.dark = false })
			lasting := csjob.Step{Tasks: 2, Room: csjob.Room{CPU: 1000, Memory: 100}, Lasting: true, Spread: 1}
			i.submit("00000000000000aa", lasting) // extends the lease of the target
			i.await("work on the target", func() bool { return i.runsOn("1") == 1 })
			i.world.release()
			i.propose(csjob.Command{Cancel: &csjob.Ref{Queue: testKey, ID: "00000000000000aa"}})
			i.settle(5 * time.Second)
			i.checkRules()
		})
	}
}

// Guards against ends of a new life being forgotten unseen: a look at the life before is carried out seconds late, and
// acknowledges the numbers of that life.
func TestLateLookAcknowledgesNothingOfTheNextLife(t *testing.T) {
	t.Parallel()
	i := install(t, 41, 1, faults{})
	for n := range 4 {
		i.hand(n, 10*time.Millisecond)
	}
	i.settle(5 * time.Second)
	var late csrun.LookOrder
	i.with("1", func(k *worker) { late = csrun.LookOrder{Fence: k.fence, Noted: k.noted} })
	if late.Noted == 0 {
		t.Fatal("got no acknowledged end, want some")
	}
	i.restart("1", false)
	i.await("the new life", func() bool { return i.knows("1") })
	i.hand(10, 300*time.Millisecond)
	i.await("the run on the new life", func() bool { return i.runsOn("1") == 5 })
	i.with("1", func(k *worker) { k.dark = true }) // its end is not seen at once
	time.Sleep(350 * time.Millisecond)
	i.with("1", func(k *worker) { k.dark = false })
	target := csjob.Target{Life: csjob.Life{Target: "1"}, Address: addressOf("1")}
	look, err := i.world.Look(t.Context(), target, late)
	if err != nil || look.Refusal != csrun.RefusedFence {
		t.Errorf("got the late look answered with refusal %s and error %v, want it refused by its fence", look.Refusal, err)
	}
	i.settle(5 * time.Second)
	i.checkRules()
}

// Guards against a second run while the first may still run, and after an end that was noted: targets with clocks that are 2%
// slow are out of reach, in one direction or both, for about as long as a lease, answers get lost, orders arrive late and the
// leader changes. An end counts as noted by the platform's rules, unless the lease lapsed before.
func TestNoSecondRunWhileTheFirstMayRun(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{60, 61, 62, 63} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			i := install(t, seed, 4, faults{lost: 0.05, late: 0.05})
			random := rand.New(rand.NewPCG(seed, 3))
			i.world.mu.Lock()
			i.world.lapsesVoid = true
			for _, k := range i.world.workers {
				k.drift = 0.02
			}
			i.world.mu.Unlock()
			time.Sleep(3 * testBeat)
			for n := range 60 {
				i.hand(n, time.Duration(50+random.IntN(900))*time.Millisecond)
				if n%10 == 9 {
					i.cutFor(csjob.TargetID(fmt.Sprint(1+random.IntN(4))), random.IntN(2) == 0, time.Duration(700+random.IntN(1500))*time.Millisecond)
				}
				if n%20 == 19 {
					i.leader.Follow()
					i.leadAgain(csmodel.Term(n))
				}
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
			}
			i.settle(30 * time.Second)
			i.checkRules()
		})
	}
}

// cutFor cuts a target off for a while. Its heartbeats still arrive where the cut has one direction.
func (i *installation) cutFor(id csjob.TargetID, both bool, d time.Duration) {
	cut := func(on bool) {
		i.with(id, func(k *worker) { k.dark, k.deaf = on && both, on && !both })
	}
	cut(true)
	time.AfterFunc(d, func() { cut(false) })
}

// Guards against a leader that resigns although no other one leads, and then decides nothing for ever: a look at the earlier life
// of a target is still on its way when the new life has seen the fence of the stops, and is refused there.
func TestLookOnItsWayDuringARestartEndsNoTerm(t *testing.T) {
	t.Parallel()
	timing := testTiming
	timing.CallTimeout = time.Second
	i := installWith(t, 42, 1, faults{}, timing)
	time.Sleep(3 * testBeat)
	i.hand(1, 100*time.Millisecond)
	i.await("the run", func() bool { return i.runsOn("1") == 1 })
	gate := make(chan struct{})
	var before csmodel.Fence
	i.with("1", func(k *worker) { before, i.world.gate = k.fence, gate })
	i.await("a look on its way", func() (taken bool) {
		i.with("1", func(*worker) { taken = i.world.gate == nil })
		return taken
	})
	i.state.set(func() { i.state.pause = 150 * time.Millisecond })
	i.restart("1", false)
	i.await("the fence of the stops", func() (seen bool) {
		i.with("1", func(k *worker) { seen = k.fence > before })
		return seen
	})
	close(gate)
	i.state.set(func() { i.state.pause = 0 })
	i.settle(5 * time.Second)
	i.checkRules()
}
