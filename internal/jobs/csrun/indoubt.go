package csrun

import "time"

// inDoubtCommands holds commands whose outcome is unknown. Each may be in the log and be applied at any time, so its
// reservations stay in place. The commit of a command that was proposed later resolves them: by then each of them has been
// applied or never will be.
type inDoubtCommands struct {
	commands  []*commitResult
	failedAt  time.Time // when the newest of them failed
	resolving bool      // a command that may resolve them is in flight
}

// needsResolving reports whether an empty command should be proposed to resolve them.
func (d *inDoubtCommands) needsResolving() bool { return len(d.commands) > 0 && !d.resolving }

// resolve releases the reservations of a command, and of in-doubt commands that its commit resolves.
func (r *runner) resolve(m *commitResult) {
	d := &r.inDoubt
	d.resolving = false
	switch {
	case m.err != nil:
		if len(m.command.Starts) > 0 || len(m.command.Targets) > 0 {
			d.commands = append(d.commands, m)
			d.failedAt = r.now()
		}
		return
	case len(d.commands) > 0 && m.proposedAt.After(d.failedAt):
		for _, c := range d.commands {
			r.releaseReserved(c)
		}
		d.commands = nil
	}
	for _, s := range m.command.Starts {
		r.removePending(s.Task)
	}
}

// releaseReserved releases the reservations of a command whose outcome is settled. If it was applied, the table holds its
// starts, and the incarnations that it ended are gone; otherwise its tasks and targets are scheduled again.
func (r *runner) releaseReserved(c *commitResult) {
	for _, s := range c.command.Starts {
		r.removePending(s.Task)
	}
	for _, e := range c.command.Targets {
		// While the end of an incarnation or its replacement by a new one is in doubt, the target gets no orders.
		w := r.targets[e.Target.Incarnation.Target]
		switch {
		case w == nil:
		case e.Ended && w.incarnation == e.Target.Incarnation:
			w.closed, w.closing = false, false
		case !e.Ended && w.incarnation != e.Target.Incarnation:
			w.closing = false // the next heartbeat of the new incarnation retries
		}
	}
}
