package csfake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstarget"
)

const (
	taskSteps      = 20 // a task can be checkpointed after each step
	throttleFactor = 4  // by which a throttled task is slower
	taskCPU        = csmodel.MilliCPU(1000)
	taskMemory     = 256 * csmodel.MiB
)

// task is a deferred task on a target. Its fields are guarded by the target's lock.
type task struct {
	report   cstarget.TaskReport
	step     int
	slow     int // factor of the run time
	stopping bool
	stop     chan struct{}
}

// startTask starts a task, or accepts a repeated start with the same fence.
func (t *Target) startTask(w http.ResponseWriter, r *http.Request) {
	var s cstarget.StartTask
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRunBody)).Decode(&s); err != nil {
		http.Error(w, "malformed start", http.StatusBadRequest)
		return
	}
	id := csmodel.TaskID(r.PathValue("id"))
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.life
	old, known := l.tasks[id]
	switch {
	case t.down || l.leaving:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case known && old.report.Fence > s.Fence:
		w.WriteHeader(http.StatusConflict)
		return
	case known && old.report.Fence == s.Fence:
		w.WriteHeader(http.StatusNoContent)
		return
	case known && !old.stopping:
		old.stopping = true
		close(old.stop)
	}
	k := &task{slow: 1, stop: make(chan struct{}), report: cstarget.TaskReport{
		ID:         id,
		Fence:      s.Fence,
		State:      cstarget.TaskRunning,
		CPU:        taskCPU,
		Memory:     taskMemory,
		Checkpoint: s.Checkpoint,
	}}
	if step, err := strconv.Atoi(string(s.Checkpoint)); err == nil {
		k.step = min(max(0, step), taskSteps)
	}
	l.tasks[id] = k
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		t.work(l, k)
	}()
	w.WriteHeader(http.StatusNoContent)
	t.announceNow()
}

// work runs the steps of a task.
func (t *Target) work(l *life, k *task) {
	for {
		t.mu.Lock()
		if k.step >= taskSteps || k.stopping {
			t.endTask(l, k)
			t.mu.Unlock()
			return
		}
		pause := t.config.Runtime / taskSteps * time.Duration(k.slow)
		t.mu.Unlock()
		select {
		case <-t.config.Clock.After(pause):
		case <-k.stop:
			continue
		case <-l.ctx.Done():
			return
		}
		t.mu.Lock()
		k.step++
		t.mu.Unlock()
	}
}

// endTask makes the next announcements report the end. The caller holds the lock.
func (t *Target) endTask(l *life, k *task) {
	if l.tasks[k.report.ID] != k {
		return // replaced by a start with a higher fence
	}
	k.report.CPU = 0
	k.report.Memory = 0
	if k.step >= taskSteps {
		k.report.State = cstarget.TaskFinished
		k.report.Result = []byte("result of " + string(k.report.ID))
		t.config.Ledger.finish(k.report.ID)
	} else {
		k.report.State = cstarget.TaskStopped
		k.report.Checkpoint = []byte(strconv.Itoa(k.step))
	}
	t.announceNow()
}

// control applies a change to a running task with the fence of the request's query, or with any fence without one.
func (t *Target) control(w http.ResponseWriter, r *http.Request, change func(*task)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, known := t.life.tasks[csmodel.TaskID(r.PathValue("id"))]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if err == nil && csmodel.Fence(fence) != k.report.Fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if k.report.State == cstarget.TaskRunning {
		change(k)
	}
	w.WriteHeader(http.StatusNoContent)
	t.announceNow()
}

func (t *Target) checkpointTask(w http.ResponseWriter, r *http.Request) {
	t.control(w, r, func(k *task) { k.report.Checkpoint = []byte(strconv.Itoa(k.step)) })
}

func (t *Target) throttleTask(w http.ResponseWriter, r *http.Request) {
	t.control(w, r, func(k *task) {
		if r.URL.Query().Get("off") == "true" {
			k.slow = 1
			k.report.CPU = taskCPU
			return
		}
		k.slow = throttleFactor
		k.report.CPU = taskCPU / throttleFactor
	})
}

func (t *Target) stopTask(w http.ResponseWriter, r *http.Request) {
	t.control(w, r, func(k *task) {
		if !k.stopping {
			k.stopping = true
			close(k.stop)
		}
	})
}
