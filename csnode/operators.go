package csnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrollout"
)

// maxSubmission is the largest configuration that is accepted, in bytes.
const maxSubmission = 1 << 20

func (w *webServer) submitRevision(rw http.ResponseWriter, r *http.Request, operator string) {
	body, ok := readBody(rw, r, maxSubmission)
	if !ok {
		return
	}
	var s csapi.Submission
	if err := json.Unmarshal(body, &s); err != nil || s.ID == "" {
		problem(rw, r, http.StatusBadRequest, csapi.BadBody, "a JSON object with id, base and text is required")
		return
	}
	configuration, err := csconfig.ParseFor("submission", []byte(s.Text), w.n.settings.Zones())
	if err != nil {
		writeJSON(rw, http.StatusUnprocessableEntity, csapi.Verdict{Result: csapi.Invalid, Faults: csapi.Faults(err)})
		return
	}
	if w.refuseIsolated(rw, r, w.n.global) {
		return
	}
	result, err := w.n.submit(r.Context(), csrollout.Submission{
		ID: s.ID, Base: s.Base, Operator: operator, Configuration: &configuration,
	})
	if err != nil {
		writeGroupError(rw, r, err)
		return
	}
	writeVerdict(rw, r, s.Base, result)
}

func (n *Node) submit(ctx context.Context, s csrollout.Submission) (csrollout.Result, error) {
	n.viewRevisions(func(m *csrollout.Machine) { s = m.ToDelta(s) })
	data, err := csrollout.EncodeSubmission(s)
	if err != nil {
		return nil, err
	}
	response, err := n.global.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, err := csrollout.DecodeResult(response)
	if err == nil {
		n.log.Info("submission decided", zap.String("submission", string(s.ID)), zap.String("operator", s.Operator),
			zap.Uint64("base", uint64(s.Base)), zap.String("result", resultName(result)))
	}
	return result, err
}

func resultName(r csrollout.Result) string {
	switch r.(type) {
	case csrollout.Accepted:
		return string(csapi.Accepted)
	case csrollout.Conflict:
		return string(csapi.Conflict)
	default:
		return string(csapi.Invalid)
	}
}

func writeVerdict(rw http.ResponseWriter, r *http.Request, base csmodel.Revision, result csrollout.Result) {
	switch v := result.(type) {
	case csrollout.Accepted:
		writeJSON(rw, http.StatusCreated, csapi.Verdict{Result: csapi.Accepted, Revision: v.Revision})
	case csrollout.Conflict:
		writeJSON(rw, http.StatusConflict, csapi.Verdict{Result: csapi.Conflict, Revision: v.Revision, Winner: &csapi.Winner{
			ID: v.Submission, Operator: v.Operator, Revision: base + 1, Changes: changes(v.Names),
			More: v.More,
		}})
	case csrollout.Invalid:
		if v.Retry {
			setRetry(rw, taskRetry)
			rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
			problem(rw, r, http.StatusServiceUnavailable, "", v.Reason)
			return
		}
		writeJSON(rw, http.StatusUnprocessableEntity, csapi.Verdict{
			Result: csapi.Invalid, Faults: []csapi.Fault{{Reason: v.Reason}},
		})
	}
}

// changes turns names such as "pool/web" and "team/desk (removed)" into differences.
func changes(names []string) []csapi.Change {
	out := make([]csapi.Change, 0, len(names))
	for _, name := range names {
		path, removed := strings.CutSuffix(name, " (removed)")
		kind := csapi.Changed
		if removed {
			kind = csapi.Removed
		}
		out = append(out, csapi.Change{Path: path, Kind: kind})
	}
	return out
}

// refuseIsolated refuses a call as not run at once while the leader of its group is silent. A call that waits for a leader
// would not be answered before its caller gives up, who cannot tell whether it ran.
func (w *webServer) refuseIsolated(rw http.ResponseWriter, r *http.Request, g *csgroup.Group) bool {
	if !w.n.stale(g) {
		return false
	}
	writeGroupError(rw, r, csgroup.ErrNoLeader)
	return true
}

// writeGroupError tells a proposal that never ran from one whose outcome is unknown.
func writeGroupError(rw http.ResponseWriter, r *http.Request, err error) {
	setRetry(rw, taskRetry)
	if errors.Is(err, csgroup.ErrTimeout) {
		rw.Header().Set(csapi.OutcomeHeader, string(csapi.Unknown))
		problem(rw, r, http.StatusGatewayTimeout, csapi.NoLeader, "the outcome is unknown; send the same call again")
		return
	}
	rw.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
	problem(rw, r, http.StatusServiceUnavailable, csapi.NoLeader, err.Error())
}

func (w *webServer) readRevision(rw http.ResponseWriter, r *http.Request, _ string) {
	wanted := csmodel.Revision(0)
	if text := r.PathValue(csapi.RevisionParameter); text != csapi.LatestRevision {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			problem(rw, r, http.StatusBadRequest, csapi.BadHeader, "the revision must be a number or "+csapi.LatestRevision)
			return
		}
		wanted = csmodel.Revision(parsed)
	}
	head, stale := w.n.latest(r.Context())
	if wanted > head.Revision {
		problem(rw, r, http.StatusNotFound, "", "no such revision")
		return
	}
	out := csapi.Revision{Revision: head.Revision, Stale: stale}
	if wanted != 0 && wanted != head.Revision {
		out.Revision = wanted
	} else if head.Revision > 0 {
		text, err := csconfig.Print(head.Configuration)
		if err != nil {
			problem(rw, r, http.StatusInternalServerError, "", err.Error())
			return
		}
		out.Text, out.ID, out.Operator, out.At = string(text), head.Submission, head.Operator, head.At
		out.Base = head.Revision - 1
	}
	progress, err := ask(r.Context(), w.n, w.n.tree.rollout, func(c chan<- csrollout.Progress) any {
		return readProgress{revision: out.Revision, reply: c}
	})
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	out.Active, out.Pending, out.Unreachable = progress.Active, progress.Pending, progress.Unreachable
	writeJSON(rw, http.StatusOK, out)
}

