//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Room of an executor.
const (
	executorCPU    = 16000
	executorMemory = 65536
	executorPort   = 8466
	endsPerAnswer  = 500
)

// taskRun is one run of a task on an executor.
type taskRun struct {
	task       string
	attempt    int
	checkpoint string // that its start carried
	on         *executor
	from       time.Time
	to         time.Time // zero while it runs
	how        string
	number     int64
}

// executor is one life of an executor.
type executor struct {
	world   *world
	id      string
	index   int
	born    int64
	started time.Time
	address string
	zone    string
	server  *http.Server
	stop    chan struct{}

	mu       sync.Mutex
	gone     bool
	mute     bool // answers no call, and crashes with the first one
	failsAll bool // fails what it starts
	fence    uint64
	lease    time.Duration // end of the lease on its clock
	running  map[string]*taskRun
	highest  map[string]int
	ended    []*taskRun
	next     int64
	sequence int64
	wake     chan struct{}
	beatTo   string
}

// newExecutor starts a life at the address of a machine.
func (w *world) newExecutor(id string, index int) (*executor, error) {
	e := &executor{
		world: w, id: id, index: index, born: time.Now().UnixMilli(), started: time.Now(), zone: zoneOf(index), stop: make(chan struct{}),
		address: net.JoinHostPort(fmt.Sprintf("%s.20.%d", w.network, index+1), strconv.Itoa(executorPort)),
		running: map[string]*taskRun{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
	return e, e.open()
}

func (e *executor) open() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cowslipstream/run-start", e.handle(e.startRun))
	mux.HandleFunc("POST /cowslipstream/run-stop", e.handle(e.stopRun))
	mux.HandleFunc("POST /cowslipstream/hold", e.handle(e.hold))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.world.mu.Lock()
	e.world.executors = append(e.world.executors, e)
	e.world.mu.Unlock()
	go e.tick()
	return nil
}

func (e *executor) alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone
}

// labels returns the kind and the rack, of which each holds four executors.
func (e *executor) labels() []string { return []string{"a", fmt.Sprintf("r1-%d", e.index/4+1)} }

func (e *executor) clock() time.Duration { return time.Since(e.started) }

// crash ends the life. What runs there ends with it, and nobody is told.
func (e *executor) crash() {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.gone = true
	close(e.stop)
	lost := []*taskRun{}
	for _, r := range e.running {
		lost = append(lost, r)
	}
	e.running = map[string]*taskRun{}
	e.mu.Unlock()
	for _, r := range lost {
		e.world.ended(r, "crashed")
	}
	_ = e.server.Close()
}

type order struct {
	Task         string
	Attempt      int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	AckCursor    int64
	WaitMs       int64
}

func (e *executor) handle(f func(order) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		mute := e.mute
		e.mu.Unlock()
		if mute {
			e.world.notef("%s: gets %s %s and crashes before it answers", e.id, r.URL.Path, o.Task)
			e.crash()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Cowslipstream-Expect-Instance") != e.id {
			e.world.notef("%s: gets %s for %q: 421", e.id, r.URL.Path, r.Header.Get("X-Cowslipstream-Expect-Instance"))
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		lists := r.URL.Path == "/cowslipstream/hold"
		if lists {
			e.wait(r, o)
		}
		e.mu.Lock()
		gone := e.gone
		status, reason := f(o)
		body := e.answer(reason, lists)
		e.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(body)
	}
}

