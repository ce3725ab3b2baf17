package csactor

import (
	"bytes"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// Pattern: an actor gets single messages in quick succession. Guards against a goroutine for each of them, and against one that
// stays when the actor has nothing to do.
func TestGoroutineIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		seen := map[string]bool{}
		for range 10 {
			done := make(chan string)
			d.Schedule(func() { done <- goroutine() })
			seen[<-done] = true
			synctest.Wait()
		}
		if got, want := len(seen), 1; got != want {
			t.Errorf("got %d goroutines, want %d", got, want)
		}
		time.Sleep(2 * idleTime)
		select {
		case d.work <- func() {}:
			t.Error("got a goroutine that still waits, want it ended")
		default:
		}
	})
}

// goroutine returns the line of the stack trace that names the calling goroutine.
func goroutine() string {
	b := make([]byte, 64)
	line, _, _ := bytes.Cut(b[:runtime.Stack(b, false)], []byte(" ["))
	return string(line)
}

// Guards against messages that are lost or handled out of order between two uses of a goroutine.
func TestMessagesKeepTheirOrder(t *testing.T) {
	const messages = 2000
	system := actor.NewActorSystem()
	defer system.Shutdown()
	got := make(chan int, messages)
	pid := system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		if n, ok := c.Message().(int); ok {
			got <- n
		}
	}, Reuse()))
	for n := range messages {
		system.Root.Send(pid, n)
		if n%100 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for want := range messages {
		if n := <-got; n != want {
			t.Fatalf("got message %d, want %d", n, want)
		}
	}
}
