package csproof

import (
	"context"
	"math/bits"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// leaveLimit is the slot lease of 2 s and a second for the announcement, after which a leaving target gets nothing.
const leaveLimit = 3 * time.Second

// Guards against work for a target that leaves, and against requests that are cut off by the departure of their target or
// by the drain of its VM, also one that starts together with their dispatch (I6, I7).
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, urgent(6), func(c *csfake.TargetConfig) {
		c.Service = func(csmodel.JobID) time.Duration { return 80 * time.Millisecond }
		c.Reboot = 500 * time.Millisecond
		c.Ledger = csfake.NewLedger() // of its own, to count what arrives
	})
	l := &load{fleet: f, name: "drain", keyed: 2, limit: 10 * time.Second, nodes: f.addresses("")}
	l.start(24, 1<<40)
	l.reach(200)
	arrived := func(vm csmodel.VMID) int { return f.specs[vm].Ledger.Total() + f.targets[vm].Refused() }
	const leaving = csmodel.VMID("web-5")
	left := time.Now()
	f.targets[leaving].Leave()
	eventually(t, ample, "end of the slot leases", func() bool { return time.Since(left) > leaveLimit })
	before := arrived(leaving)
	l.reach(l.done.Load() + 500)
	if after := arrived(leaving); after != before {
		t.Errorf("%d attempts sent to a target that left %v before", after-before, leaveLimit)
	}
	f.targets[leaving].Kill()
	f.boot(leaving)
	eventually(t, ample, "return of the target", func() bool { return arrived(leaving) > before+20 })

	operator := f.nodes[1].client
	for _, vm := range []csmodel.VMID{"web-0", "web-1", "web-2", "web-3"} {
		incarnation := f.targets[vm].Incarnation()
		began := time.Now()
		eventually(t, ample, "drain of "+string(vm), func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), ample)
			defer cancel()
			_, err := operator.Drain(ctx, csapi.Drain{VM: vm})
			return err == nil
		})
		eventually(t, ample, "reboot of "+string(vm), func() bool { return f.targets[vm].Incarnation() > incarnation })
		t.Logf("%s rebooted %v after its drain was requested", vm, time.Since(began))
		rebooted := arrived(vm)
		eventually(t, ample, "work for "+string(vm), func() bool { return arrived(vm) > rebooted+20 })
	}
	l.end()
	l.checkIn(func(id string) (runs int) {
		for _, spec := range f.specs {
			runs += spec.Ledger.Executions(id)
		}
		return runs
	})
	l.answers()
}

// Guards against a target that fails everything and, because its failures are fast, attracts the load; and against one
// that stays out after it works again (F5).
func TestQuarantine(t *testing.T) {
	t.Parallel()
	own := csfake.NewLedger()
	const faulty = csmodel.VMID("web-4")
	f := newFleet(t, 1, urgent(6), func(c *csfake.TargetConfig) {
		c.Service = func(csmodel.JobID) time.Duration { return 30 * time.Millisecond }
		if c.ID == faulty {
			c.Ledger = own
			c.Service = func(csmodel.JobID) time.Duration { return time.Millisecond }
		}
	})
	quarantined := func() bool {
		return slices.ContainsFunc(f.nodes, func(n *node) bool {
			return slices.ContainsFunc(n.status().VMs, func(vm csapi.VM) bool { return vm.ID == faulty && vm.Quarantined })
		})
	}
	f.targets[faulty].SetFault(csfake.FaultFail)
	start := &load{fleet: f, name: "start", keyed: 3, limit: 10 * time.Second, nodes: f.addresses("")}
	start.start(24, 1<<40)
	began := time.Now()
	eventually(t, ample, "quarantine", quarantined)
	t.Logf("quarantined after %v and %d attempts", time.Since(began), own.Total())
	// Slots that nodes held before end with their leases.
	end := time.Now().Add(leaveLimit)
	eventually(t, ample, "end of the slot leases", func() bool { return time.Now().After(end) })
	start.end()
	if got, fair := own.Total(), int(start.done.Load())/6; got > fair {
		t.Errorf("the faulty target attracted %d of %d attempts", got, start.done.Load())
	}

	before := own.Total()
	l := &load{fleet: f, name: "quarantine", keyed: 3, limit: 10 * time.Second, nodes: f.addresses("")}
	l.start(24, 3000)
	l.workers.Wait()
	l.checkIn(func(id string) int { return f.ledger.Executions(id) + own.Executions(id) })
	l.answers()
	probes := own.Total() - before
	t.Logf("%d of %d attempts were probes", probes, l.done.Load())
	// A probe is one request, and the delay before it doubles from 1 s.
	if limit := bits.Len(uint(time.Since(began).Seconds())) + 1; probes > limit {
		t.Errorf("%d attempts at a quarantined target in %v, want at most %d", probes, time.Since(began), limit)
	}

	f.targets[faulty].SetFault(csfake.FaultNone)
	back := &load{fleet: f, name: "back", keyed: 3, limit: 10 * time.Second, nodes: f.addresses("")}
	back.start(24, 1<<40)
	began = time.Now()
	eventually(t, time.Minute, "readmission", func() bool { return !quarantined() && own.Total() > before+probes+100 })
	t.Logf("readmitted after %v", time.Since(began))
	back.end()
	back.checkIn(func(id string) int { return f.ledger.Executions(id) + own.Executions(id) })
	back.answers()
}

// Guards against a burst at one pool that slows down another pool which is within its share (F1).
func TestBurstElsewhere(t *testing.T) {
	t.Parallel()
	c := urgent(3)
	c.Pools = append(c.Pools, csconfig.Pool{Name: "desk", Region: region, Size: 3, Budget: 1})
	c.Jobs = append(c.Jobs, csconfig.Job{
		Name: "ask", Pool: "desk", Class: csconfig.Urgent, Idempotent: true, Timeout: 10 * time.Second,
	})
	f := newFleet(t, 1, c, func(c *csfake.TargetConfig) {
		c.Service = func(job csmodel.JobID) time.Duration {
			if job == "quote" {
				return 250 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
	})
	desk := func(name string) *load {
		return &load{fleet: f, name: name, job: "ask", limit: 10 * time.Second, nodes: f.addresses("")}
	}
	before, during := desk("before"), desk("during")
	before.start(6, 1000)
	before.workers.Wait()
	before.clean()
	burst := &load{fleet: f, name: "burst", limit: ample, nodes: f.addresses("")}
	burst.start(900, 900)
	eventually(t, ample, "a queue at the other pool", func() bool {
		return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.status().Pools[1].Queued > 100 })
	})
	during.start(6, 1<<40)
	burst.workers.Wait()
	during.end()
	during.clean()
	burst.clean()
	if got := during.quantile(99); got > startLimit {
		t.Errorf("p99 of the other pool during the burst: got %v, limit %v, before %v", got, startLimit, before.quantile(99))
	}
	// The median of the burst shows that a shared queue would have exceeded the limit.
	if got := burst.quantile(50); got < startLimit {
		t.Errorf("the burst was served too fast to show anything: p50 %v", got)
	}
	t.Logf("p99 %v before, %v during the burst", before.quantile(99), during.quantile(99))
}
