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

// state is the replicated state of a group that never loses its leader.
type state struct {
	mu    sync.RWMutex
	table csjob.Table
	index csmodel.Index
	term  csmodel.Term // of the leader whose log the commands enter
	hook  func()
	log   []csjob.Command
	// stalled holds commands back: their proposers are told that the outcome is not known.
	stalled bool
	held    []csjob.Command
	pause   time.Duration // what a commit takes
	idle    bool          // the lease of the leader is not valid
}

// stallTime is how long a proposer waits for a command that is held back.
const stallTime = 20 * time.Millisecond

// errUnknown is what a proposer is told whose command may be applied later.
var errUnknown = errors.New("outcome unknown")

// stall holds the commands of leaders back from now on.
func (s *state) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = true
}

// resume ends a stall. The commands that were held back are applied, or are lost.
func (s *state) resume(apply bool) {
	held := s.end()
	if apply {
		s.hand(held)
	}
	s.hook()
}

// end ends a stall and returns the commands that were held back.
func (s *state) end() []csjob.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.stalled, s.held = false, nil
	return held
}

// hand applies commands that were held back.
func (s *state) hand(held []csjob.Command) {
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
	return csjob.ParseVerdict(s.table.Apply(csraft.Entry{Index: s.index, Term: s.term, At: time.Now(), Data: b}))
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
	return !s.idle
}

// set calls f under the lock of the state.
func (s *state) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *state) Propose(_ context.Context, c csjob.Command) (csjob.Verdict, error) {
	s.mu.RLock()
	pause := s.pause
	s.mu.RUnlock()
	time.Sleep(pause)
	s.mu.Lock()
	if s.stalled && c.Submit == nil && c.Config == nil {
		s.held = append(s.held, c)
		s.mu.Unlock()
		time.Sleep(stallTime)
		return csjob.Refused, errUnknown
	}
	v := s.apply(c)
	s.mu.Unlock()
	s.hook()
	return v, nil
}
