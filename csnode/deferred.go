package csnode

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstarget"
	"cowslipstream.example/cowslipstream/cstask"
)

const (
	// startRetry is the time after which a start that the target does not report is sent again.
	startRetry = 3 * time.Second
	// proposeLimit bounds a proposal that is repeated at the next report.
	proposeLimit = 4 * time.Second
	// targetGrace is the silence after which a target gets no new starts.
	targetGrace = 3 * time.Second
	// checkpointInterval is the shortest time between two recorded checkpoints of a running task.
	checkpointInterval = 5 * time.Second
	// maxReportBatch and reportOverhead keep a batch of reports below the size of an entry, in bytes.
	maxReportBatch = 512 << 10
	reportOverhead = 256
	// scanInterval is the shortest time between two readings of the replica after changes of it; the next tick catches up.
	// Reading it after each of thousands of changes per second kept the replica from applying more.
	scanInterval = 50 * time.Millisecond
)

// deferredActor starts leased tasks on the targets of this home node and proposes what the targets report.
type deferredActor struct {
	n       *Node
	client  *http.Client
	targets map[csmodel.VMID]*taskTarget
	busy    map[attemptKey]bool // proposals and calls in flight
	overrun map[attemptKey]bool // tasks stopped because they overran
	scanned time.Time           // when the leases were last read
}

type taskTarget struct {
	machine  Machine
	sequence uint64
	heard    time.Time
	reports  map[attemptKey]cstarget.TaskReport
	started  map[attemptKey]time.Time
	saved    map[attemptKey]time.Time
}

type attemptKey struct {
	task  csmodel.TaskID
	fence csmodel.Fence
}

type (
	taskReports struct {
		machine  Machine
		sequence uint64
		reports  []cstarget.TaskReport
	}
	targetGone struct{ vm csmodel.VMID }
	orders     struct{ orders []order }
	settled    struct {
		vm   csmodel.VMID
		keys []attemptKey
		// ended are the attempts whose report is acknowledged to the target.
		ended []attemptKey
	}
)

func newDeferredActor(n *Node) *deferredActor {
	return &deferredActor{
		n:       n,
		client:  &http.Client{Timeout: platformTimeout},
		targets: map[csmodel.VMID]*taskTarget{},
		busy:    map[attemptKey]bool{},
		overrun: map[attemptKey]bool{},
	}
}

// Receive handles a message.
func (a *deferredActor) Receive(c actor.Context) {
	now := a.n.clock.Now()
	switch m := c.Message().(type) {
	case taskReports:
		a.reported(now, m)
	case targetGone:
		delete(a.targets, m.vm)
	case orders:
		for _, o := range m.orders {
			a.obey(o)
		}
	case settled:
		a.settle(m)
	case replicaChanged:
		if now.Sub(a.scanned) >= scanInterval {
			a.startLeased(now)
		}
	case tick:
		a.startLeased(now)
	}
}

func (a *deferredActor) reported(now time.Time, m taskReports) {
	t, ok := a.targets[m.machine.VM]
	if !ok || t.machine.Incarnation != m.machine.Incarnation {
		t = &taskTarget{started: map[attemptKey]time.Time{}, saved: map[attemptKey]time.Time{}}
		a.targets[m.machine.VM] = t
	}
	t.machine = m.machine
	t.sequence = m.sequence
	t.heard = now
	t.reports = map[attemptKey]cstarget.TaskReport{}
	var b reportBatch
	for _, r := range m.reports {
		key := attemptKey{r.ID, r.Fence}
		t.reports[key] = r
		command := a.command(now, t, key, r)
		if command == nil {
			continue
		}
		if b.bytes+len(r.Result)+len(r.Checkpoint) > maxReportBatch {
			a.propose(m.machine.VM, b)
			b = reportBatch{}
		}
		b.add(key, r, command)
		a.busy[key] = true
	}
	a.propose(m.machine.VM, b)
}

