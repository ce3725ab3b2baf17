package csvms

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// TestVMThatIsListedAgainIsMaintained guards against a wave that counts as completed without the maintenance of a VM that stays
// (rule MIXED): lists have left it out for so long that it was taken for removed, and name it again during the wave.
func TestVMThatIsListedAgainIsMaintained(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		ordered []csjob.VMOrder // before it was missed
	}{
		{"not ordered", nil},
		{"ordered", []csjob.VMOrder{{VM: "a-1", Wave: "1"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, map[csmodel.PoolID]int{"a": 2})
			s.cloud.mu.Lock()
			s.cloud.mute, s.cloud.hidden["a-1"] = true, 1000
			s.cloud.mu.Unlock()
			s.do(csjob.Command{
				Wave: &csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: csmodel.SortedKeys(s.cloud.vms)}, VMs: c.ordered,
			})
			s.run(10*time.Second, func(*csjob.Table) bool { return s.fleet.absences["a-1"] != nil })
			s.fleet.mu.Lock()
			s.fleet.absences["a-1"].lists = absentLists // as if the lists had left it out for long
			s.fleet.absences["a-1"].since = s.fleet.listedAt.Add(-absentFor)
			s.fleet.mu.Unlock()
			s.run(10*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Done.Has("a-1") })
			s.cloud.mu.Lock()
			s.cloud.hidden["a-1"] = 0
			s.cloud.mu.Unlock()
			s.run(10*time.Second, func(*csjob.Table) bool {
				s.fleet.mu.Lock()
				defer s.fleet.mu.Unlock()
				_, listed := s.fleet.vms["a-1"]
				return listed
			})
			s.cloud.mu.Lock()
			s.cloud.mute = false
			s.cloud.mu.Unlock()
			s.run(30*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Completed() })
			s.cloud.mu.Lock()
			defer s.cloud.mu.Unlock()
			if got, want := s.cloud.lives["a-1"], 1; got != want {
				t.Errorf("got %d maintenances of the VM before the wave was completed, want %d", got, want)
			}
		})
	}
}

// TestVMThatIsListedAgainIsMaintainedOnce guards against a second order for a VM whose maintenance was accepted before lists left
// it out: the platform takes it for done, and the new target there would count as ended although it runs.
func TestVMThatIsListedAgainIsMaintainedOnce(t *testing.T) {
	t.Parallel()
	s := newStage(t, map[csmodel.PoolID]int{"a": 1})
	s.do(csjob.Command{Wave: &csjob.Wave{ID: "1", AtOnce: 2, Deadline: time.Second, VMs: []csmodel.VMID{"a-0", "removed-0"}}})
	s.run(10*time.Second, func(*csjob.Table) bool {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		c := s.fleet.calls["a-0"]
		return c != nil && !c.accepted.IsZero()
	})
	s.cloud.mu.Lock()
	s.cloud.hidden["a-0"] = 1000
	s.cloud.mu.Unlock()
	s.run(10*time.Second, func(*csjob.Table) bool { return s.fleet.absences["a-0"] != nil })
	s.fleet.mu.Lock()
	s.fleet.absences["a-0"].lists = absentLists // as if the lists had left it out for long
	s.fleet.absences["a-0"].since = s.fleet.listedAt.Add(-absentFor)
	s.fleet.mu.Unlock()
	s.run(10*time.Second, func(table *csjob.Table) bool { return table.Wave("1").Done.Has("a-0") })
	s.cloud.mu.Lock()
	s.cloud.hidden["a-0"] = 0
	s.cloud.mu.Unlock()
	end := time.Now().Add(2 * time.Second) // two lists
	s.run(10*time.Second, func(*csjob.Table) bool { return time.Now().After(end) })
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	if got, want := len(s.cloud.sentAt), 1; got != want {
		t.Errorf("got %d orders, want %d", got, want)
	}
}