func (e *executor) answer(reason string, lists bool) []byte {
	body := map[string]any{"ClockMs": e.clock().Milliseconds()}
	if reason != "" {
		body["Reason"] = reason
	}
	if lists {
		running, finished := [][]any{}, [][]any{}
		for _, r := range e.running {
			running = append(running, []any{r.task, r.attempt, e.world.saved(r), e.world.percent(r), e.world.load(r)})
		}
		for _, r := range e.ended[:min(len(e.ended), endsPerAnswer)] {
			finished = append(finished, []any{r.number, r.task, r.attempt, r.how, e.world.saved(r)})
		}
		body["born"], body["Running"], body["Finished"] = e.born, running, finished
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return b
}

// wait holds the answer to a look back until an end is listed.
func (e *executor) wait(r *http.Request, o order) {
	e.mu.Lock()
	e.forget(o)
	wait, wake := len(e.ended) == 0 && o.WaitMs > 0, e.wake
	e.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-wake:
	case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (e *executor) fenced(o order) bool {
	if o.FencingToken < e.fence {
		return true
	}
	e.fence = o.FencingToken
	return false
}

func (e *executor) extend(o order) {
	e.lease = max(e.lease, min(time.Duration(o.DeadlineMs)*time.Millisecond, e.clock()+longestLease))
}

func (e *executor) forget(o order) {
	if o.FencingToken < e.fence {
		return
	}
	for len(e.ended) > 0 && e.ended[0].number <= o.AckCursor {
		e.ended = e.ended[1:]
	}
}

// startRun answers an order to start a task.
func (e *executor) startRun(o order) (status int, reason string) {
	defer func() {
		e.world.notef("%s: run-start %s attempt %d checkpoint %q fence %d: %d %s", e.id, o.Task, o.Attempt, o.Checkpoint, o.FencingToken, status, reason)
	}()
	r := e.running[o.Task]
	switch {
	case e.fenced(o):
		return http.StatusConflict, "fence"
	case r != nil && r.attempt == o.Attempt:
		return http.StatusOK, ""
	case r != nil || o.Attempt <= e.highest[o.Task]:
		e.extend(o)
		return http.StatusConflict, "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock():
		return http.StatusConflict, "late"
	}
	e.extend(o)
	r = &taskRun{task: o.Task, attempt: o.Attempt, checkpoint: o.Checkpoint, on: e, from: time.Now()}
	e.running[o.Task] = r
	e.world.began(r)
	if e.failsAll {
		e.list(r, "failed")
	}
	return http.StatusOK, ""
}

func (e *executor) stopRun(o order) (int, string) {
	if e.fenced(o) {
		return http.StatusConflict, "fence"
	}
	e.world.notef("%s: run-stop %s attempt %d: 200", e.id, o.Task, o.Attempt)
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if r := e.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(100*time.Millisecond, func() { e.finish(r, "stopped") })
	}
	return http.StatusOK, ""
}

func (e *executor) hold(o order) (int, string) {
	if e.fenced(o) {
		return http.StatusConflict, "fence"
	}
	e.forget(o)
	if o.DeadlineMs > 0 {
		e.extend(o)
	}
	return http.StatusOK, ""
}

// finish ends a run and lists its end.
func (e *executor) finish(r *taskRun, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gone && e.running[r.task] == r {
		e.list(r, how)
	}
}

// list ends a run and lists its end. The caller holds the lock.
func (e *executor) list(r *taskRun, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.attempt)
	e.next++
	r.number = e.next
	e.ended = append(e.ended, r)
	close(e.wake)
	e.wake = make(chan struct{})
	e.world.ended(r, how)
}

// tick sends heartbeats and ends what runs without a lease.
func (e *executor) tick() {
	beat, lease := time.NewTicker(heartbeat), time.NewTicker(50*time.Millisecond)
	defer beat.Stop()
	defer lease.Stop()
	e.beat()
	for {
		select {
		case <-e.stop:
			return
		case <-beat.C:
			go e.beat()
		case <-lease.C:
			e.lapse()
		}
	}
}

func (e *executor) lapse() {
	e.mu.Lock()
	lapsed := []*taskRun{}
	if e.clock() >= e.lease {
		for _, r := range e.running {
			lapsed = append(lapsed, r)
		}
	}
	e.mu.Unlock()
	for _, r := range lapsed {
		e.finish(r, "lapsed")
	}
}

// beat sends a heartbeat to one store after the other until one acknowledges it.
func (e *executor) beat() {
	e.mu.Lock()
	e.sequence++
	body := map[string]any{
		"Service": service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdMs": 0,
		"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMemory, "Gpus": 0}, "Labels": e.labels(),
		"ClockMs": e.clock().Milliseconds(), "Seq": e.sequence, "born": e.born,
	}
	first, beatTo := e.sequence == 1, e.beatTo
	e.mu.Unlock()
	addresses := []string{}
	if beatTo != "" {
		addresses = append(addresses, beatTo)
	}
	for i := range e.world.stores {
		addresses = append(addresses, e.world.stores[(e.index+i)%len(e.world.stores)].control())
	}
	for _, a := range addresses {
		if !e.alive() {
			return
		}
		status, b := e.world.call(http.MethodPost, "http://"+a+"/cowslipstream/Instances.Heartbeat/"+e.id, "", body, time.Second)
		if status/100 != 2 {
			continue
		}
		if first {
			e.world.notef("%s: first heartbeat, born %d, %s: %d", e.id, e.born, e.address, status)
		}
		var next struct{ HeartbeatAddr string }
		if json.Unmarshal(b, &next) == nil {
			e.mu.Lock()
			e.beatTo = next.HeartbeatAddr
			e.mu.Unlock()
		}
		return
	}
	e.mu.Lock()
	e.beatTo = ""
	e.mu.Unlock()
}

// taskName splits the name of a task.
func taskName(name string) (job string, occurrence, step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}
