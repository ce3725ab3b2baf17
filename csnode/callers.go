package csnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
	"cowslipstream.example/cowslipstream/cstask"
)

const (
	// taskRetry is the Retry-After of a task submission that was not accepted.
	taskRetry = time.Second
	// taskTimeout bounds the submission and cancellation of a task. It is below the 5 s after which csclient turns to the
	// next node, so that a caller of an isolated node learns that its task was not accepted.
	taskTimeout = 4 * time.Second
)

func (w *webServer) issueKeys(rw http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get(csapi.CountParameter); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > csapi.MaxKeys {
			problem(rw, r, http.StatusBadRequest, csapi.BadHeader, "count must be from 1 to "+strconv.Itoa(csapi.MaxKeys))
			return
		}
		count = parsed
	}
	if w.n.draining.Load() {
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusServiceUnavailable, "", "the node is draining")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	keys, err := ask(ctx, w.n, w.n.tree.requests, func(c chan<- []csrequest.Key) any {
		return issueKeys{count: count, reply: c}
	})
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	out := csapi.Keys{}
	for _, k := range keys {
		out = append(out, csapi.Key(k.String()))
	}
	writeJSON(rw, http.StatusOK, out)
}

func (w *webServer) sendRequest(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
	timeout, ok := headerDuration(rw, r)
	if !ok {
		return
	}
	body, ok := readBody(rw, r, csapi.MaxBody)
	if !ok {
		return
	}
	reply := make(chan csrequest.Reply, 1)
	start := w.n.clock.Now()
	id := w.n.arrive(&waiter{
		job:   csmodel.JobID(r.PathValue(csapi.JobParameter)),
		team:  csmodel.TeamID(r.Header.Get(csapi.TeamHeader)),
		key:   r.Header.Get(csapi.KeyHeader),
		body:  body,
		reply: func(v csrequest.Reply) { reply <- v },
	}, timeout, false)
	select {
	case v := <-reply:
		w.n.metrics.latency.WithLabelValues(v.Outcome.String()).Observe(w.n.clock.Since(start).Seconds())
		writeOutcome(rw, r, v)
	case <-r.Context().Done():
		w.n.send(w.n.tree.requests, csrequest.Cancelled{ID: id})
		// A caller that closed only its sending side still reads the response.
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.Unknown))
		problem(rw, r, http.StatusGatewayTimeout, "", string(csrequest.ReasonCanceled))
	}
}

func headerDuration(rw http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.Header.Get(csapi.TimeoutHeader)
	if text == "" {
		return 0, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		problem(rw, r, http.StatusBadRequest, csapi.BadHeader, csapi.TimeoutHeader+" must be a positive Go duration such as 2s")
		return 0, false
	}
	return d, true
}

// writeOutcome writes a whole answer with its length and digest, or a problem.
func writeOutcome(rw http.ResponseWriter, r *http.Request, v csrequest.Reply) {
	rw.Header().Set(csapi.OutcomeHeader, v.Outcome.String())
	switch v.Outcome {
	case csrequest.Answered:
		if v.Answer.Type != "" {
			rw.Header().Set(csapi.TypeHeader, v.Answer.Type)
		}
		rw.Header().Set(csapi.DigestHeader, csapi.Digest(v.Answer.Body))
		rw.Header().Set("Content-Length", strconv.Itoa(len(v.Answer.Body)))
		rw.WriteHeader(v.Answer.Status)
		_, _ = rw.Write(v.Answer.Body)
	case csrequest.NotRun:
		status, kind := notRunStatus(v.Reason)
		setRetry(rw, v.RetryAfter)
		problem(rw, r, status, kind, string(v.Reason))
	default:
		setRetry(rw, v.RetryAfter)
		problem(rw, r, http.StatusGatewayTimeout, "", string(v.Reason))
	}
}

