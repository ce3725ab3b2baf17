package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// BenchmarkReplicate measures the CPU time and the message bytes of a leader and two voters for one batch of proposals of 200
// bytes. It includes no disk or network I/O.
func BenchmarkReplicate(b *testing.B) {
	for _, batch := range []int{1, 100} {
		b.Run(map[int]string{1: "single", 100: "batch100"}[batch], func(b *testing.B) { benchmarkReplicate(b, batch) })
	}
}

func benchmarkReplicate(b *testing.B, batch int) {
	now := time.Unix(1_000_000, 0)
	nodes := map[csmodel.NodeID]*Core{}
	members := []Member{{Node: "n1", Voter: true}, {Node: "n2", Voter: true}, {Node: "n3", Voter: true}}
	for _, m := range members {
		nodes[m.Node] = New(Config{Self: m.Node, Incarnation: 1, Members: members}, Restored{})
	}
	sent, applied, data := 0, csmodel.Index(0), make([]byte, 200)
	var run func(n *Core, e Event)
	run = func(n *Core, e Event) {
		for _, o := range n.Step(now, e) {
			switch o := o.(type) {
			case Send:
				wire, err := EncodeMessage(o.Message)
				if err != nil {
					b.Fatal(err)
				}
				sent += len(wire)
				m, err := DecodeMessage(wire)
				if err != nil {
					b.Fatal(err)
				}
				run(nodes[o.To], Receive{Message: m})
			case Apply:
				if n == nodes["n1"] {
					applied = o.Entries[len(o.Entries)-1].Index
				}
			default:
			}
		}
	}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for _, m := range members {
			run(nodes[m.Node], Tick{})
		}
	}
	sent = 0
	before := applied
	sequence := uint64(0)
	b.ResetTimer()
	for range b.N {
		var proposals []Proposal
		for range batch {
			sequence++
			proposals = append(proposals, Proposal{ID: ProposalID{Node: "n1", Incarnation: 1, Sequence: sequence}, Data: data})
		}
		run(nodes["n1"], Propose{Proposals: proposals})
		if applied-before > 20_000 {
			for _, m := range members {
				run(nodes[m.Node], Compact{Index: nodes[m.Node].commit})
			}
			before = applied
		}
	}
	b.StopTimer()
	entries := float64(b.N * batch)
	b.ReportMetric(float64(sent)/entries, "wire-B/entry")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/entries, "ns/entry")
}
