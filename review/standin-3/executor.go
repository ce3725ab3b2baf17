//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// machine is a machine of the platform.
type machine struct {
	world  *world
	name   string
	ip     string
	zone   string
	rack   string
	pool   string
	state  string
	fence  uint64
	holder string
	done   map[int64]bool // waves that its upkeep was for
	life   *life          // nil while no executor runs there
}

const (
	machineCPU    = 32000
	machineMemory = 131072
)

// run is a run of a task on an executor.
type run struct {
	task     *taskState
	attempt  int
	life     *life
	began    time.Time
	atWork   bool // a task that lasts has started up
	stopping bool
	how      string // empty while it runs
	number   int64
	endedAt  time.Time
	lapsed   bool // the lease of its executor lapsed between its end and the acknowledgement
}

// life is one incarnation of an executor. Its fields are guarded by the lock of the world.
type life struct {
	world    *world
	machine  *machine
	id       string
	address  string
	pool     string
	born     time.Time
	offset   time.Duration
	server   *http.Server
	stop     chan struct{}
	gone     bool
	silent   bool
	sequence int64
	next     string // address for the next heartbeat
	fence    uint64
	until    time.Duration // end of the lease
	running  map[string]*run
	highest  map[string]int
	ended    []*run
	number   int64
	wake     chan struct{}
}

// boot starts an executor, except on machines of the standby pool, which are off.
func (m *machine) boot() {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	m.state = "up"
	if m.pool == spareName {
		return
	}
	l := &life{
		world: w, machine: m, id: fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), pool: m.pool, born: time.Now(), offset: time.Duration(1+rand.N(100)) * time.Second,
		address: fmt.Sprintf("%s:%d", m.ip, w.ports.worker), stop: make(chan struct{}), running: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		time.AfterFunc(50*time.Millisecond, m.boot)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cowslipstream/run-start", l.serve(l.start))
	mux.HandleFunc("POST /cowslipstream/run-stop", l.serve(l.stopRun))
	mux.HandleFunc("POST /cowslipstream/hold", l.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: mux}
	m.life = l
	w.logf("executor %s on %s (%s) started", l.id, m.name, m.pool)
	go func() { _ = l.server.Serve(listener) }()
	go l.beats()
	go l.leases()
}

func (l *life) clock() time.Duration { return l.offset + time.Since(l.born) }

// end ends the life and all that runs on it.
func (l *life) end(why string) {
	w := l.world
	w.mu.Lock()
	if l.gone {
		w.mu.Unlock()
		return
	}
	l.gone = true
	if l.machine.life == l {
		l.machine.life = nil
	}
	for _, r := range l.running {
		r.how, r.endedAt = "gone", time.Now()
	}
	w.logf("executor %s on %s ended: %s, %d runs", l.id, l.machine.name, why, len(l.running))
	l.running = map[string]*run{}
	close(l.stop)
	w.mu.Unlock()
	_ = l.server.Close()
}

func (l *life) beats() {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		l.beat()
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
	}
}

func (l *life) beat() {
	w := l.world
	w.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": l.pool, "Address": l.address, "Zone": l.machine.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdMs": 0,
		"Capacity": map[string]int{"Cpu": machineCPU, "MemMb": machineMemory, "Gpus": 0}, "Labels": []string{"a", l.machine.rack},
		"ClockMs": l.clock().Milliseconds(), "Seq": l.sequence, "born": l.born.UnixMilli(),
	})
	to := []string{l.next}
	w.mu.Unlock()
	for _, i := range rand.Perm(len(w.stores)) {
		to = append(to, w.stores[i].control())
	}
	for _, a := range to {
		if a == "" {
			continue
		}
		status, b, err := w.call(http.MethodPost, "http://"+a+"/cowslipstream/Instances.Heartbeat/"+l.id, "", body, time.Second)
		if err != nil || status/100 != 2 {
			continue
		}
		var answer struct{ HeartbeatAddr string }
		_ = json.Unmarshal(b, &answer)
		w.mu.Lock()
		if l.next = a; answer.HeartbeatAddr != "" {
			l.next = answer.HeartbeatAddr
		}
		w.mu.Unlock()
		return
	}
}

// leases ends what runs without a lease.
func (l *life) leases() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		l.world.mu.Lock()
		if l.clock() > l.until {
			for _, r := range l.running {
				l.finish(r, "lapsed")
			}
			for _, r := range l.ended {
				r.lapsed = true
			}
		}
		l.world.mu.Unlock()
	}
}

type orderBody struct {
	Task         string
	Attempt      int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int64
	WaitMs       int64
}

// serve decodes an order and answers it. f runs under the lock and returns what to do after it.
func (l *life) serve(f func(orderBody) (int, string, func())) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o orderBody
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Cowslipstream-Expect-Instance") != l.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		l.world.mu.Lock()
		status, reason, after := f(o)
		body := map[string]any{"ClockMs": l.clock().Milliseconds()}
		l.world.mu.Unlock()
		if reason != "" {
			body["Reason"] = reason
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body)
		if after != nil {
			after()
		}
	}
}

