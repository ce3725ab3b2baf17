package csrun_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a maintenance wave over half of the VMs, with tasks that last on them that may leave one at a time. Guards against a
// wave that ends late because they begin to leave only when their VM is taken.
func TestLastingTasksLeaveVMsThatAreDue(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		due   int // of six targets
		leave bool
	}{
		{"half of the targets", 3, true},
		{"no other target", 6, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				i := install(t, 12, 6, faults{})
				time.Sleep(3 * testBeat)
				i.submit("00000000000000aa",
					csjob.Step{Tasks: 6, Room: csjob.Room{CPU: 500, Memory: 100}, Lasting: true, Absent: 1, Spread: 2})
				time.Sleep(time.Second)
				due := i.busiest(c.due)
				i.fleet.expect(due...)
				time.Sleep(3 * time.Second)
				runs, left := i.lastingOn(due)
				if c.leave && left > 0 {
					t.Errorf("got %d tasks on targets that are due, want none", left)
				}
				if most := 6 + 2*6; runs > most {
					t.Errorf("got %d runs, want %d at most: tasks without another target stay", runs, most)
				}
				i.checkRules()
			})
		})
	}
}

// busiest returns the lives with the most runs.
func (i *installation) busiest(n int) []csjob.Life {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	var out []csjob.Life
	for runs := 6; runs >= 0; runs-- {
		for _, k := range i.world.workers {
			if len(k.running) == runs && len(out) < n {
				out = append(out, k.life)
			}
		}
	}
	return out
}

// lastingOn returns the number of all runs so far, and of those on some lives now.
func (i *installation) lastingOn(lives []csjob.Life) (runs, here int) {
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	for _, k := range i.world.workers {
		for _, l := range lives {
			if k.life == l {
				here += len(k.running)
			}
		}
	}
	return len(i.world.runs), here
}
