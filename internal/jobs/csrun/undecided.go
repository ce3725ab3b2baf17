package csrun

import "time"

// undecided holds commands whose outcome is not known. Each may be in the log and be applied at any time, so what it reserves
// stays reserved. A command that was proposed later and is committed decides them: by then each of them has been applied or
// never will be.
type undecided struct {
	commands []*committed
	failedAt time.Time // of the newest of them
	asking   bool      // a command is on its way that may decide them
}

// askable tells whether a command without decisions is worth proposing.
func (u *undecided) askable() bool { return len(u.commands) > 0 && !u.asking }

// decide releases what a command and those before it have reserved, as far as their outcome is known.
func (r *runner) decide(m *committed) {
	u := &r.unknown
	u.asking = false
	switch {
	case m.err != nil:
		if len(m.command.Starts) > 0 || len(m.command.Targets) > 0 {
			u.commands = append(u.commands, m)
			u.failedAt = r.now()
		}
		return
	case len(u.commands) > 0 && m.began.After(u.failedAt):
		for _, c := range u.commands {
			r.release(c)
		}
		u.commands = nil
	}
	for _, s := range m.command.Starts {
		r.settled(s.Task)
	}
}

// release takes back what a command that is decided has reserved. If it was applied, the table holds its starts and the lives
// that it ended are gone; otherwise their tasks and targets are decided on again.
func (r *runner) release(c *committed) {
	for _, s := range c.command.Starts {
		r.settled(s.Task)
	}
	for _, e := range c.command.Targets {
		// The end of a life, and the life that follows it under its name, keep the target from orders.
		w := r.targets[e.Target.Life.Target]
		switch {
		case w == nil:
		case e.Gone && w.life == e.Target.Life:
			w.fencing, w.stopping = false, false
		case !e.Gone && w.life != e.Target.Life:
			w.stopping = false // the next heartbeat of the new life tries again
		}
	}
}
