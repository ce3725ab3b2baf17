package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// waitPart is a part of the time that a task takes beside its run.
type waitPart uint8

const (
	waitStartCommit waitPart = iota // from the decision to start a run until the commit
	waitStartOrder                  // from the commit until the order is sent: a round, and earlier orders to the target
	waitStartCall                   // from the order until its answer
	waitEndList                     // from the end of a run until the leader has read it in a list
	waitEndRound                    // from the list until a round proposes the end
	waitEndCommit                   // from the proposal until the commit
	waitNextRound                   // from the commit until a round can place what waited for the end
	waitCount
)

var waitNames = [waitCount]string{"start_commit", "start_order", "start_call", "end_list", "end_round", "end_commit", "next_round"}

const (
	// meanSamples is the number of samples after which a movingMean forgets.
	meanSamples = 64
	// replyDelay is the time from the commit of the last end of a job until its client account has the reply to a poll.
	replyDelay = 50 * time.Millisecond
	// minWaitSamples is the number of samples of each wait from which the delays are known.
	minWaitSamples = 8
	// maxWaitSample bounds a sample: a stall or a partition tells little about the tasks that follow.
	maxWaitSample = 500 * time.Millisecond
	// waitingMargin is how much longer than an order a poll has to take to count as one that waited for an end.
	waitingMargin = 10 * time.Millisecond
)

// movingMean is the mean of about the last meanSamples samples. The zero value has none.
type movingMean struct {
	value   time.Duration
	samples int
}

func (m *movingMean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanSamples)
	m.value += (min(max(d, 0), maxWaitSample) - m.value) / time.Duration(m.samples)
}

// taskWaits holds the recent means of all waits. The zero value has no samples.
type taskWaits [waitCount]movingMean

// delays returns the delays to expect of the next steps, or zero while a wait has few samples.
func (t *taskWaits) delays() csplan.Delays {
	for i := range t {
		if t[i].samples < minWaitSamples {
			return csplan.Delays{}
		}
	}
	return csplan.Delays{
		Start: t[waitStartCommit].value + t[waitStartOrder].value + t[waitStartCall].value/2,
		End:   t[waitEndList].value + t[waitEndRound].value + t[waitEndCommit].value + t[waitNextRound].value,
		Reply: replyDelay,
	}
}

// passed returns how long the run has run at a time.
func (u *run) passed(at time.Time) time.Duration { return at.Sub(u.since) - u.startDelay }

// recordWait records that n tasks have waited for a time.
func (r *runner) recordWait(w waitPart, d time.Duration, n int) {
	if n == 0 {
		return
	}
	for range min(n, meanSamples) {
		r.waits[w].add(d)
	}
	r.stats.waitTimes[w] += time.Duration(n) * d
	r.stats.waits[w] += n
	r.options.Metrics.waitTimes[w].Observe(d.Seconds())
}

// recordStartAnswer records the answer to the only start order of a run. known is set if it comes from this incarnation.
func (r *runner) recordStartAnswer(w *target, u *run, m *orderResult, known bool) {
	if !known || u.startsSent != 1 {
		return
	}
	u.startClock = m.reply.Clock
	u.startDelay = m.sentAt.Sub(u.since) + m.arrivedAt.Sub(m.sentAt)/2
	w.callTime.add(m.arrivedAt.Sub(m.sentAt))
	r.recordWait(waitStartCall, m.arrivedAt.Sub(m.sentAt), 1)
}

// endClock estimates when the runs ended that a list reports for the first time, on the clock of the target. It must be called before the
// list is recorded.
func (t *target) endClock(m *pollResult) time.Duration {
	waited := m.arrivedAt.Sub(m.sentAt) > t.callTime.value+waitingMargin
	if waited || t.listClock == 0 {
		return m.response.Clock
	}
	return t.listClock + (m.response.Clock-t.listClock)/2
}

// recordEndList records how long ends have waited until the leader read them.
func (r *runner) recordEndList(w *target, m *pollResult, endClock time.Duration, now time.Time, ends int) {
	r.recordWait(waitEndList, m.response.Clock-endClock+w.callTime.value/2+now.Sub(m.arrivedAt), ends)
	if ends > 0 && r.endsReadAt.IsZero() {
		r.endsReadAt = now
	}
}

// worked returns how long a run that ended at a time on the clock of its target has run, or zero if that is not known.
func (u *run) worked(endClock time.Duration) time.Duration {
	if u.startClock == 0 {
		return 0
	}
	return max(0, endClock-u.startClock)
}
