package csrun

import (
	"context"
	"math"
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

type loadWorker struct {
	record  csjob.Target
	running map[csjob.TaskKey]loadRun
	ended   []Ended
	next    int64
	waits   chan struct{} // of the look that waits
	till    time.Time
}

type loadRun struct {
	attempt csjob.Attempt
	ends    time.Time // zero for a task that lasts
}

// Start, Stop and Look are the calls to targets.
func (l *load) Start(_ context.Context, t csjob.Target, o StartOrder) (Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := loadRun{attempt: o.Attempt}
	step := l.table.Job(o.Task.Job).Submission.Steps[o.Task.Step]
	if !step.Lasting {
		run.ends = l.now.Add(time.Duration(float64(step.Estimate) * math.Exp(l.noise*l.luck.NormFloat64())))
	}
	l.workers[t.Life.Target].running[o.Task] = run
	l.starts++
	return Reply{Clock: l.clock()}, nil
}

func (l *load) clock() time.Duration { return l.now.Sub(time.Unix(1_700_000_000, 0)) }

func (l *load) Stop(_ context.Context, t csjob.Target, o StopOrder) (Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[t.Life.Target]
	if _, ok := w.running[o.Task]; ok {
		w.end(o.Task, csjob.OutcomeStopped)
	}
	return Reply{Clock: l.clock()}, nil
}

func (w *loadWorker) end(k csjob.TaskKey, o csjob.Outcome) {
	w.next++
	w.ended = append(w.ended, Ended{Number: w.next, Task: k, Attempt: w.running[k].attempt, Outcome: o})
	delete(w.running, k)
}

func (l *load) Look(_ context.Context, t csjob.Target, o LookOrder) (Look, error) {
	l.mu.Lock()
	w := l.workers[t.Life.Target]
	for len(w.ended) > 0 && w.ended[0].Number <= o.Noted {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		waits := make(chan struct{})
		w.waits, w.till = waits, l.now.Add(o.Wait)
		l.blocked++
		l.mu.Unlock()
		<-waits
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	look := Look{Reply: Reply{Clock: l.clock()}, Born: 1, Ended: append([]Ended(nil), w.ended...)}
	for k, run := range w.running {
		look.Running = append(look.Running, Progress{Task: k, Attempt: run.attempt, Percent: 100})
	}
	return look, nil
}
