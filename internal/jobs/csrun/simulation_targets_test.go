package csrun

import (
	"context"
	"math"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// simTarget is a simulated target.
type simTarget struct {
	record      csjob.Target
	running     map[csjob.TaskKey]simRun
	ended       []RunEnd
	next        int64
	pollWait    chan struct{} // closed to end the wait of the poll in flight; nil if none waits
	pollWaitEnd time.Time     // end of that wait
}

type simRun struct {
	attempt csjob.Attempt
	ends    time.Time // zero for a long-running task
}

type simTimer struct {
	at time.Time
	f  func()
}

type simProposal struct {
	at         time.Time
	data       []byte
	encodeTime time.Duration // CPU time of its encoding
	done       chan csjob.Verdict
}

// Start, Stop and Poll implement TargetClient.
func (sim *simulation) Start(_ context.Context, t csjob.Target, o StartOrder) (Reply, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	run := simRun{attempt: o.Attempt}
	step := sim.table.Job(o.Task.Job).Submission.Steps[o.Task.Step]
	if !step.LongRunning {
		run.ends = sim.now.Add(sim.runTime(t, o, step.Estimate))
	}
	sim.targets[t.Incarnation.Target].running[o.Task] = run
	sim.starts++
	return Reply{Clock: sim.clock()}, nil
}

// runTime returns the run time of a run of a step with the given typical one.
func (sim *simulation) runTime(t csjob.Target, o StartOrder, typical time.Duration) time.Duration {
	d := time.Duration(float64(typical) * math.Exp(sim.runTimeSigma*sim.callRandom.NormFloat64()))
	if sim.unevenRunTime != nil {
		d = sim.unevenRunTime(t, o, d)
	}
	return d
}

func (sim *simulation) clock() time.Duration { return sim.now.Sub(time.Unix(1_700_000_000, 0)) }

func (sim *simulation) Stop(_ context.Context, t csjob.Target, o StopOrder) (Reply, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	w := sim.targets[t.Incarnation.Target]
	if _, ok := w.running[o.Task]; ok {
		w.endRun(o.Task, csjob.OutcomeStopped)
	}
	return Reply{Clock: sim.clock()}, nil
}

func (w *simTarget) endRun(k csjob.TaskKey, o csjob.Outcome) {
	w.next++
	w.ended = append(w.ended, RunEnd{Number: w.next, Task: k, Attempt: w.running[k].attempt, Outcome: o})
	delete(w.running, k)
}

func (sim *simulation) Poll(_ context.Context, t csjob.Target, o PollRequest) (PollResponse, error) {
	sim.mu.Lock()
	w := sim.targets[t.Incarnation.Target]
	for len(w.ended) > 0 && w.ended[0].Number <= o.Acknowledged {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		waits := make(chan struct{})
		w.pollWait, w.pollWaitEnd = waits, sim.now.Add(o.Wait)
		sim.waitingPolls++
		sim.mu.Unlock()
		<-waits
		sim.mu.Lock()
	}
	defer sim.mu.Unlock()
	response := PollResponse{Reply: Reply{Clock: sim.clock()}, StartedAtMs: 1, Ended: append([]RunEnd(nil), w.ended...)}
	for k, run := range w.running {
		response.Running = append(response.Running, Progress{Task: k, Attempt: run.attempt, Percent: 100})
	}
	return response, nil
}

func (sim *simulation) Capacity() VMCapacity { return VMCapacity{} }
