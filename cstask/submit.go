package cstask

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (c Submit) apply(t *Table, at time.Time) Result {
	if !c.valid() {
		return Result{Status: Invalid}
	}
	digest := c.digest()
	if r, ok := t.tasks[c.ID]; ok {
		return repeatedSubmit(digest == r.digest, r.accepted, r.result(Conflict))
	}
	if e, ok := t.history.records[c.ID]; ok {
		return repeatedSubmit(digest == e.digest, e.accepted, Result{Status: Conflict, State: e.state, Fence: e.fence})
	}
	t.history.evict(t.now, t.limits)
	if s := t.admissionStatus(c, at); s != OK {
		return Result{Status: s}
	}
	r := t.addTask(c, digest, at)
	return Result{Status: OK, State: r.state, Fence: r.fence, Accepted: fromNanos(r.accepted)}
}

func repeatedSubmit(same bool, accepted int64, r Result) Result {
	if same {
		r.Status = Repeated
		r.Accepted = fromNanos(accepted)
	}
	return r
}

func (c Submit) valid() bool {
	validNames := len(c.ID) > 0 && len(c.ID) <= MaxNameBytes && len(c.Job) > 0 && len(c.Job) <= MaxNameBytes && len(c.Team) <= MaxNameBytes
	validSizes := c.CPU >= 0 && c.Memory >= 0 && c.Runtime >= 0 && c.Runtime <= MaxRuntime && len(c.Payload) <= MaxBlobBytes
	return validNames && validSizes && !c.Deadline.IsZero()
}

// admissionStatus returns OK when a new submission may be added, and otherwise the status that refuses it.
func (t *Table) admissionStatus(c Submit, at time.Time) Status {
	switch {
	case !c.Deadline.After(at.Add(-t.limits.Retention)):
		return DeadlineTooOld
	case c.Deadline.After(at.Add(t.limits.Horizon)):
		return DeadlineTooFar
	case nanos(c.Deadline) <= t.history.evictedDeadline:
		return DeadlineTooOld
	case len(t.tasks) >= t.limits.Tasks || t.bytes+len(c.Payload) > t.limits.Bytes:
		return TableFull
	}
	if tm, ok := t.teams[c.Team]; ok && tm.limit > 0 && tm.unfinished >= tm.limit {
		return TeamLimitReached
	}
	return OK
}

func (t *Table) addTask(c Submit, digest uint64, at time.Time) *record {
	r := &record{
		id: c.ID, job: t.job(c.Job), team: t.team(c.Team), cpu: c.CPU, memory: c.Memory, runtime: c.Runtime,
		deadline: nanos(c.Deadline), accepted: nanos(at), digest: digest, payload: c.Payload, fence: 1,
	}
	r.job.unfinished++
	r.team.unfinished++
	t.bytes += len(c.Payload)
	t.tasks[c.ID] = r
	t.enqueue(r)
	return r
}

// digest returns a hash of the contents of a submission, which tells a repeat from another submission with the same id.
func (c Submit) digest() uint64 {
	buffer := make([]byte, 0, 256)
	for _, s := range []string{string(c.Job), string(c.Team)} {
		buffer = binary.AppendUvarint(buffer, uint64(len(s)))
		buffer = append(buffer, s...)
	}
	for _, n := range []int64{int64(c.CPU), int64(c.Memory), int64(c.Runtime), nanos(c.Deadline)} {
		buffer = binary.AppendVarint(buffer, n)
	}
	d := xxhash.New()
	_, _ = d.Write(buffer)
	_, _ = d.Write(c.Payload)
	return d.Sum64()
}
