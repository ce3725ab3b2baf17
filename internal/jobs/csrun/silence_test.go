package csrun

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// Pattern: an availability zone is cut off. Its targets stop answering at once, and every task that is still sent there is
// lost to its job, so the whole zone is left out as soon as two of its targets are silent.
func TestSilentZone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	type seen struct {
		zone     csmodel.AvailabilityZone
		failedAt int // in seconds; zero where the target answers
		answerAt int
	}
	cases := []struct {
		name    string
		targets []seen
		want    bool // zone a is left out
	}{
		{"all answer", []seen{{"a", 0, 5}, {"a", 0, 6}}, false},
		{"one target is silent", []seen{{"a", 5, 4}, {"a", 0, 3}}, false},
		{"two are silent", []seen{{"a", 5, 4}, {"a", 6, 4}, {"a", 0, 3}}, true},
		{"another one has answered since", []seen{{"a", 5, 4}, {"a", 6, 4}, {"a", 0, 7}}, false},
		{"silent targets in two zones", []seen{{"a", 5, 4}, {"b", 6, 4}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &runner{tenure: tenure{targets: map[csjob.TargetID]*target{}}}
			for i, s := range c.targets {
				w := &target{record: csjob.Target{Zone: s.zone}, answerAt: now.Add(time.Duration(s.answerAt) * time.Second)}
				if s.failedAt > 0 {
					w.unanswered(now.Add(time.Duration(s.failedAt) * time.Second))
				}
				r.targets[csjob.TargetID(rune('0'+i))] = w
			}
			if got := r.silentZones().Has("a"); got != c.want {
				t.Errorf("got zone a left out %t, want %t", got, c.want)
			}
		})
	}
}

// Pattern: answers to looks get lost while the runs of a target end one after the other. A look waits no longer than
// until the next end is expected.
func TestLookWaitsForTheNextEnd(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const longest = time.Second
	cases := []struct {
		name string
		runs []*run
		want time.Duration
	}{
		{"nothing ends by itself", []*run{{lasting: true, settled: true}}, longest},
		{"an end is expected", []*run{{since: now.Add(-300 * time.Millisecond), expected: 700 * time.Millisecond}}, 400*time.Millisecond + waitMargin},
		{"an end is overdue", []*run{{since: now.Add(-2 * time.Second), expected: time.Second}}, leastWait},
		{"the first end is far", []*run{{since: now, expected: 5 * time.Second}}, longest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &runner{o: Options{Timing: Timing{LookWait: longest}}}
			w := &target{runs: map[runKey]*run{}}
			for i, u := range c.runs {
				w.runs[runKey{attempt: csjob.Attempt(i)}] = u
			}
			if got := r.lookWait(w, now); got != c.want {
				t.Errorf("got a wait of %s, want %s", got, c.want)
			}
		})
	}
}