func notRunStatus(reason csrequest.Reason) (status int, kind string) {
	switch reason {
	case csrequest.ReasonUnknownJob:
		return http.StatusNotFound, csapi.UnknownJob
	case csrequest.ReasonInvalidKey:
		return http.StatusBadRequest, csapi.KeyRequired
	case csrequest.ReasonKeyReused, csrequest.ReasonKeyExpired:
		return http.StatusUnprocessableEntity, csapi.KeyInvalid
	case csrequest.ReasonQuotaExceeded:
		return http.StatusTooManyRequests, csapi.QuotaExceeded
	case csrequest.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge, csapi.BodyTooLarge
	default:
		return http.StatusServiceUnavailable, ""
	}
}

func setRetry(rw http.ResponseWriter, d time.Duration) {
	if d > 0 {
		rw.Header().Set(csapi.RetryHeader, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

func (w *webServer) announce(rw http.ResponseWriter, r *http.Request) {
	if w.n.draining.Load() {
		problem(rw, r, http.StatusServiceUnavailable, "", "the node is draining")
		return
	}
	body, ok := readBody(rw, r, maxAnnouncement)
	if !ok {
		return
	}
	var a cstarget.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		problem(rw, r, http.StatusBadRequest, csapi.BadBody, err.Error())
		return
	}
	if a.ID == "" || a.Incarnation == 0 || a.Address == "" {
		problem(rw, r, http.StatusBadRequest, csapi.BadBody, "id, incarnation and address are required")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	reply, err := ask(ctx, w.n, w.n.tree.targets, func(c chan<- cstarget.AnnounceReply) any {
		return announcement{value: a, reply: c}
	})
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	writeJSON(rw, http.StatusOK, reply)
}

func (w *webServer) submitTask(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
	submit, ok := w.readSubmit(rw, r)
	if !ok || w.refuseIsolated(rw, r, w.n.region) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), taskTimeout)
	defer cancel()
	results, err := w.n.proposeTasks(ctx, submit)
	switch {
	case errors.Is(err, csgroup.ErrTimeout):
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.Unknown))
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusGatewayTimeout, csapi.NoLeader, "the outcome is unknown; submit the same id again")
	case err != nil:
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusServiceUnavailable, csapi.NoLeader, err.Error())
	case len(results) == 1 && results[0].Status.Accepted():
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.Answer))
		t := w.n.decided(submit.ID, results[0])
		t.Job, t.Team, t.Deadline, t.Accepted = submit.Job, submit.Team, submit.Deadline, results[0].Accepted
		writeJSON(rw, http.StatusAccepted, t)
	default:
		writeRefusedTask(rw, r, results)
	}
}

func (w *webServer) readSubmit(rw http.ResponseWriter, r *http.Request) (cstask.Submit, bool) {
	if w.n.Active().Revision == 0 {
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusServiceUnavailable, "", string(csrequest.ReasonUnconfigured))
		return cstask.Submit{}, false
	}
	name := csmodel.JobID(r.PathValue(csapi.JobParameter))
	job, found := findJob(w.n.Active().Configuration, name)
	if !found || job.Class != csconfig.Deferred {
		problem(rw, r, http.StatusNotFound, csapi.UnknownJob, "no deferred job has this name")
		return cstask.Submit{}, false
	}
	id := csmodel.TaskID(r.Header.Get(csapi.KeyHeader))
	if id == "" {
		problem(rw, r, http.StatusBadRequest, csapi.KeyRequired, "the header "+csapi.KeyHeader+" must hold the task id")
		return cstask.Submit{}, false
	}
	deadline, err := time.Parse(time.RFC3339, r.Header.Get(csapi.DeadlineHeader))
	if err != nil {
		problem(rw, r, http.StatusBadRequest, csapi.BadHeader, csapi.DeadlineHeader+" must be a time as in RFC 3339")
		return cstask.Submit{}, false
	}
	body, ok := readBody(rw, r, csapi.MaxBody)
	return cstask.Submit{
		ID: id, Job: name, Team: csmodel.TeamID(r.Header.Get(csapi.TeamHeader)), CPU: job.CPU, Memory: job.Memory,
		Runtime: job.Runtime, Deadline: deadline, Payload: body,
	}, ok
}

