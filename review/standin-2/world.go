//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Values of the settings file. They are those of a small deployment.
const (
	heartbeat    = 1500 * time.Millisecond
	longestLease = 6 * time.Second
	killGrace    = 900 * time.Millisecond
	gangTimeout  = 3 * time.Second
	finishTime   = 14 * time.Second // from the end of the traffic until jobs are judged
	idleLimit    = 3 * time.Second  // a job must not have nothing running for longer
	frontPort    = 8624
	readyPort    = 8622
	controlPort  = 8623
	cloudPort    = 8621
	linkPort     = 7060
	proxyPort    = 7100
	queueHost    = "jobs.example"
	service      = "works"
	stores       = 3
	entries      = 6
	queue        = "/works/"
)

// world holds the processes of the system and the stand-ins.
type world struct {
	program string
	folder  string
	network string // first two numbers of all addresses
	cloud   *http.Server
	cloudAt string
	// cloudListener also keeps other worlds from the addresses of this one.
	cloudListener net.Listener
	client        *http.Client
	stores        []*process
	entries       []*process
	proxies       []*proxy

	mu        sync.Mutex
	record    io.Writer
	started   time.Time
	executors []*executor // that run, or ran
	runs      []*taskRun  // in the order of their starts
	gangs     map[string]*gang
}

// newWorld draws addresses that no other world uses.
func newWorld(program, folder string, record io.Writer) (*world, error) {
	var network string
	var listener net.Listener
	var err error
	for range 20 {
		network = fmt.Sprintf("127.%d", 64+rand.IntN(180))
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s.9.9:%d", network, cloudPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program, folder: folder, network: network, cloudListener: listener, record: record, started: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, gangs: map[string]*gang{},
	}
	for i := range stores {
		w.stores = append(w.stores, w.newProcess("store", i))
	}
	for i := range entries {
		w.entries = append(w.entries, w.newProcess("entry", i))
	}
	return w, nil
}

// notef adds a line to the record.
func (w *world) notef(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notefLocked(format, values...)
}

func (w *world) notefLocked(format string, values ...any) {
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, values...)...)
}

// process is a store or an entry.
type process struct {
	world  *world
	role   string
	name   string
	ip     string
	zone   string
	folder string
	// linkPort is the first port for links, where a process also dials the others. One with a port of its own finds proxies there.
	linkPort int
	cmd      *exec.Cmd
}

func (w *world) newProcess(role string, i int) *process {
	third := map[string]int{"store": 10, "entry": 11}[role]
	name := fmt.Sprintf("%s-%d", role, i+1)
	return &process{
		world: w, role: role, name: name, ip: fmt.Sprintf("%s.%d.%d", w.network, third, i+1), zone: zoneOf(i),
		folder: filepath.Join(w.folder, name), linkPort: linkPort,
	}
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%3+1) }

func (p *process) control() string { return net.JoinHostPort(p.ip, strconv.Itoa(controlPort)) }
func (p *process) front() string   { return net.JoinHostPort(p.ip, strconv.Itoa(frontPort)) }

