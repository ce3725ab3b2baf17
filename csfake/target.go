// Package csfake provides stand-ins for targets and callers, for the demo and for tests.
package csfake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csdispatch"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Fault tells how a target misbehaves.
type Fault uint8

// Faults.
const (
	FaultNone     Fault = iota
	FaultFail           // answers every attempt with an invalid response after running it
	FaultLate           // answers after the timeout of the attempt
	FaultTruncate       // closes the connection in the middle of the response
	FaultSilent         // accepts and runs requests but sends nothing
	FaultTwice          // sends every response twice
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultService     = 5 * time.Millisecond
	defaultRuntime     = time.Second
	headerTimeout      = 5 * time.Second
)

// TargetConfig configures a target. Zero fields take defaults.
type TargetConfig struct {
	ID          csmodel.VMID
	Zone        csmodel.AvailabilityZone
	Rack        csmodel.Rack
	Pool        csmodel.PoolID
	Slots       int // 0 means 8
	Connections int // 0 means 64
	Cores       csmodel.MilliCPU
	Memory      csmodel.Bytes
	// Nodes are the HTTP addresses (host:port) of the entry nodes to announce to, in order of preference.
	Nodes []string
	// Service returns the service time of an attempt. Nil means 5 ms.
	Service func(csmodel.JobID) time.Duration
	// Runtime is the run time of a deferred task. 0 means 1 s.
	Runtime time.Duration
	// Reboot is the time for which a rebooting target accepts no connection.
	Reboot time.Duration
	// Ledger counts executions. It may be shared by targets.
	Ledger *Ledger
	Clock  clockwork.Clock
	// Transport sends announcements. Nil means a transport of the target's own.
	Transport http.RoundTripper
}

// life is the time between two reboots.
type life struct {
	ctx         context.Context
	end         context.CancelFunc
	incarnation csmodel.Incarnation
	sequence    uint64
	tasks       map[csmodel.TaskID]*task
	busy        int
	leaving     bool
	moved       bool // see cstarget.Announcement
}

// Target is a stand-in for the executor on a VM.
type Target struct {
	config   TargetConfig
	listener net.Listener
	server   *http.Server
	wake     chan struct{} // announces at once
	done     sync.WaitGroup
	refused  atomic.Int64

	mu     sync.Mutex
	life   *life
	down   bool // rebooting or killed
	closed bool
	fault  Fault
	pool   csmodel.PoolID
	fence  csmodel.Fence
	nodes  []string
	node   int // index of the node that is announced to
	conns  map[net.Conn]struct{}
}

// NewTarget starts a target on 127.0.0.1 with a port chosen by the system and announces it.
func NewTarget(c TargetConfig) (*Target, error) {
	c.defaults()
	listen := net.ListenConfig{}
	listener, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "listening for target %s", c.ID)
	}
	t := &Target{
		config:   c,
		listener: listener,
		wake:     make(chan struct{}, 1),
		pool:     c.Pool,
		nodes:    c.Nodes,
		conns:    map[net.Conn]struct{}{},
	}
	t.begin(csmodel.Incarnation(c.Clock.Now().UnixMilli()))
	t.server = &http.Server{
		Handler:           t.routes(),
		ReadHeaderTimeout: headerTimeout,
		ConnState:         t.track,
	}
	t.done.Add(2)
	go func() {
		defer t.done.Done()
		_ = t.server.Serve(listener) // ends with ErrServerClosed
	}()
	go func() {
		defer t.done.Done()
		t.announceLoop()
	}()
	return t, nil
}

func (c *TargetConfig) defaults() {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.Service == nil {
		c.Service = func(csmodel.JobID) time.Duration { return defaultService }
	}
	if c.Runtime == 0 {
		c.Runtime = defaultRuntime
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{}
	}
}

func (t *Target) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", t.run)
	mux.HandleFunc("POST /tasks/{id}", t.startTask)
	mux.HandleFunc("POST /tasks/{id}/checkpoint", t.checkpointTask)
	mux.HandleFunc("POST /tasks/{id}/throttle", t.throttleTask)
	mux.HandleFunc("POST /tasks/{id}/stop", t.stopTask)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		t.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /reboot", func(w http.ResponseWriter, r *http.Request) {
		// A repeated or late order must not reboot the new incarnation, which serves again.
		of := r.Header.Get(csdispatch.HeaderIncarnation)
		if of != "" && of != strconv.FormatUint(uint64(t.Incarnation()), 10) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush() // the connection is closed by the reboot
		t.Reboot()
	})
	return mux
}

// begin starts a new life. The caller holds the lock or is the only user.
func (t *Target) begin(i csmodel.Incarnation) {
	ctx, cancel := context.WithCancel(context.Background())
	t.life = &life{ctx: ctx, end: cancel, incarnation: i, tasks: map[csmodel.TaskID]*task{}}
}

// track closes connections beyond the limit and those that arrive during a reboot.
func (t *Target) track(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		if t.down || len(t.conns) >= t.config.Connections {
			_ = conn.Close()
			return
		}
		t.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(t.conns, conn)
	default:
	}
}

// Address returns the address of the target's HTTP server.
func (t *Target) Address() string { return t.listener.Addr().String() }

// ID returns the id of the target's VM.
func (t *Target) ID() csmodel.VMID { return t.config.ID }

// Incarnation returns the present incarnation.
func (t *Target) Incarnation() csmodel.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life.incarnation
}

// Busy returns the number of attempts that run.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life.busy
}

// Refused returns the number of attempts that the target did not start.
func (t *Target) Refused() int { return int(t.refused.Load()) }

// SetFault makes the target misbehave from now on.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Leave makes the target announce that it is leaving and refuse new attempts.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.life.leaving = true
	t.announceNow()
}

// Reboot drops all connections and work and starts with a new incarnation after the configured time.
func (t *Target) Reboot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.crash()
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		t.config.Clock.Sleep(t.config.Reboot)
		t.boot()
	}()
}

func (t *Target) boot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	now := csmodel.Incarnation(t.config.Clock.Now().UnixMilli())
	t.begin(max(now, t.life.incarnation+1))
	t.down = false
	t.announceNow()
}

// crash ends the present life. The caller holds the lock.
func (t *Target) crash() {
	t.down = true
	t.life.end()
	for conn := range t.conns {
		_ = conn.Close()
	}
	clear(t.conns)
}

// Kill stops the target at once, as the loss of its VM does.
func (t *Target) Kill() {
	t.mu.Lock()
	t.crash()
	t.closed = true
	t.announceNow()
	t.mu.Unlock()
	_ = t.server.Close()
}

// Close stops the target and waits for its goroutines.
func (t *Target) Close() {
	t.Kill()
	t.done.Wait()
	if transport, ok := t.config.Transport.(*http.Transport); ok {
		transport.CloseIdleConnections()
	}
}

// announceNow wakes the announcing goroutine.
func (t *Target) announceNow() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
