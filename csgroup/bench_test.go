package csgroup

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// countingDisk counts the bytes that are appended.
type countingDisk struct {
	csdisk.Disk
	written *atomic.Int64
}

func (d countingDisk) Append(name string, b []byte) error {
	d.written.Add(int64(len(b)))
	return d.Disk.Append(name, b)
}

// BenchmarkPropose runs three voters in one process, with encoded messages and in-memory disks. It reports the bytes on links
// and disks and the CPU time of all three nodes for each entry of 200 bytes.
func BenchmarkPropose(b *testing.B) {
	for _, concurrent := range []int{1, 64} {
		b.Run(map[int]string{1: "single", 64: "concurrent64"}[concurrent], func(b *testing.B) { benchmarkPropose(b, concurrent) })
	}
}

func benchmarkPropose(b *testing.B, concurrent int) {
	var mu sync.RWMutex
	var wire, written atomic.Int64
	groups := map[csmodel.NodeID]*Group{}
	members := []csraft.Member{{Node: "a", Voter: true}, {Node: "b", Voter: true}, {Node: "c", Voter: true}}
	for i, m := range members {
		g, err := New(Options{
			Config: csraft.Config{Self: m.Node, Members: members, Seed: uint64(i)}, Machine: &counter{},
			Disk: countingDisk{csdisk.NewFake(), &written},
			Send: func(to csmodel.NodeID, o csraft.Message) {
				e, err := csraft.EncodeMessage(o)
				if err != nil {
					b.Error(err)
				}
				wire.Add(int64(len(e)))
				d, err := csraft.DecodeMessage(e)
				if err != nil {
					b.Error(err)
				}
				mu.RLock()
				defer mu.RUnlock()
				if g, ok := groups[to]; ok {
					g.Receive(m.Node, d)
				}
			},
		})
		if err != nil {
			b.Fatal(err)
		}
		mu.Lock()
		groups[m.Node] = g
		mu.Unlock()
		defer g.Close()
	}
	if _, err := groups["a"].Propose(b.Context(), nil); err != nil {
		b.Fatal(err)
	}
	leader := groups["a"]
	for _, g := range groups {
		if g.Status().Leading {
			leader = g
		}
	}
	data := make([]byte, 200)
	before, wireBefore, writtenBefore := cpuTime(b), wire.Load(), written.Load()
	b.ResetTimer()
	var wg sync.WaitGroup
	var next atomic.Int64
	for range concurrent {
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if _, err := leader.Propose(b.Context(), data); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	n := float64(b.N)
	b.ReportMetric(float64(wire.Load()-wireBefore)/n, "wire-B/entry")
	b.ReportMetric(float64(written.Load()-writtenBefore)/n, "disk-B/entry")
	b.ReportMetric(float64(cpuTime(b)-before)/n, "cpu-ns/entry")
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
