// Package csactor runs actors on goroutines that are reused.
package csactor

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

const (
	// throughput is the number of messages that an actor handles before it yields the processor, the default of the library.
	throughput = 300
	// idleTime is how long a goroutine waits for more messages before it ends. It is longer than the tick of a group.
	idleTime = 200 * time.Millisecond
)

// dispatcher runs the mailbox of one actor. The default dispatcher of the library starts a goroutine each time that a mailbox
// has messages; its stack starts small and is copied as it grows, thousands of times per second.
type dispatcher struct{ work chan func() }

// Reuse returns the properties of an actor that runs on a goroutine of its own while it has messages.
func Reuse() actor.PropsOption { return actor.WithDispatcher(newDispatcher()) }

func newDispatcher() *dispatcher { return &dispatcher{work: make(chan func())} }

// Schedule implements actor.Dispatcher.
func (d *dispatcher) Schedule(f func()) {
	select {
	case d.work <- f:
	default: // no goroutine waits
		go d.run(f)
	}
}

// Throughput implements actor.Dispatcher.
func (d *dispatcher) Throughput() int { return throughput }

// run runs f and what is scheduled afterwards until nothing is for idleTime.
func (d *dispatcher) run(f func()) {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		f()
		idle.Reset(idleTime)
		select {
		case f = <-d.work:
		case <-idle.C:
			return
		}
	}
}
