package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: commits take as long as a seventh of a run. Guards against CPU that stands idle until the end of its run is committed, although
// the target has released it.
func TestListedEndReleasesResources(t *testing.T) {
	r, w := newTestRunner(2)
	w.record.Resources = csjob.Resources{CPU: 16000, Memory: 1000}
	step := csjob.Step{Tasks: 2, Resources: csjob.Resources{CPU: 3000, Memory: 100}}
	job := &csjob.Job{Submission: csjob.Submission{ID: "a", Steps: []csjob.Step{step}}}
	for i := range step.Tasks {
		u := &run{key: runKey{csjob.TaskKey{Job: "a", Index: i}, 1}, job: job, deadline: r.now().Add(time.Minute)}
		w.runs[u.key], w.list = u, append(w.list, u)
	}
	var table csjob.Table
	if got, want := r.slotOf(r.now(), &table, w).Free, (csjob.Resources{CPU: 10000, Memory: 800}); got != want {
		t.Fatalf("got %+v free while both runs are open, want %+v", got, want)
	}
	list := &pollResult{response: PollResponse{Ended: []RunEnd{{Number: 1, Task: csjob.TaskKey{Job: "a"}, Attempt: 1, Outcome: csjob.OutcomeDone}}}}
	r.recordEnds(w, list, 0, r.now(), true)
	if got, want := r.slotOf(r.now(), &table, w).Free, (csjob.Resources{CPU: 13000, Memory: 900}); got != want {
		t.Errorf("got %+v free after the target has listed the end of one run, want %+v", got, want)
	}
	if got, want := w.usage.timely, step.Resources.CPU; got != want {
		t.Errorf("got %d mCPU in use, want %d", got, want)
	}
}