func (p *process) start() error {
	w := p.world
	seeds := []string{}
	for _, s := range w.stores {
		seeds = append(seeds, s.control())
	}
	listen := map[string]string{"Front": p.front(), "Ready": net.JoinHostPort(p.ip, strconv.Itoa(readyPort))}
	var data any
	if p.role == "store" {
		listen = map[string]string{"Control": p.control()}
		data = filepath.Join(p.folder, "data")
		if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
			return err
		}
	} else if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	b, err := json.Marshal(map[string]any{
		"Node": p.name, "Role": p.role, "Ip": p.ip, "Zone": p.zone, "Listen": listen, "PortRange": []int{p.linkPort, p.linkPort + 15}, "Seeds": seeds,
		"Bootstrap": true, "LossCounts": p.role == "store", "DataDir": data, "HeartbeatMs": heartbeat.Milliseconds(),
		"Limits":         map[string]any{"CpuShare": 0.56, "Cores": 1, "MemoryMb": 284, "MaxFds": 4096},
		"FaultTolerance": map[string]any{"Machines": 1, "Zones": 1, "Regions": 0}, "Orders": "call",
		"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "upkeep"},
		"Cloud":     map[string]any{"Address": w.cloudAt, "RatePerS": 64, "DutyPerS": 64},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RecoverS": 12,
			"MaxHoldMs": longestLease.Milliseconds(), "KillGraceMs": killGrace.Milliseconds(), "GangTimeoutMs": gangTimeout.Milliseconds(),
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": finishTime.Seconds(), "status_s": 120, "RemotePenalty": 2,
			"CheckpointS": 1, "RestoreMs": 600, "NoticeMs": 4500, "MigrateS": 1.5, "MaintenanceS": 2, "RequireFencing": true,
			"LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100, "HarmMs": 4000,
		},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(p.folder, "node.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(w.program, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPSTREAM_BOOT=" + file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with this one even if this one is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// open starts the machine interface, the processes and the executors, and sends the first configuration.
func (w *world) open(executors int, attempts int) error {
	l := w.cloudListener
	w.cloudAt = l.Addr().String()
	w.cloud = &http.Server{Handler: w.cloudHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.cloud.Serve(l) }()
	for _, p := range append(append([]*process{}, w.stores...), w.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range executors {
		if _, err := w.newExecutor(fmt.Sprintf("i-%04d", i+1), i); err != nil {
			return err
		}
	}
	if !w.configure(attempts) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	// Executors announce themselves meanwhile, and each is called once.
	time.Sleep(2*heartbeat + time.Second)
	return nil
}

// close ends all processes and stand-ins. What ends with them is no part of the record.
func (w *world) close() {
	w.mu.Lock()
	w.record = io.Discard
	w.mu.Unlock()
	for _, p := range append(append([]*process{}, w.stores...), w.entries...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	for _, e := range w.all() {
		e.crash()
	}
	for _, p := range w.proxies {
		p.close()
	}
	if w.cloud != nil {
		_ = w.cloud.Close()
	}
}

// interpose puts proxies between an entry and all stores. It must be called before open.
func (w *world) interpose(entry *process) error {
	entry.linkPort = proxyPort
	for _, s := range w.stores {
		p, err := newProxy(net.JoinHostPort(s.ip, strconv.Itoa(proxyPort)), net.JoinHostPort(s.ip, strconv.Itoa(linkPort)))
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
	}
	return nil
}

func (w *world) all() []*executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*executor{}, w.executors...)
}

// latest returns the last life on each machine.
func (w *world) latest() []*executor {
	out := []*executor{}
	for _, e := range w.all() {
		for len(out) <= e.index {
			out = append(out, e)
		}
		out[e.index] = e
	}
	return out
}

// cloudHandler lists the machines, those without an executor as down. There is one pool, so no order makes sense; one that comes is refused.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cowslipstream/machines", func(out http.ResponseWriter, _ *http.Request) {
		machines := []map[string]any{}
		for _, e := range w.latest() {
			m := map[string]any{
				"Machine": fmt.Sprintf("m-%04d", e.index+1), "Pool": service, "State": "down", "Zone": e.zone, "Labels": e.labels(),
				"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMemory, "Gpus": 0},
			}
			if e.alive() {
				m["State"], m["Id"] = "up", e.id
			}
			machines = append(machines, m)
		}
		_ = json.NewEncoder(out).Encode(map[string]any{"Machines": machines})
	})
	refuse := func(out http.ResponseWriter, r *http.Request) {
		w.notef("machine order %s refused", r.URL.Path)
		out.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(out, `{"Reason":"busy"}`)
	}
	mux.HandleFunc("POST /cowslipstream/machine-move", refuse)
	mux.HandleFunc("POST /cowslipstream/machine-upkeep", refuse)
	return mux
}

// call sends a request and returns the status, or 0 without an answer, and the body of the answer.
func (w *world) call(method, url, host string, body any, limit time.Duration) (int, []byte) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Cowslipstream-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	client := *w.client
	client.Timeout = limit
	answer, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, b
}

// configure sends the configuration of one queue until it is acknowledged.
func (w *world) configure(attempts int) bool {
	body := map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r-works", "Host": queueHost, "PathPrefix": queue, "RouteType": "non_idempotent", "TimeoutMs": 3000,
			"TargetLatencyMs": 600, "Priority": 0, "Service": service, "Attempts": attempts, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{
			"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	for i := range 60 {
		s := w.stores[i%len(w.stores)]
		status, _ := w.call(http.MethodPost, "http://"+s.control()+"/cowslipstream/Config.Replace", "", body, time.Second)
		if status == http.StatusOK {
			w.notef("operator: configuration 1 -> %s: %d", s.name, status)
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// step is a step of a job as clients send it.
type step struct {
	Count         int
	Cpu           int64
	MemMb         int64
	EstimateMs    int64  `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	Constraints   string `json:",omitempty"`
	AntiAffinity  int    `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
}

// submit hands a job in, at most four times. It returns the identifier, and false if the job was not accepted.
func (w *world) submit(steps ...step) (string, bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := map[string]any{"Spec": "spec of " + id, "Phases": steps}
	w.mu.Lock()
	w.gangsOf(id, steps)
	w.mu.Unlock()
	for i := range 4 {
		e := w.entries[i%len(w.entries)]
		status, _ := w.call(http.MethodPost, "http://"+e.front()+queue+id, queueHost, body, 3*time.Second)
		w.notef("client: POST %s %s -> %s: %d", id, mustJSON(steps), e.name, status)
		if status/100 == 2 {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// state asks for the state of a job and returns "" where no entry tells it.
func (w *world) state(id string) string {
	for i := range 4 {
		e := w.entries[i%len(w.entries)]
		status, b := w.call(http.MethodGet, "http://"+e.front()+queue+id, queueHost, nil, 3*time.Second)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal(b, &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// await asks for the state of a job until it is one of those wanted or the time is over. It returns the last state.
func (w *world) await(id string, limit time.Duration, wanted ...string) string {
	last := ""
	for end := time.Now().Add(limit); ; time.Sleep(200 * time.Millisecond) {
		s := w.state(id)
		if s != last {
			w.notef("client: GET %s -> %q", id, s)
			last = s
		}
		for _, x := range wanted {
			if s == x {
				return s
			}
		}
		if time.Now().After(end) {
			return s
		}
	}
}

// until waits until a condition holds and reports whether it did within the time.
func until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