func (l *life) extend(o orderBody) {
	l.until = max(l.until, min(time.Duration(o.DeadlineMs)*time.Millisecond, l.clock()+maxHold))
}

// start carries out an order to start a task.
func (l *life) start(o orderBody) (int, string, func()) {
	w := l.world
	if o.FencingToken < l.fence {
		return http.StatusConflict, "fence", nil
	}
	l.fence = o.FencingToken
	if r := l.running[o.Task]; r != nil && r.attempt == o.Attempt {
		l.extend(o)
		return http.StatusOK, "", nil
	}
	if l.running[o.Task] != nil || o.Attempt <= l.highest[o.Task] {
		l.extend(o)
		return http.StatusConflict, "old", nil
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= l.clock() {
		return http.StatusConflict, "late", nil
	}
	t := w.task(o.Task)
	if t == nil || t.job.spec != o.Spec {
		w.broken("UNASKED: %s attempt %d on %s", o.Task, o.Attempt, l.id)
		return http.StatusBadRequest, "", nil
	}
	l.extend(o)
	r := &run{task: t, attempt: o.Attempt, life: l, began: time.Now()}
	w.checkTwice(r)
	w.checkBudget(r)
	t.runs = append(t.runs, r)
	l.running[o.Task] = r
	w.logf("start %s attempt %d on %s", o.Task, o.Attempt, l.id)
	var after func()
	if w.onStart != nil {
		after = func() { w.onStart(r) }
	}
	if t.step.LongRunning {
		time.AfterFunc(startUp, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if r.how == "" && !r.stopping {
				r.atWork, t.awaySince = true, time.Time{}
			}
		})
		return http.StatusOK, "", after
	}
	_, _, _, index := splitTask(o.Task)
	d, how := t.job.behave(index, o.Attempt)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		l.finish(r, how)
	})
	return http.StatusOK, "", after
}

// finish ends a run. The caller holds the lock.
func (l *life) finish(r *run, how string) {
	if r.how != "" || l.gone {
		return
	}
	name := r.task.name
	delete(l.running, name)
	l.highest[name] = max(l.highest[name], r.attempt)
	l.number++
	if how == "stopped" && r.atWork {
		l.world.checkAvailability(r)
	}
	r.how, r.number, r.endedAt, r.atWork = how, l.number, time.Now(), false
	l.ended = append(l.ended, r)
	l.world.logf("end %s attempt %d on %s: %s", name, r.attempt, l.id, how)
	close(l.wake)
	l.wake = make(chan struct{})
}

// stopRun carries out an order to stop a run.
func (l *life) stopRun(o orderBody) (int, string, func()) {
	w := l.world
	if o.FencingToken < l.fence {
		return http.StatusConflict, "fence", nil
	}
	l.fence = o.FencingToken
	l.highest[o.Task] = max(l.highest[o.Task], o.Attempt)
	r := l.running[o.Task]
	if r == nil || r.attempt > o.Attempt || r.stopping {
		return http.StatusOK, "", nil
	}
	w.logf("stop %s attempt %d on %s", o.Task, o.Attempt, l.id)
	r.stopping = true
	time.AfterFunc(killGrace-100*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		l.finish(r, "stopped")
	})
	if !r.task.step.LongRunning || w.onStop == nil {
		return http.StatusOK, "", nil
	}
	return http.StatusOK, "", func() { w.onStop(r) }
}

