package csproof

import (
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// urgent has the jobs of configuration and a pool of a size for them, without a spare pool.
func urgent(size int) csconfig.Configuration {
	c := configuration(0)
	c.Pools = []csconfig.Pool{{Name: "web", Region: region, Size: size, Budget: 1}}
	return c
}

// Guards against duplicates of work that is not idempotent, requests that ran although they were reported as not run,
// mixed or partial answers and calls without an outcome, while failures of callers' connections, links, entry nodes,
// targets and an availability zone come together and twice (I3, I4, I5; F1, F5, F6, F10).
func TestRequestsUnderFaults(t *testing.T) {
	const total = 50_000
	f := newFleet(t, 2, urgent(9), func(c *csfake.TargetConfig) {
		c.Service = func(csmodel.JobID) time.Duration { return 4 * time.Millisecond }
	})
	var doors []*link // between callers and nodes
	l := &load{fleet: f, name: "wave", keyed: 3, limit: 4 * time.Second, attempt: time.Second}
	for _, n := range f.nodes {
		door := newLink(t, n.Listen)
		doors = append(doors, door)
		l.nodes = append(l.nodes, door.address())
	}
	kill := func(names ...csmodel.NodeID) {
		for _, name := range names {
			f.node(name).stop(9)
		}
	}
	restart := func(names ...csmodel.NodeID) {
		for _, name := range names {
			f.node(name).start()
		}
	}
	faulty := func(faults ...csfake.Fault) {
		for i, fault := range faults {
			f.targets[csmodel.VMID(fmt.Sprintf("web-%d", i))].SetFault(fault)
		}
	}
	wave := func() {
		for i, door := range doors {
			door.toxic("reset_peer", []string{inward, outward}[i%2], 0.3, `"timeout":150`)
			door.toxic("limit_data", []string{outward, inward}[i%2], 0.2, `"bytes":20000`)
			door.toxic("latency", inward, 0.5, `"latency":5,"jitter":5`)
		}
		for _, between := range f.links {
			between.toxic("reset_peer", outward, 0.3, `"timeout":400`)
			between.toxic("limit_data", inward, 0.2, `"bytes":60000`)
			between.toxic("latency", outward, 1, `"latency":3,"jitter":3`)
		}
	}
	calm := func() {
		f.heal()
		for _, door := range doors {
			door.heal()
		}
	}
	l.start(120, total)
	for _, step := range []struct {
		at    int64 // ended calls
		fault string
		do    func()
	}{
		{3_000, "resets, truncation and delays", wave},
		{6_000, "late, doubled and truncated answers and a silent target",
			func() { faulty(csfake.FaultLate, csfake.FaultTwice, csfake.FaultTruncate, csfake.FaultSilent) }},
		{10_000, "entry nodes killed, one with a disk; targets lost", func() {
			kill("a-1", "b-2")
			f.targets["web-4"].Kill()
			f.targets["web-5"].Kill()
		}},
		{13_000, "zone cut off, silent connections of callers", func() {
			f.cutZone("c", true, true)
			doors[1].silence()
			doors[5].silence()
		}},
		{16_000, "entry nodes and targets back", func() {
			restart("a-1", "b-2")
			f.boot("web-4")
			f.boot("web-5")
		}},
		{20_000, "zone and connections healed", calm},
		{23_000, "entry nodes and a target lost again, silent link", func() {
			f.links[[2]csmodel.NodeID{"b-1", "c-1"}].silence()
			kill("a-1", "c-2")
			f.targets["web-4"].Kill()
		}},
		{26_000, "targets work, one fails everything; entry nodes back", func() {
			faulty(csfake.FaultFail, csfake.FaultNone, csfake.FaultNone, csfake.FaultNone)
			f.targets["web-3"].Reboot() // ends the attempts that it holds silently
			restart("a-1", "c-2")
			f.boot("web-4")
		}},
		{32_000, "second wave with a cut", func() {
			wave()
			f.cutZone("a", true, false)
		}},
		{36_000, "all healed", func() { calm(); faulty(csfake.FaultNone) }},
	} {
		l.reach(step.at)
		t.Logf("%d calls: %s", step.at, step.fault)
		step.do()
	}
	l.workers.Wait()
	l.check()
	if len(l.answered) < total/2 {
		t.Errorf("%d of %d calls answered", len(l.answered), total)
	}
	f.waitLeaders()
	for _, n := range f.nodes {
		after := &load{fleet: f, name: "after " + string(n.Name), keyed: 2, limit: ample, nodes: []string{n.Listen}}
		after.start(1, 4)
		after.workers.Wait()
		after.clean()
	}
}
