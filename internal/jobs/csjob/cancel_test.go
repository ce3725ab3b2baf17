package csjob_test

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Guards against a job that runs after its cancellation was acknowledged (rule UNASKED): the network delays its submission, and the
// cancellation overtakes it.
func TestSubmissionAfterCancellation(t *testing.T) {
	other := csjob.QueueKey{Host: "other.example", Prefix: "/jobs/"}
	cases := []struct {
		name      string
		cancelled csjob.JobRef
		delay     time.Duration // from the cancellation to the submission
		restored  bool          // from a snapshot, in between
		want      csjob.State
	}{
		{"same job", csjob.JobRef{Queue: queueKey, ID: "a"}, 10 * time.Second, false, csjob.Cancelled},
		{"same job, restored", csjob.JobRef{Queue: queueKey, ID: "a"}, 10 * time.Second, true, csjob.Cancelled},
		{"another job", csjob.JobRef{Queue: queueKey, ID: "b"}, 10 * time.Second, false, csjob.Queued},
		{"another queue", csjob.JobRef{Queue: other, ID: "a"}, 10 * time.Second, false, csjob.Queued},
		{"past the retention", csjob.JobRef{Queue: queueKey, ID: "a"}, 2 * csjob.DefaultRetention, false, csjob.Queued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			if got := h.apply(csjob.Command{Cancel: &c.cancelled}); got != csjob.UnknownJob {
				t.Errorf("cancellation: got verdict %d, want unknown job", got)
			}
			if h.table.Job("a") != nil {
				t.Error("the cancellation made a job known")
			}
			h.now = h.now.Add(c.delay)
			for range 300 { // the table looks for what is past its retention every 256 entries
				h.apply(csjob.Command{})
			}
			if c.restored {
				b, err := h.table.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if err := h.table.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
			if got := h.submit("a", steps(2)...); got != csjob.Accepted {
				t.Errorf("submission: got verdict %d, want accepted", got)
			}
			h.wantState("a", c.want)
			if got, want := len(h.table.Active()), 0; c.want.Final() && got != want {
				t.Errorf("got %d active jobs, want %d", got, want)
			}
		})
	}
}
