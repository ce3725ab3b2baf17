package csrun_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

// state is a fake csrun.State: the replicated state of a consensus group that never loses its leader.
type state struct {
	mu       sync.RWMutex
	table    csjob.Table
	index    csmodel.Index
	term     csmodel.Term // term of the log entries
	onChange func()       // called after each change
	log      []csjob.Command
	// stalled withholds the commands of leaders: Propose returns errUnknown for them.
	stalled      bool
	withheld     []csjob.Command
	commitTime   time.Duration // duration of a commit
	leaseInvalid bool          // the leader lease is not valid
	// proposed and applied are called, if set, before a command of the current term is applied or withheld, and after one was applied.
	proposed func(csjob.Command)
	applied  func()
}

// stallTime is how long Propose waits before it fails with errUnknown.
const stallTime = 20 * time.Millisecond

// errUnknown reports that a command may be applied later.
var errUnknown = errors.New("outcome unknown")

// stall withholds the commands of leaders from now on.
func (s *state) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = true
}

// resume ends a stall. The withheld commands are applied or dropped.
func (s *state) resume(apply bool) {
	held := s.endStall()
	if apply {
		s.applyWithheld(held)
	}
	s.onChange()
}

// endStall ends a stall and returns the withheld commands.
func (s *state) endStall() []csjob.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.withheld
	s.stalled, s.withheld = false, nil
	return held
}

// applyWithheld applies withheld commands.
func (s *state) applyWithheld(held []csjob.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range held {
		s.apply(c)
	}
}

func (s *state) apply(c csjob.Command) csjob.Verdict {
	b, err := c.Encode()
	if err != nil {
		return csjob.Refused
	}
	s.index++
	s.log = append(s.log, c)
	v := csjob.ParseVerdict(s.table.Apply(csraft.Entry{Index: s.index, Term: s.term, At: time.Now(), Data: b}))
	if s.applied != nil {
		s.applied()
	}
	return v
}

func (s *state) View(f func(*csjob.Table)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(&s.table)
}

func (s *state) Read(_ context.Context, f func(*csjob.Table)) error {
	s.View(f)
	return nil
}

func (s *state) Leading() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.leaseInvalid
}

// set calls f with the lock of the state held.
func (s *state) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *state) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	s.mu.RLock()
	pause := s.commitTime
	s.mu.RUnlock()
	time.Sleep(pause)
	s.mu.Lock()
	if s.proposed != nil && c.Term == s.term {
		s.proposed(c)
	}
	if s.stalled && c.Submit == nil && c.Config == nil {
		s.withheld = append(s.withheld, c)
		s.mu.Unlock()
		time.Sleep(stallTime)
		return csjob.Refused, errUnknown
	}
	v := s.apply(c)
	s.mu.Unlock()
	s.onChange()
	return v, nil
}
