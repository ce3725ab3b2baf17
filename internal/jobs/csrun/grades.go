package csrun

import "time"

// Quarantine of targets that fail what they start.
const (
	// gradeWindow is how far back the ends of runs count.
	gradeWindow = 6 * time.Second
	// gradeLeast is the number of failed runs that starts a quarantine, if no run was done in between.
	gradeLeast = 3
	// quarantineFor is how long a failing target gets no new tasks before it is tried again.
	quarantineFor = 3 * time.Second
)

// grades judge a target by how its runs ended.
type grades struct {
	failed int // in a row
	last   time.Time
	till   time.Time
}

// note takes in the end of a run.
func (g *grades) note(now time.Time, failed bool) {
	if !failed {
		g.failed = 0
		g.till = time.Time{}
		return
	}
	if now.Sub(g.last) > gradeWindow {
		g.failed = 0
	}
	g.failed++
	g.last = now
	if g.failed >= gradeLeast {
		g.till = now.Add(quarantineFor)
	}
}

// suspect tells whether the target should get a task only if no other one can take it.
func (g *grades) suspect() bool { return g.failed > 0 }

// quarantined tells whether the target must get no task.
func (g *grades) quarantined(now time.Time) bool { return now.Before(g.till) }
