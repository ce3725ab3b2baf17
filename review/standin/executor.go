//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment, as the settings of the processes give them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	longestLease   = 6 * time.Second
	killGrace      = 900 * time.Millisecond
	stopTakes      = 200 * time.Millisecond
	moveTakes      = 1500 * time.Millisecond
	upkeepTakes    = 2 * time.Second
	endsPerList    = 500
)

// run is one run of a task on an executor.
type run struct {
	task    string
	attempt int
	cpu     int64
	number  int64
	how     string // empty while it runs
}

// order is the body of a call to an executor.
type order struct {
	Task         string
	Attempt      int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int64
	WaitMs       int64
}

// executor is one life of a worker process.
type executor struct {
	world    *world
	machine  *machine
	id       string
	born     int64
	started  time.Time
	listener net.Listener
	server   *http.Server
	quit     chan struct{}

	mu       sync.Mutex
	dark     bool // neither answers nor announces itself
	draining bool
	fence    uint64
	until    time.Duration // end of the lease
	running  map[string]*run
	highest  map[string]int // highest attempt that was stopped or has ended, by task
	ended    []*run
	next     int64
	wake     chan struct{}
	control  string // where heartbeats go first
	latency  time.Duration
}

func newExecutor(w *world, m *machine, l net.Listener) *executor {
	now := time.Now()
	return &executor{
		world: w, machine: m, id: w.newID("i-"), born: now.UnixMilli(), started: now, listener: l, quit: make(chan struct{}),
		running: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
}

func (e *executor) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cowslipstream/run-start", e.handle(e.start))
	mux.HandleFunc("POST /cowslipstream/run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /cowslipstream/hold", e.handle(e.hold))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(e.listener) }()
	go e.tick()
}

func (e *executor) clock() time.Duration { return time.Since(e.started) }

func (e *executor) handle(f func(order) (status int, reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		dark, latency := e.dark, e.latency
		e.mu.Unlock()
		if dark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Cowslipstream-Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		lists := r.URL.Path == "/cowslipstream/hold"
		if lists {
			e.await(r, o)
		} else {
			time.Sleep(latency)
		}
		e.mu.Lock()
		dark = e.dark
		var status int
		var answer []byte
		if !dark {
			var reason string
			status, reason = f(o)
			answer = e.answer(reason, lists)
		}
		e.mu.Unlock()
		if dark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	}
}

func (e *executor) answer(reason string, lists bool) []byte {
	body := map[string]any{"ClockMs": e.clock().Milliseconds(), "born": e.born}
	if reason != "" {
		body["Reason"] = reason
	}
	if lists {
		running, finished := [][]any{}, [][]any{}
		for _, r := range e.running {
			running = append(running, []any{r.task, r.attempt, "", 100, r.cpu})
		}
		for _, r := range e.ended[:min(len(e.ended), endsPerList)] {
			finished = append(finished, []any{r.number, r.task, r.attempt, r.how, ""})
		}
		body["Running"], body["Finished"] = running, finished
	}
	b, _ := json.Marshal(body)
	return b
}