// reportBatch is what one entry of the region's group records of an announcement. With an entry for each task, thousands
// of reports kept cancellations waiting for minutes.
type reportBatch struct {
	commands []cstask.Command
	keys     []attemptKey
	ended    []attemptKey
	bytes    int
}

func (b *reportBatch) add(key attemptKey, r cstarget.TaskReport, c cstask.Command) {
	b.commands = append(b.commands, c)
	b.keys = append(b.keys, key)
	b.bytes += len(r.Result) + len(r.Checkpoint) + reportOverhead
	if r.State != cstarget.TaskRunning {
		b.ended = append(b.ended, key)
	}
}

func (a *deferredActor) propose(vm csmodel.VMID, b reportBatch) {
	if len(b.commands) == 0 {
		return
	}
	a.n.background(proposeLimit, func(ctx context.Context) {
		m := settled{vm: vm, keys: b.keys}
		if _, err := a.n.proposeTasks(ctx, b.commands...); err == nil {
			m.ended = b.ended
		}
		a.n.send(a.n.tree.deferred, m)
	})
}

// command turns a report of a target into a command for the region's group, or nil where there is nothing to record.
func (a *deferredActor) command(now time.Time, t *taskTarget, key attemptKey, r cstarget.TaskReport) cstask.Command {
	if a.busy[key] {
		return nil
	}
	used := cstask.Usage{CPU: r.CPU, Memory: r.Memory}
	if begun, ok := t.started[key]; ok {
		used.Runtime = now.Sub(begun)
	}
	switch r.State {
	case cstarget.TaskFinished:
		return cstask.Finish{ID: r.ID, Fence: r.Fence, Result: r.Result, Used: used}
	case cstarget.TaskFailed:
		return cstask.Fail{ID: r.ID, Fence: r.Fence, Message: string(r.Result), Used: used}
	case cstarget.TaskStopped:
		if a.overrun[key] {
			return cstask.Fail{ID: r.ID, Fence: r.Fence, Message: "overrun", Overrun: true, Used: used}
		}
		return cstask.Checkpoint{
			ID: r.ID, Fence: r.Fence, Sequence: t.sequence, Data: r.Checkpoint, Release: true, Used: used,
		}
	case cstarget.TaskRunning:
		if len(r.Checkpoint) == 0 || now.Sub(t.saved[key]) < checkpointInterval {
			return nil
		}
		t.saved[key] = now
		return cstask.Checkpoint{ID: r.ID, Fence: r.Fence, Sequence: t.sequence, Data: r.Checkpoint, Used: used}
	default:
		return nil
	}
}

// settle ends a proposal. The table decided in any case, so a stale report needs no repetition either.
func (a *deferredActor) settle(m settled) {
	for _, key := range m.keys {
		delete(a.busy, key)
	}
	for _, key := range m.ended {
		delete(a.overrun, key)
		a.n.send(a.n.tree.targets, acknowledge{vm: m.vm, ack: cstarget.TaskAck{ID: key.task, Fence: key.fence}})
	}
}

// startLeased starts the tasks that are leased to targets of this node and that these do not report. The leases of an
// earlier incarnation end when the new one is recorded; starting them again would repeat the loss of a worker that a task
// kills.
func (a *deferredActor) startLeased(now time.Time) {
	a.scanned = now
	a.n.viewFleet(func(m *csfleet.Machine) {
		for _, id := range csmodel.SortedKeys(a.targets) {
			t := a.targets[id]
			vm, known := m.VM(id)
			if now.Sub(t.heard) > targetGrace || !known || vm.Incarnation != t.machine.Incarnation {
				continue
			}
			for _, task := range m.Tasks().Leased(id) {
				a.start(now, t, task)
			}
		}
	})
}

