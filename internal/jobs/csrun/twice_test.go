package csrun_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

var wholeTarget = csjob.Room{CPU: 8000, Memory: 8000}

// with calls f with a target, under the lock of the world.
func (i *installation) with(id csjob.TargetID, f func(*worker)) {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	f(i.world.workers[addressOf(id)])
}

// holdStarts holds the starts for one target; an empty name holds none.
func (i *installation) holdStarts(id csjob.TargetID) {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	i.world.hold = func(t csjob.Target, _ csrun.StartOrder) bool { return t.Life.Target == id }
}

// hand submits a job of one task and returns its name.
func (i *installation) hand(n int, duration time.Duration) csjob.ID {
	id := csjob.ID(fmt.Sprintf("%016x", n))
	i.submit(id, step(1, 1000, duration))
	return id
}

// Guards against a second run where a start of the leader before is still on its way and the target then refuses the start
// of the new leader as unhealthy. The fence of the first look keeps the earlier start out.
func TestStartOfAnEarlierLeaderStaysOut(t *testing.T) {
	t.Parallel()
	i := install(t, 31, 1, faults{})
	time.Sleep(3 * testBeat)
	i.holdStarts("1")
	i.hand(1, 500*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	i.leader.Follow()
	i.holdStarts("")
	i.leader.Lead(2)
	time.Sleep(5 * time.Millisecond)
	i.with("1", func(k *worker) { k.ill = true })
	time.Sleep(300 * time.Millisecond)
	i.world.mu.Lock()
	i.world.workers[addressOf("2")] = newWorker("2", wholeTarget)
	i.world.mu.Unlock()
	time.Sleep(2 * testBeat)
	i.with("1", func(k *worker) { k.ill = false })
	i.world.release()
	i.settle(10 * time.Second)
	i.checkRules()
}

// restart replaces a target by a new life under its name and address. Callers are not told: a connection that was closed
// meanwhile is replaced by a new one without an error.
func (i *installation) restart(id csjob.TargetID, mute bool) {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	k := newWorker(id, wholeTarget)
	k.mute = mute
	i.world.workers[addressOf(id)] = k
}

// Guards against ends of a new life being forgotten unseen: a target starts again between two calls, no call fails, and
// the leader acknowledges the numbers of the life before. The tasks that had ended there ran again.
func TestEndsOfANewLifeAreNotAcknowledgedUnseen(t *testing.T) {
	t.Parallel()
	i := install(t, 30, 1, faults{})
	for n := range 12 {
		i.hand(n, 10*time.Millisecond)
	}
	i.settle(5 * time.Second)
	i.restart("1", true)
	for n := range 6 {
		i.hand(100+n, 20*time.Millisecond)
		time.Sleep(30 * time.Millisecond)
	}
	i.with("1", func(k *worker) { k.mute = false })
	i.settle(5 * time.Second)
	i.checkRules()
}
