package csjob

// maxCopies is the number of runs that a task of a speculative step may have beside its first one.
const maxCopies = 1

// maxOpenRuns returns how many runs of a task may be open at a time.
func (s Step) maxOpenRuns() int {
	if s.Speculative {
		return 1 + maxCopies
	}
	return 1
}

// MayCopy reports whether a copy of a task of the step may be started beside its run. The members of a gang share an attempt, and a
// long-running task has no end that could come first.
func (s Step) MayCopy() bool { return s.Speculative && !s.Gang && !s.LongRunning }