// await holds a list back until there is an end.
func (e *executor) await(r *http.Request, o order) {
	e.mu.Lock()
	if o.FencingToken >= e.fence {
		e.forget(o.AckCursor)
		if o.DeadlineMs > 0 {
			e.extend(o.DeadlineMs)
		}
	}
	wait, wake := len(e.ended) == 0 && o.WaitMs > 0, e.wake
	e.mu.Unlock()
	if wait {
		select {
		case <-wake:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
}

func (e *executor) fenced(o order) bool {
	if o.FencingToken < e.fence {
		return true
	}
	e.fence = o.FencingToken
	return false
}

func (e *executor) extend(deadlineMs int64) {
	e.until = max(e.until, min(time.Duration(deadlineMs)*time.Millisecond, e.clock()+longestLease))
}

func (e *executor) start(o order) (int, string) {
	r := e.running[o.Task]
	switch {
	case e.fenced(o):
		return http.StatusConflict, "fence"
	case r != nil && r.attempt == o.Attempt:
		return http.StatusOK, ""
	case r != nil || o.Attempt <= e.highest[o.Task]:
		e.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock():
		return http.StatusConflict, "late"
	}
	e.extend(o.DeadlineMs)
	cpu, lasts := e.world.began(e, o)
	r = &run{task: o.Task, attempt: o.Attempt, cpu: cpu}
	e.running[o.Task] = r
	if lasts > 0 {
		time.AfterFunc(lasts, func() { e.finish(r, "done") })
	}
	return http.StatusOK, ""
}

// finish ends a run.
func (e *executor) finish(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.attempt)
	e.next++
	r.number, r.how = e.next, how
	e.ended = append(e.ended, r)
	e.world.ended(e, r)
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *executor) stop(o order) (int, string) {
	if e.fenced(o) {
		return http.StatusConflict, "fence"
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if r := e.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(stopTakes, func() { e.finish(r, "stopped") })
	}
	return http.StatusOK, ""
}

func (e *executor) hold(o order) (int, string) {
	if e.fenced(o) {
		return http.StatusConflict, "fence"
	}
	e.forget(o.AckCursor)
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	return http.StatusOK, ""
}

// forget drops the ends that the system has taken note of.
func (e *executor) forget(cursor int64) {
	for len(e.ended) > 0 && e.ended[0].number <= cursor {
		e.ended = e.ended[1:]
	}
}

// tick sends heartbeats and ends what runs without a lease.
func (e *executor) tick() {
	beat, lease := time.NewTicker(heartbeatEvery), time.NewTicker(50*time.Millisecond)
	defer beat.Stop()
	defer lease.Stop()
	sequence := int64(1)
	e.beat(sequence)
	for {
		select {
		case <-e.quit:
			return
		case <-lease.C:
			e.lapse()
		case <-beat.C:
			sequence++
			e.beat(sequence)
		}
	}
}

func (e *executor) lapse() {
	e.mu.Lock()
	var over []*run
	if e.clock() > e.until {
		for _, r := range e.running {
			over = append(over, r)
		}
	}
	e.mu.Unlock()
	for _, r := range over {
		e.finish(r, "lapsed")
	}
}

// beat announces the executor and reports whether a store has acknowledged that.
func (e *executor) beat(sequence int64) bool {
	e.mu.Lock()
	dark, state, first := e.dark, "ready", e.control
	if e.draining {
		state = "draining"
	}
	e.mu.Unlock()
	if dark {
		return false
	}
	m := e.machine
	next := e.world.announce(first, "/cowslipstream/Instances.Heartbeat/"+e.id, map[string]any{
		"Service": m.pool, "Address": e.listener.Addr().String(), "Zone": m.zone, "Version": "v1", "Slots": 8, "State": state, "ColdMs": 0,
		"Capacity": map[string]any{"Cpu": machineCPU, "MemMb": machineMemory, "Gpus": 0}, "Labels": []string{"a", m.rack},
		"ClockMs": e.clock().Milliseconds(), "Seq": sequence, "born": e.born,
	})
	e.mu.Lock()
	e.control = next
	e.mu.Unlock()
	return next != ""
}

// end ends the life at once. What runs ends with it.
func (e *executor) end(why string) {
	e.mu.Lock()
	e.dark = true
	for _, r := range e.running {
		r.how = why
		e.world.ended(e, r)
	}
	e.running = map[string]*run{}
	e.mu.Unlock()
	select {
	case <-e.quit:
	default:
		close(e.quit)
	}
	_ = e.server.Close()
}

// goDark ends what runs. The executor neither answers nor announces itself any more.
func (e *executor) goDark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = true
	for _, r := range e.running {
		r.how = "crashed"
		e.world.ended(e, r)
	}
	e.running = map[string]*run{}
}

// used returns the CPU of what runs, in thousandths of a core.
func (e *executor) used() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var sum int64
	for _, r := range e.running {
		sum += r.cpu
	}
	return sum
}

func (e *executor) String() string {
	return fmt.Sprintf("%s on %s of %s", e.id, e.machine.id, e.machine.pool)
}