func (a *deferredActor) start(now time.Time, t *taskTarget, task cstask.Task) {
	key := attemptKey{task.ID, task.Fence}
	if _, known := t.reports[key]; known || now.Sub(t.started[key]) < startRetry || !now.Before(task.Expiry) {
		return
	}
	t.started[key] = now
	machine := t.machine
	body := encodeStart(cstarget.StartTask{
		Job: task.Job, Fence: task.Fence, Payload: task.Payload, Checkpoint: task.Checkpoint,
	})
	a.n.metrics.taskStarts.Inc()
	a.n.background(platformTimeout, func(ctx context.Context) {
		path := "/tasks/" + url.PathEscape(string(task.ID))
		if err := postTarget(ctx, a.client, machine.Address, path, machine.Incarnation, body); err != nil {
			a.n.log.Warn("task not started", zap.String("task", string(task.ID)), zap.String("vm", string(machine.VM)),
				zap.Error(err))
		}
	})
}

func (a *deferredActor) obey(o order) {
	t, ok := a.targets[o.VM]
	if !ok {
		return
	}
	key := attemptKey{o.Task, o.Fence}
	machine := t.machine
	var paths []string
	switch o.Action {
	case orderReboot:
		a.reboot(machine, o)
		return
	case orderThrottle:
		paths = []string{"throttle"}
	case orderCheckpoint:
		paths = []string{"checkpoint", "stop"}
	case orderStop:
		paths = []string{"stop"}
		if o.Overrun {
			a.overrun[key] = true
		}
	}
	a.n.background(platformTimeout, func(ctx context.Context) {
		for _, p := range paths {
			path := fmt.Sprintf("/tasks/%s/%s?fence=%d", url.PathEscape(string(o.Task)), p, o.Fence)
			if o.Off {
				path += "&off=true"
			}
			if err := postTarget(ctx, a.client, machine.Address, path, machine.Incarnation, nil); err != nil {
				a.n.log.Warn("task order failed", zap.String("task", string(o.Task)), zap.String("path", p), zap.Error(err))
				return
			}
		}
	})
}

func (a *deferredActor) reboot(machine Machine, o order) {
	if machine.Incarnation > o.Incarnation {
		return
	}
	key := attemptKey{csmodel.TaskID("reboot " + string(o.VM)), o.Fence}
	if a.busy[key] {
		return
	}
	a.busy[key] = true
	a.n.background(platformTimeout, func(ctx context.Context) {
		a.n.log.Info("reboot", zap.String("vm", string(o.VM)), zap.Uint64("fence", uint64(o.Fence)))
		if err := a.n.platform.Reboot(ctx, machine); err != nil {
			a.n.log.Warn("reboot failed", zap.String("vm", string(o.VM)), zap.Error(err))
		}
		a.n.send(a.n.tree.deferred, settled{vm: o.VM, keys: []attemptKey{key}})
	})
}

func encodeStart(s cstarget.StartTask) []byte {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // StartTask holds only strings, numbers and bytes
	}
	return body
}

// errTarget reports a target that refused a call.
var errTarget = errors.New("csnode: target refused")

func postTarget(
	ctx context.Context, client *http.Client, address, path string, incarnation csmodel.Incarnation, body []byte,
) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Cowslip-Incarnation", strconv.FormatUint(uint64(incarnation), 10))
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer discard(response)
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.Wrap(errTarget, response.Status)
	}
	return nil
}

// proposeTasks replicates task commands and returns their results.
func (n *Node) proposeTasks(ctx context.Context, commands ...cstask.Command) ([]cstask.Result, error) {
	result, err := n.proposeFleet(ctx, csfleet.Tasks{Commands: commands})
	if err != nil {
		return nil, err
	}
	return result.Tasks, nil
}

func (n *Node) proposeFleet(ctx context.Context, c csfleet.Command) (csfleet.Result, error) {
	data, err := csfleet.Encode(c)
	if err != nil {
		return csfleet.Result{}, trace.Wrap(err)
	}
	response, err := n.region.Propose(ctx, data)
	if err != nil {
		return csfleet.Result{}, err
	}
	return csfleet.DecodeResult(response)
}
