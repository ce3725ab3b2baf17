// Package csadmit decides whether a submitted job can still have value. Its functions use neither the clock nor the network; the caller
// passes the time and all state.
package csadmit

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// interval is the resolution of a Backlog.
	interval = 100 * time.Millisecond
	// intervals bounds the time that a Backlog covers. Clients wait about 3 s, and the value of a job of 2 s is gone after 11 s.
	intervals = 128
	// Horizon is at least the time that a Backlog covers, as the end of a run that never ends.
	Horizon = time.Hour
	// certainShare is the part of the predicted run times that is counted on. In deployments with uneven servers run times are off by
	// half.
	certainShare = 0.5
)

// Profile is an amount by time from now on, in steps of interval. Amounts beyond the last interval are part of it.
type Profile [intervals]csmodel.MilliCPU

// add adds an amount that counts until the given time has passed. It is rounded down to whole intervals, so that it never counts for too
// long.
func (p *Profile) add(d time.Duration, amount csmodel.MilliCPU) {
	if n := int(d / interval); n > 0 {
		p[min(n, intervals)-1] += amount
	}
}

// Backlog is the work of a pool and the capacity that the pool can have, as seen by a round of the leader. Work that goes ahead of others
// is never overestimated, and capacity never underestimated. The zero value is a pool without work. The readers of a published Backlog
// must not modify it.
type Backlog struct {
	At time.Time
	// Now is the CPU of all targets of the pool without that of long-running tasks, whether they can take tasks or not, and of VMs on their
	// way. Any of them may be usable at any time.
	Now csmodel.MilliCPU
	// Movable is the CPU of VMs that can arrive when MoveTime has passed: those of standby pools and the idle ones of other pools.
	Movable  csmodel.MilliCPU
	MoveTime time.Duration

	// OnTime is the work of waiting tasks of jobs that can still meet their objective, in thousandths of a core times milliseconds, by the
	// time until which they go ahead of late jobs.
	OnTime Profile
	// Late is the CPU of waiting tasks of late jobs. They are not certain to go ahead of any job.
	Late csmodel.MilliCPU
	// Running is the CPU of runs, by their remaining run time.
	Running Profile
	// Targets holds the CPU that is free on each target, which a larger task cannot use.
	Targets []Room
	// Longest is the longest predicted run time of the tasks in OnTime.
	Longest time.Duration
}

// Room is the CPU that no run uses on a target, until the first run there is predicted to end.
type Room struct {
	Free  csmodel.MilliCPU
	Until time.Duration
}

// AddWaiting adds waiting tasks of a step. cpu is that of all these tasks, and runTime the predicted one of each.
func (b *Backlog) AddWaiting(w *csplan.Work, cpu csmodel.MilliCPU, runTime time.Duration) {
	switch {
	case w.Step.LongRunning || cpu <= 0 || w.Job.Surplus:
		return // surplus goes behind all other work
	case w.Late():
		b.Late += cpu
		return
	}
	b.OnTime.add(w.OnTimeUntil().Sub(b.At), cpu*csmodel.MilliCPU(runTime.Milliseconds()))
	b.Longest = max(b.Longest, runTime)
}

// AddRunning adds a run that is predicted to end after the given time.
func (b *Backlog) AddRunning(cpu csmodel.MilliCPU, remaining time.Duration) {
	b.Running.add(time.Duration(certainShare*float64(remaining)), cpu)
}

// waitingOnTime returns the work of waiting on-time tasks as the time that the present capacity needs for it.
func (b *Backlog) waitingOnTime() time.Duration {
	var sum csmodel.MilliCPU
	for _, w := range b.OnTime {
		sum += w
	}
	return time.Duration(float64(sum) / float64(max(1, b.Now)) * float64(time.Millisecond))
}

// start returns a lower bound of the time from b.At until a task of a new job can start that needs the given CPU. As long as the job is on time it may be the most
// urgent one, and only waits for free capacity. Later it is behind all work that is still on time. Work that was accepted after b.At does
// not count.
//
// When the task starts, all work ahead of it has started, and what of that still runs is at most the capacity times its longest run time.
func (b *Backlog) start(onTime time.Duration, need csmodel.MilliCPU) time.Duration {
	used := b.Running
	for _, r := range b.Targets {
		if r.Free < need {
			used.add(time.Duration(certainShare*float64(r.Until)), r.Free)
		}
	}
	var ahead, running csmodel.MilliCPU
	for k := range intervals {
		ahead += b.OnTime[k]
		running += used[k]
	}
	var done csmodel.MilliCPU // work that the capacity allows up to the end of interval k
	for k := range intervals {
		began := time.Duration(k) * interval
		capacity := b.Now
		if began+interval > b.MoveTime {
			capacity += b.Movable
		}
		free := max(0, capacity-running)
		done += free * csmodel.MilliCPU(interval.Milliseconds())
		unfinished := capacity * csmodel.MilliCPU(b.Longest.Milliseconds())
		first := csmodel.MilliCPU(certainShare * float64(max(0, ahead-unfinished)))
		if free > 0 && (began < onTime || done >= first) {
			return began
		}
		ahead -= b.OnTime[k]
		running -= used[k]
	}
	return intervals * interval
}