// hold answers with the lists of runs.
func (l *life) hold(out http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Cowslipstream-Expect-Instance") != l.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w := l.world
	w.mu.Lock()
	fenced := o.FencingToken < l.fence
	if !fenced {
		l.fence = o.FencingToken
		for len(l.ended) > 0 && l.ended[0].number <= o.AckCursor {
			w.noted(l.ended[0])
			l.ended = l.ended[1:]
		}
		if o.DeadlineMs > 0 {
			l.extend(o)
		}
	}
	wait, wake := !fenced && len(l.ended) == 0 && o.WaitMs > 0, l.wake
	w.mu.Unlock()
	if wait {
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	body := map[string]any{"ClockMs": l.clock().Milliseconds(), "born": l.born.UnixMilli()}
	status := http.StatusOK
	if fenced || o.FencingToken < l.fence {
		status = http.StatusConflict
		body["Reason"] = "fence"
	} else {
		running, finished := [][]any{}, [][]any{}
		for _, r := range l.running {
			percent := 50
			if r.task.step.LongRunning {
				percent = 0
				if r.atWork {
					percent = 100
				}
			}
			running = append(running, []any{r.task.name, r.attempt, "", percent, r.task.step.Cpu})
		}
		for _, r := range l.ended[:min(len(l.ended), 500)] {
			finished = append(finished, []any{r.number, r.task.name, r.attempt, r.how, ""})
		}
		body["Running"], body["Finished"] = running, finished
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func splitTask(name string) (id string, occurrence, step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}

// task returns what is known of a task, or nil if no client asked for it. The caller holds the lock.
func (w *world) task(name string) *taskState {
	if t := w.tasks[name]; t != nil {
		return t
	}
	id, _, step, index := splitTask(name)
	j := w.jobs[id]
	if j == nil || step >= len(j.steps) || index >= j.steps[step].Count {
		return nil
	}
	t := &taskState{name: name, job: j, step: j.steps[step]}
	w.tasks[name] = t
	return t
}

// noted takes in that the end of a run was acknowledged.
func (w *world) noted(r *run) {
	if r.how == "failed" && !r.lapsed {
		r.task.failedNoted++
		r.task.lastNoted = time.Now()
		w.logf("noted %s attempt %d: failed, %d in all", r.task.name, r.attempt, r.task.failedNoted)
	}
}

func (w *world) checkTwice(r *run) {
	if r.task.step.Speculative {
		return
	}
	for _, o := range r.task.runs {
		if o.how == "" {
			w.broken("TWICE: %s attempt %d on %s while attempt %d runs on %s", r.task.name, r.attempt, r.life.id, o.attempt, o.life.id)
		}
	}
}

// checkBudget checks rule BUDGET: no start over a second after the last of the queue's attempts was noted as failed.
func (w *world) checkBudget(r *run) {
	t := r.task
	if t.step.LongRunning || t.failedNoted < queueAttempts {
		return
	}
	if t.step.Speculative && time.Since(t.lastNoted) <= time.Second {
		return
	}
	w.broken("BUDGET: %s attempt %d starts on %s, %.1f s after %d of its runs were noted as failed, of %d",
		t.name, r.attempt, r.life.id, time.Since(t.lastNoted).Seconds(), t.failedNoted, queueAttempts)
}

// checkAvailability checks rule AVAIL at the moment when a stop ends a task that was at work until then. Other tasks of its step are away if
// a stop has ended them and they aren't at work again, or if they haven't been at work for noticeTime.
func (w *world) checkAvailability(r *run) {
	t := r.task
	if !t.step.LongRunning || t.step.MayMiss == 0 {
		return
	}
	var away []string
	id, _, step, _ := splitTask(t.name)
	for i := range t.step.Count {
		o := w.task(fmt.Sprintf("%s.0.%d.%d", id, step, i))
		if o == t {
			continue
		}
		if !o.awaySince.IsZero() || (!atWork(o) && time.Since(lastWork(o)) >= noticeTime) {
			away = append(away, o.name)
		}
	}
	if len(away) >= t.step.MayMiss {
		w.broken("AVAIL: a stop ended %s attempt %d on %s while %d others of its step are away (%s), and %d may be",
			t.name, r.attempt, r.life.id, len(away), strings.Join(away, " "), t.step.MayMiss)
	}
	t.awaySince = time.Now()
}

func atWork(t *taskState) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.atWork && r.how == "" })
}

// lastWork returns when a task was at work last.
func lastWork(t *taskState) time.Time {
	last := time.Now()
	if len(t.runs) > 0 {
		last = t.runs[0].began
	}
	for _, r := range t.runs {
		if r.endedAt.After(last) || last.Equal(t.runs[0].began) {
			last = r.endedAt
		}
	}
	return last
}

// startCloud serves the platform's interface to machines.
func (w *world) startCloud() error {
	listener, err := net.Listen("tcp", w.network+".5:0")
	if err != nil {
		return err
	}
	w.cloud = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cowslipstream/machines", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		list := []map[string]any{}
		for _, name := range w.order {
			m := w.machines[name]
			row := map[string]any{
				"Machine": m.name, "Pool": m.pool, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack},
				"Capacity": map[string]int{"Cpu": machineCPU, "MemMb": machineMemory, "Gpus": 0},
			}
			if m.life != nil {
				row["Id"] = m.life.id
			}
			list = append(list, row)
		}
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"Machines": list})
	})
	mux.HandleFunc("POST /cowslipstream/machine-move", w.machineOrder)
	mux.HandleFunc("POST /cowslipstream/machine-upkeep", w.machineOrder)
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

func (w *world) machineOrder(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine, Pool string
		Wave          int64
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Cowslipstream-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Cowslipstream-Lease-Holder")
	w.mu.Lock()
	m := w.machines[o.Machine]
	status, reason := http.StatusOK, ""
	var ended *life
	back := migrate
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case fence < m.fence:
		status, reason = http.StatusConflict, "fence"
	case o.Wave != 0 && m.done[o.Wave], o.Wave == 0 && m.pool == o.Pool: // done already
		m.fence, m.holder = fence, holder
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	case o.Wave != 0:
		m.fence, m.holder = fence, holder
		m.done[o.Wave], m.state, ended, back = true, "upkeep", m.life, upkeep
		time.AfterFunc(back, m.boot)
	default:
		m.fence, m.holder = fence, holder
		m.pool, m.state, ended = o.Pool, "moving", m.life
		time.AfterFunc(back, m.boot)
	}
	w.logf("order of %s with fence %d: machine %s pool %q wave %d: %d %s", holder, fence, o.Machine, o.Pool, o.Wave, status, reason)
	w.mu.Unlock()
	if ended != nil {
		ended.end("order of the platform")
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"Reason": reason})
}