func writeRefusedTask(rw http.ResponseWriter, r *http.Request, results []cstask.Result) {
	status := cstask.Invalid
	if len(results) == 1 {
		status = results[0].Status
	}
	switch status {
	case cstask.Conflict:
		problem(rw, r, http.StatusConflict, csapi.KeyInvalid, "the id belongs to another task")
	case cstask.DeadlineTooOld, cstask.DeadlineTooFar:
		problem(rw, r, http.StatusUnprocessableEntity, csapi.BadHeader, "the deadline is outside the accepted range")
	case cstask.TeamLimitReached:
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusTooManyRequests, csapi.QuotaExceeded, "the team has too many unfinished tasks")
	case cstask.TableFull:
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusServiceUnavailable, "", "the task table is full")
	default:
		problem(rw, r, http.StatusUnprocessableEntity, csapi.BadBody, "the task is malformed or too large")
	}
}

func (w *webServer) readTask(rw http.ResponseWriter, r *http.Request) {
	id := csmodel.TaskID(r.PathValue(csapi.TaskParameter))
	t := w.n.task(id)
	if t.State == "" {
		// The replica may be behind the acceptance of the task.
		ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
		defer cancel()
		if err := w.n.region.Read(ctx, func(csraft.Machine) {}); err != nil {
			setRetry(rw, taskRetry)
			problem(rw, r, http.StatusServiceUnavailable, csapi.NoLeader, err.Error())
			return
		}
		t = w.n.task(id)
	}
	writeTask(rw, r, t)
}

func writeTask(rw http.ResponseWriter, r *http.Request, t csapi.Task) {
	if t.State == "" {
		problem(rw, r, http.StatusNotFound, csapi.UnknownTask, "no task has this id")
		return
	}
	writeJSON(rw, http.StatusOK, t)
}

func (w *webServer) cancelTask(rw http.ResponseWriter, r *http.Request) {
	id := csmodel.TaskID(r.PathValue(csapi.TaskParameter))
	ctx, cancel := context.WithTimeout(r.Context(), taskTimeout)
	defer cancel()
	results, err := w.n.proposeTasks(ctx, cstask.Cancel{ID: id})
	if err != nil || len(results) != 1 {
		setRetry(rw, taskRetry)
		problem(rw, r, http.StatusServiceUnavailable, csapi.NoLeader, fmt.Sprintf("no decision: %v", err))
		return
	}
	writeTask(rw, r, w.n.decided(id, results[0]))
}

// decided returns a task as a command left it. The local replica may not have applied the command yet.
func (n *Node) decided(id csmodel.TaskID, r cstask.Result) csapi.Task {
	t := n.task(id)
	t.ID = id
	if state := taskStates[r.State]; !t.State.Final() || state.Final() {
		t.State = state
	}
	if t.State != csapi.Leased {
		t.Worker = ""
	}
	return t
}

// task reads a task from the local replica. Its state is empty where there is no such task.
func (n *Node) task(id csmodel.TaskID) csapi.Task {
	var out csapi.Task
	n.viewFleet(func(m *csfleet.Machine) {
		t, ok := m.Tasks().Get(id)
		if !ok {
			return
		}
		out = csapi.Task{
			ID: t.ID, Job: t.Job, Team: t.Team, State: taskStates[t.State], Accepted: t.Accepted, Deadline: t.Deadline,
			Ended: t.Ended, Worker: t.VM, Reason: taskReason(t), Result: t.Result,
		}
	})
	out.Stale = n.stale(n.region)
	return out
}

var taskStates = map[cstask.State]csapi.TaskState{
	cstask.StateWaiting:   csapi.Waiting,
	cstask.StateLeased:    csapi.Leased,
	cstask.StateSetAside:  csapi.Aside,
	cstask.StateFinished:  csapi.Finished,
	cstask.StateFailed:    csapi.Failed,
	cstask.StateCancelled: csapi.Cancelled,
}

func taskReason(t cstask.Task) string {
	switch t.Reason {
	case cstask.ReasonTooLarge:
		return "larger than every worker"
	case cstask.ReasonFailedVMs:
		return "lost or failed on several workers: " + t.Message
	case cstask.ReasonOverrun:
		return "overran on several workers"
	case cstask.ReasonUnknownJob:
		return "no pool carries the job"
	default:
		return t.Message
	}
}