// latest returns the newest accepted revision from a linearizable read. While there is no quorum it returns the newest one
// that this node knows and reports it as stale.
func (n *Node) latest(ctx context.Context) (head csrollout.Head, stale bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := n.readRevisions(ctx, func(m *csrollout.Machine) { head = m.Head() })
	if err != nil {
		n.viewRevisions(func(m *csrollout.Machine) { head = m.Head() })
	}
	if active := n.Active(); active.Revision > head.Revision {
		head = active
	}
	return head, err != nil
}

// readTimeout bounds a linearizable read before the local replica is used.
const readTimeout = time.Second

func (w *webServer) startDrain(rw http.ResponseWriter, r *http.Request, operator string) {
	body, ok := readBody(rw, r, maxSubmission)
	if !ok {
		return
	}
	var d csapi.Drain
	if err := json.Unmarshal(body, &d); err != nil || (d.VM == "") == (d.Node == "") {
		problem(rw, r, http.StatusBadRequest, csapi.BadBody, "exactly one of vm and node is required")
		return
	}
	w.n.log.Info("drain requested", zap.String("vm", string(d.VM)), zap.String("drained", string(d.Node)),
		zap.String("operator", operator))
	if d.Node != "" {
		w.drainNode(rw, r, d)
		return
	}
	w.drainVM(rw, r, d)
}

func (w *webServer) drainNode(rw http.ResponseWriter, r *http.Request, d csapi.Drain) {
	if !w.n.self(d.Node) {
		problem(rw, r, http.StatusNotFound, csapi.UnknownDrain, "send the drain to the node itself")
		return
	}
	if w.n.draining.CompareAndSwap(false, true) {
		w.n.background(time.Hour, func(ctx context.Context) {
			if err := w.n.Drain(ctx); err != nil {
				w.n.log.Warn("drain ended", zap.Error(err))
			}
		})
	}
	left := w.n.waiters.count()
	writeJSON(rw, http.StatusOK, csapi.Drained{Drain: d, Complete: left == 0, Left: left})
}

// drainVM takes a VM out of service for a reboot, within the availability budget. A repeated call returns the progress.
func (w *webServer) drainVM(rw http.ResponseWriter, r *http.Request, d csapi.Drain) {
	var vm csfleet.VM
	found := false
	w.n.viewFleet(func(m *csfleet.Machine) { vm, found = m.VM(d.VM) })
	if !found {
		problem(rw, r, http.StatusNotFound, csapi.UnknownDrain, "no VM has this id")
		return
	}
	if vm.State != csfleet.Serving {
		writeJSON(rw, http.StatusOK, csapi.Drained{Drain: d, Complete: vm.State != csfleet.Draining})
		return
	}
	if w.refuseIsolated(rw, r, w.n.region) {
		return
	}
	result, err := w.n.proposeFleet(r.Context(), csfleet.StartReboot{VM: d.VM, Fence: vm.Fence})
	switch {
	case err != nil:
		writeGroupError(rw, r, err)
	case result.Status == csfleet.OverBudget:
		problem(rw, r, http.StatusConflict, csapi.BudgetExceeded, "the drain would exceed the availability budget of the pool")
	case !result.Status.Accepted():
		problem(rw, r, http.StatusConflict, csapi.UnknownDrain, "the VM is in another step; read the status and try again")
	default:
		writeJSON(rw, http.StatusOK, csapi.Drained{Drain: d})
	}
}

func (w *webServer) readWaves(rw http.ResponseWriter, r *http.Request, _ string) {
	waves, err := w.n.waves(r.Context())
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	writeJSON(rw, http.StatusOK, csapi.Waves{Waves: waves, Stale: w.n.stale(w.n.region)})
}

func (w *webServer) pauseWave(rw http.ResponseWriter, r *http.Request, operator string) {
	wave := csmodel.WaveID(r.PathValue(csapi.WaveParameter))
	w.changeWave(rw, r, wave, csfleet.PauseWave{Wave: wave, Reason: "paused by " + operator, Operator: true})
}

func (w *webServer) resumeWave(rw http.ResponseWriter, r *http.Request, operator string) {
	wave := csmodel.WaveID(r.PathValue(csapi.WaveParameter))
	w.changeWave(rw, r, wave, csfleet.ResumeWave{Wave: wave, Reason: "resumed by " + operator, Operator: true})
}

func (w *webServer) changeWave(rw http.ResponseWriter, r *http.Request, wave csmodel.WaveID, c csfleet.Command) {
	if w.refuseIsolated(rw, r, w.n.region) {
		return
	}
	result, err := w.n.proposeFleet(r.Context(), c)
	if err != nil {
		writeGroupError(rw, r, err)
		return
	}
	if result.Status == csfleet.NotFound {
		problem(rw, r, http.StatusNotFound, csapi.UnknownWave, "no wave of this name has started")
		return
	}
	waves, err := w.n.waves(r.Context())
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	for _, v := range waves {
		if v.Name == wave {
			// The progress is that of the last plan, which may be older than the command.
			if _, paused := c.(csfleet.PauseWave); paused {
				v.State = csapi.Paused
			} else if v.State == csapi.Paused {
				v.State = csapi.Running
			}
			writeJSON(rw, http.StatusOK, v)
			return
		}
	}
	problem(rw, r, http.StatusNotFound, csapi.UnknownWave, "no wave has this name")
}
