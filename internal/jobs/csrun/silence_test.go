package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: a network partition cuts off an availability zone. Its targets stop answering at the same time, and every task that
// is still sent there is delayed, so the whole zone is excluded as soon as two of its targets are silent. Guards against a cut that is noticed
// target by target because one target was lost before.
func TestSilentZone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	type targetState struct {
		zone       csmodel.AvailabilityZone
		failedAt   int // in seconds; zero if the target answers
		answeredAt int
	}
	cases := []struct {
		name    string
		targets []targetState
		want    bool // zone a is excluded
	}{
		{"all answer", []targetState{{"a", 0, 5}, {"a", 0, 6}}, false},
		{"one target is silent", []targetState{{"a", 5, 4}, {"a", 0, 3}}, false},
		{"two are silent", []targetState{{"a", 5, 4}, {"a", 6, 4}, {"a", 0, 3}}, true},
		{"another target has answered since", []targetState{{"a", 5, 4}, {"a", 6, 4}, {"a", 0, 7}}, false},
		{"silent targets in two zones", []targetState{{"a", 5, 4}, {"b", 6, 4}}, false},
		{"two are silent beside one that was before", []targetState{{"a", 1, 0}, {"a", 6, 4}, {"a", 7, 5}}, true},
		{"one is silent beside one that was before", []targetState{{"a", 1, 0}, {"a", 6, 4}, {"a", 0, 5}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &runner{termState: termState{targets: map[csjob.TargetID]*target{}}}
			for i, s := range c.targets {
				w := &target{record: csjob.Target{Zone: s.zone}, answeredAt: now.Add(time.Duration(s.answeredAt) * time.Second)}
				if s.failedAt > 0 {
					w.recordFailure(now.Add(time.Duration(s.failedAt) * time.Second))
				}
				r.targets[csjob.TargetID(rune('0'+i))] = w
			}
			if got := r.silentZones().Has("a"); got != c.want {
				t.Errorf("got zone a excluded %t, want %t", got, c.want)
			}
		})
	}
}

// Pattern: answers to polls are lost while the runs of a target end one after the other. A poll waits no longer than until
// the next run is expected to end.
func TestPollWaitsForNextExpectedEnd(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const longest = time.Second
	cases := []struct {
		name string
		runs []*run
		want time.Duration
	}{
		{"only long-running tasks", []*run{{longRunning: true, becameReady: true}}, longest},
		{"an end is expected", []*run{{since: now.Add(-300 * time.Millisecond), expected: 700 * time.Millisecond}}, 400*time.Millisecond + predictionMargin},
		{"an end is overdue", []*run{{since: now.Add(-2 * time.Second), expected: time.Second}}, minPollWait},
		{"the first end is later than the longest wait", []*run{{since: now, expected: 5 * time.Second}}, longest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &runner{options: Options{Timing: Timing{PollWait: longest}}}
			w := &target{runs: map[runKey]*run{}}
			for i, u := range c.runs {
				w.runs[runKey{attempt: csjob.Attempt(i)}] = u
			}
			if got := r.pollWait(w, now); got != c.want {
				t.Errorf("got a wait of %s, want %s", got, c.want)
			}
		})
	}
}
