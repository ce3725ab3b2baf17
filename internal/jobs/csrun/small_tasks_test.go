package csrun_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a job has many more tasks than cores. Guards against starts that wait for a round of decisions each few tasks, so that a target
// is idle while its tasks wait.
func TestManySmallTasksMeetTheirObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			tasks     = 400
			runTime   = 300 * time.Millisecond
			objective = time.Second + 2*runTime // of the queue: its fixed part, and its stretch times the longest chain
		)
		i := newCluster(t, 1, 1, faults{})
		time.Sleep(time.Second) // the target joins
		i.submit("0000000000000001", csjob.Step{Tasks: tasks, Resources: csjob.Resources{CPU: 10, Memory: 10}, Estimate: runTime})
		i.awaitAllJobs(objective)
		i.checkInvariants()
	})
}
