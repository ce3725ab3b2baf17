// Package csclock is a clock that also counts the time in which the machine was suspended.
package csclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clockwork.Clock whose Now advances while the machine is suspended and does not follow steps of the time of
// day. Its timers wait on the steady clock. A lease that is measured with it has ended when a suspended machine wakes.
type Boot struct {
	clockwork.Clock
	start time.Time
	since time.Duration
}

// NewBoot returns a clock that starts at the current time of day.
func NewBoot() *Boot {
	return &Boot{Clock: clockwork.NewRealClock(), start: time.Now().Round(0).UTC(), since: uptime()}
}

// Now returns the time of day at the start of the clock plus the time that has passed since.
func (b *Boot) Now() time.Time { return b.start.Add(uptime() - b.since) }

// Since returns the time that has passed since t.
func (b *Boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the time that is left until t.
func (b *Boot) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }

func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}
