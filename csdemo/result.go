package csdemo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Result is what a run of the demo measured and checked.
type Result struct {
	Urgent      csfake.Report
	Ordered     csfake.Report
	Tasks       int
	InTime      int // tasks finished before their deadline
	Duplicates  []string
	Moves       int
	Maintained  int
	Idle        float64 // mean number of idle VMs, in VMs of 8 slots
	RolloutP50  time.Duration
	RolloutMax  time.Duration
	Rollouts    int
	Breaches    []string
	Elapsed     time.Duration
	HeldChecked int
}

// Held tells whether every invariant held.
func (r Result) Held() bool { return len(r.Breaches) == 0 }

func (s *scenario) result(ctx context.Context) Result {
	s.sayf("load ended, waiting for deferred tasks and for all nodes to agree")
	r := Result{Urgent: s.quotes.Report(), Ordered: s.orders.Report(), Tasks: len(s.tasks)}
	r.InTime = s.awaitTasks(ctx)
	converged := s.awaitRevisions(ctx)
	s.watch.stop()
	r.Duplicates = s.duplicates()
	r.Moves, r.Idle = len(s.watch.moves), mean(s.watch.idle)
	r.Maintained = s.maintained()
	r.Rollouts = len(s.rollouts.took)
	if r.Rollouts > 0 {
		slices.Sort(s.rollouts.took)
		r.RolloutP50, r.RolloutMax = s.rollouts.took[r.Rollouts/2], s.rollouts.took[r.Rollouts-1]
	}
	r.Breaches = append(r.Breaches, s.watch.breaches...)
	s.check(&r, converged)
	r.Elapsed = time.Since(s.start)
	return r
}

func (s *scenario) check(r *Result, converged bool) {
	checks := []struct {
		held bool
		text string
	}{
		{len(r.Duplicates) == 0, fmt.Sprintf("requests run more than once: %v", r.Duplicates)},
		{r.Urgent.Wrong+r.Ordered.Wrong == 0, "answers that were incomplete or of another request"},
		{len(s.ranAnyway()) == 0, fmt.Sprintf("requests reported as not run that ran: %v", s.ranAnyway())},
		{r.InTime == r.Tasks && r.Tasks == taskCount, fmt.Sprintf("deferred tasks finished in time: %d of %d", r.InTime, taskCount)},
		{converged, "a revision is not active on every node"},
		{s.rollouts.missed == 0, fmt.Sprintf("revisions not active on a reachable node within %v: %d", rolloutLimit, s.rollouts.missed)},
		{r.Moves > 0, "no VM moved between pools"},
		{r.Maintained > 0, "the maintenance wave reached no VM"},
		{r.Urgent.Answers > 0 && r.Ordered.Answers > 0, "no urgent request was answered"},
	}
	for _, c := range checks {
		if !c.held {
			r.Breaches = append(r.Breaches, c.text)
		}
	}
	// The watcher adds the budgets, the pool of each VM and the order of revisions.
	r.HeldChecked = len(checks) + 3
}

// duplicates lists non-idempotent requests that ran more than once.
func (s *scenario) duplicates() []string {
	var out []string
	for _, id := range s.ledger.Duplicates() {
		if len(id) > 5 && id[:5] == "order" {
			out = append(out, id)
		}
	}
	return out
}

func (s *scenario) ranAnyway() []string {
	var out []string
	for _, report := range []csfake.Report{s.quotes.Report(), s.orders.Report()} {
		for _, id := range report.NotRunIDs {
			if s.ledger.Executions(id) > 0 {
				out = append(out, id)
			}
		}
	}
	return out
}

func (s *scenario) awaitTasks(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	finished := map[csmodel.TaskID]bool{}
	_ = Wait(ctx, func() bool {
		for _, id := range s.tasks {
			if finished[id] {
				continue
			}
			task, err := s.client.Task(ctx, id)
			finished[id] = err == nil && task.State == csapi.Finished && task.Ended.Before(task.Deadline)
		}
		return len(finished) == len(s.tasks) && !slices.Contains(values(finished), false)
	})
	count := 0
	for _, ok := range finished {
		if ok {
			count++
		}
	}
	return count
}

func values[K comparable, V any](m map[K]V) []V {
	var out []V
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// awaitRevisions waits until every node, also those that were cut off or restarted, has the newest revision.
func (s *scenario) awaitRevisions(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	newest := csmodel.Revision(0)
	for _, n := range s.cluster.Running() {
		newest = max(newest, n.Active().Revision)
	}
	err := Wait(ctx, func() bool {
		for _, n := range s.cluster.Running() {
			if n.Active().Revision < newest {
				return false
			}
		}
		return len(s.cluster.Running()) == len(s.cluster.Nodes())
	})
	return err == nil
}

func (s *scenario) maintained() int {
	status, err := s.client.Status(context.Background())
	if err != nil {
		return 0
	}
	count := 0
	for _, vm := range status.VMs {
		if !vm.Serviced.IsZero() {
			count++
		}
	}
	return count
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Print writes the table of a run.
func (r Result) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	urgent(row, "urgent idempotent", r.Urgent)
	urgent(row, "urgent non-idempotent", r.Ordered)
	row("deferred before deadline", "%d of %d", r.InTime, r.Tasks)
	row("duplicate executions", "%d", len(r.Duplicates))
	row("VMs moved", "%d", r.Moves)
	row("VMs maintained", "%d", r.Maintained)
	row("idle capacity", "%.1f VMs on average", r.Idle)
	row("roll-out", "p50 %v, max %v (%d measurements)", round(r.RolloutP50), round(r.RolloutMax), r.Rollouts)
	row("invariants", "%d checked, %d violated", r.HeldChecked, len(r.Breaches))
	_ = t.Flush()
	for _, b := range r.Breaches {
		fmt.Fprintln(w, "VIOLATED:", b)
	}
}

func urgent(row func(string, string, ...any), name string, r csfake.Report) {
	p50 := time.Duration(r.Latency.ValueAtQuantile(50)) * time.Microsecond
	p99 := time.Duration(r.Latency.ValueAtQuantile(99)) * time.Microsecond
	row(name, "%d calls: %d answered (p50 %v, p99 %v), %d not run, %d unknown, %d without response", r.Calls, r.Answers,
		round(p50), round(p99), r.NotRun, r.Unknown, r.Failed)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
