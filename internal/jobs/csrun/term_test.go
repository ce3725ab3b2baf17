package csrun_test

import (
	"testing"
	"time"
)

// TestEndOfALifeDiesWithItsTerm guards against a second run after a change of the leader: the earlier one has given a silent
// target up, the group hands the command on to the next leader, which has heard from the target and started a run there, and
// the end of the life ends that run in the table only.
func TestEndOfALifeDiesWithItsTerm(t *testing.T) {
	t.Parallel()
	i := install(t, 37, 1, faults{})
	time.Sleep(3 * testBeat)
	i.with("1", func(k *worker) { k.dark = true })
	i.state.stall()
	time.Sleep(2 * time.Second)
	i.leader.Follow()
	held := i.state.end()
	if len(held) == 0 || len(held[0].Targets) == 0 {
		t.Fatalf("got %+v from the first leader, want the end of a life", held)
	}
	i.with("1", func(k *worker) { k.dark = false })
	i.leadAgain(2)
	time.Sleep(3 * testBeat)
	i.hand(1, time.Second)
	time.Sleep(100 * time.Millisecond)
	i.world.mu.Lock()
	i.world.workers[addressOf("2")] = newWorker("2", wholeTarget)
	i.world.mu.Unlock()
	time.Sleep(3 * testBeat)
	i.state.hand(held)
	i.state.hook()
	i.settle(5 * time.Second)
	i.checkRules()
}

// TestStartsDieWithTheirTerm guards against a target over its room after a change of the leader: starts of the earlier leader
// are committed although the next one has given the room away.
func TestStartsDieWithTheirTerm(t *testing.T) {
	t.Parallel()
	i := install(t, 38, 1, faults{})
	time.Sleep(3 * testBeat)
	i.state.stall()
	i.submit("00000000000000a1", step(1, 6000, 500*time.Millisecond))
	time.Sleep(3 * time.Second) // it misses its objective, so that the next leader chooses the other job
	i.leader.Follow()
	held := i.state.end()
	if len(held) == 0 || len(held[0].Starts) == 0 {
		t.Fatalf("got %+v from the first leader, want a start", held)
	}
	i.submit("00000000000000a2", step(1, 6000, 500*time.Millisecond))
	i.leadAgain(2)
	time.Sleep(200 * time.Millisecond)
	i.state.hand(held)
	i.state.hook()
	i.settle(5 * time.Second)
	i.checkRules()
}
