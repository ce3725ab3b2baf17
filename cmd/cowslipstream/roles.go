package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof" // #nosec G108 -- served on the metrics address only
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/base/csclock"
	"cowslipstream.example/cowslipstream/internal/base/cshttp"
	"cowslipstream.example/cowslipstream/internal/fleet/csvms"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csentry"
	"cowslipstream.example/cowslipstream/internal/node/csstore"
	"cowslipstream.example/cowslipstream/platform"
)

const (
	logLines = 4096 // some seconds of a busy leader
	// memoryShare is the part of the process's memory limit that the Go runtime aims to stay below.
	memoryShare = 0.6
	// storeGCPercent lets the heap of a store grow to three times what is in use before a collection. A leader allocates tens
	// of megabytes per second, of which little stays.
	storeGCPercent = 200
	// headerTimeout bounds the time in which a client sends the head of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection without a request is kept: longer than clients keep idle connections (15 s).
	idleTimeout = 90 * time.Second
	// writeTimeout bounds a request from its header to the last byte of its answer: a whole body (60 s) and an answer that the
	// client takes slowly.
	writeTimeout = 90 * time.Second
	// ownConnections is the most connections of the addresses for readiness and metrics. Clients have none of them, and
	// cshttp keeps descriptors for them.
	ownConnections = 32
	// storeClientPart is the part of a store's descriptors that targets and operators may take, as a divisor. The leader itself
	// opens up to four connections to each target: 1,360 for 340 targets, of 4,096 descriptors.
	storeClientPart = 2
	// stopMargin is the part of the grace period that is left for closing files and connections.
	stopMargin = 1500 * time.Millisecond
	// idleLinger is how long idle connections of client accounts are kept after the listener was closed. They are asked to leave with the
	// answer to their next request.
	idleLinger = time.Second
	// unreadyNoticed is the time until the platform sends no new connections: two checks, one per second.
	unreadyNoticed = 2500 * time.Millisecond

	// settingsPoll is how often the settings file is compared, because it may change without a signal.
	settingsPoll = time.Second
)

// Timing of the leader. Leases cover a change of the leader: election timeout, catching up and a first look. Targets answer
// within some milliseconds, and jobs have 600 ms and more to spare: the timeout leaves time for a second try.
const (
	runLease    = 5 * time.Second
	callTimeout = 200 * time.Millisecond
	lookSpacing = 100 * time.Millisecond
	lookWait    = time.Second
)

const storeUsage = `Runs a store on the platform until it is stopped: replicated state, and on
the leader the running of jobs. The platform names the settings file.`

const entryUsage = `Runs an entry on the platform until it is stopped: it takes requests of
client accounts. The platform names the settings file.`

type storeCommand struct {
	*app
	LogLevel string `long:"log" value-name:"LEVEL" description:"least level of log lines" default:"info"`
}

type entryCommand struct {
	*app
	LogLevel string `long:"log" value-name:"LEVEL" description:"least level of log lines" default:"info"`
}

// process is what both roles share.
type process struct {
	settings platform.Settings
	log      *zap.Logger
	ring     *cslog.Ring
	registry *prometheus.Registry
	pool     *cshttp.Pool
	link     net.Listener
	hup      chan os.Signal // the platform says that the settings file has changed
}

func (a *app) newProcess(level string) (*process, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, &usageError{cause: err}
	}
	p := &process{settings: settings, ring: cslog.NewRing(a.stdout, logLines), registry: prometheus.NewRegistry(), hup: make(chan os.Signal, 1)}
	signal.Notify(p.hup, syscall.SIGHUP) // before anything that takes time: the signal ends a process that does not take it
	p.log, err = cslog.New(level, p.ring)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(heapOf(settings)))
	}
	limits := cshttp.LimitsOf(int64(settings.Memory), settings.Files)
	if settings.Control != "" && settings.Files > 0 {
		limits.Connections = min(limits.Connections, settings.Files/storeClientPart)
	}
	p.pool = cshttp.NewPool(cshttp.PoolOptions{
		Limits: limits, Clock: clockwork.NewRealClock(), Log: p.log, Registry: p.registry,
	})
	p.link, err = net.Listen("tcp", settings.LinkAddress()) //nolint:noctx // bound for the life of the process
	if err != nil {
		return nil, trace.Wrap(err, "link address")
	}
	p.log.Info("starting", zap.String("version", readVersion().Version), zap.String("node", settings.Node), zap.String("zone", string(settings.Zone)),
		zap.Strings("seeds", settings.Seeds), zap.Bool("first", settings.First), zap.Int("pid", os.Getpid()))
	p.serve(settings.MetricsAddress(), p.metrics(), ownConnections)
	return p, nil
}

func (p *process) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// heapOf returns the size that the Go runtime aims to stay below, or zero if the memory is not limited.
func heapOf(s platform.Settings) csmodel.Bytes { return csmodel.Bytes(memoryShare * float64(s.Memory)) }

// serve starts a server that runs until the process ends or the server is shut down. With connections of 0 it has those that the
// process has for clients.
func (p *process) serve(address string, h http.Handler, connections int) *cshttp.Server {
	s := p.pool.Server(&http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: cshttp.MaxHeaderBytes,
	}, csclock.NewBoot(), connections)
	go func() {
		l, err := net.Listen("tcp", address) //nolint:noctx // bound for the life of the process
		if err == nil {
			err = s.Serve(l)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("server ended", zap.String("address", address), zap.Error(err))
		}
	}()
	return s
}

// watchSettings logs changes of the settings file and calls seedsChanged with new seeds. Only a start applies other changes:
// addresses and folders do not change while a process runs.
func (p *process) watchSettings(ctx context.Context, seedsChanged func([]string)) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := p.settings.Seeds
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-p.hup:
			asked = true
		case <-ticker.C:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			p.log.Warn("settings not reloaded", zap.Bool("signal", asked), zap.Error(err))
			continue
		}
		if asked || !equalStrings(seen, s.Seeds) {
			p.log.Info("settings reloaded", zap.Bool("signal", asked), zap.Strings("seeds", s.Seeds))
			seen = s.Seeds
			seedsChanged(seen)
		}
	}
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (p *process) close(reason string) {
	p.log.Info("stopped", zap.String("reason", reason))
	p.ring.Close()
}

// Execute runs the subcommand.
func (c *storeCommand) Execute([]string) error {
	p, err := c.newProcess(c.LogLevel)
	if err != nil {
		return err
	}
	debug.SetGCPercent(storeGCPercent)
	go p.watchSettings(c.ctx, func([]string) {}) // a store knows the members of the group from its log
	s := p.settings
	client := platform.NewClient()
	clock := csclock.NewBoot()
	store, err := csstore.New(csstore.Options{
		Fleet: func(state csrun.State) csrun.Fleet {
			return csvms.New(csvms.Options{
				State: state, Platform: platform.VMs{Client: client, Address: s.VMs, Holder: s.Node}, Clock: clock,
				Log: p.log.Named("vms"), MoveTime: s.MoveTime, MaintenanceTime: s.Upkeep, Holder: csjob.Holder(s.Node), HandoverDelay: s.OrderTurn,
			})
		},
		IP: s.IP, Zone: s.Zone, Seeds: s.Seeds, First: s.First, Folder: s.Folder, Losses: s.Losses, Listener: p.link,
		PeerAddress: s.PeerAddress, Retention: s.Retention, Heap: heapOf(s), Workers: client, Clock: clock,
		Log: p.log, Registry: p.registry,
		Timing: csrun.Timing{
			Lease: min(runLease, s.LongestLease*9/10), LongestLease: s.LongestLease, HeartbeatInterval: s.Beat,
			CallTimeout: callTimeout, MinPollInterval: lookSpacing, PollWait: lookWait,
		},
	})
	if err != nil {
		p.log.Error("not started", zap.Error(err))
		p.close("failed start")
		return trace.Wrap(err)
	}
	server := p.serve(s.Control, platform.ControlHandler(store, s.ControlAddress, p.log), 0)
	<-c.ctx.Done()
	p.log.Info("stopping", zap.Duration("grace", s.Grace))
	store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	if err := server.Shutdown(ctx, 0); err != nil {
		p.log.Warn("connections cut", zap.Error(err))
	}
	p.close("signal")
	return nil
}

// Execute runs the subcommand.
func (c *entryCommand) Execute([]string) error {
	p, err := c.newProcess(c.LogLevel)
	if err != nil {
		return err
	}
	s := p.settings
	entry, err := csentry.New(csentry.Options{
		IP: s.IP, Seeds: s.Seeds, Listener: p.link, PeerAddress: s.PeerAddress, Clock: csclock.NewBoot(),
		Log: p.log, Registry: p.registry,
	})
	if err != nil {
		p.log.Error("not started", zap.Error(err))
		p.close("failed start")
		return trace.Wrap(err)
	}
	go p.watchSettings(c.ctx, entry.AddSeeds)
	draining := func() bool { return c.ctx.Err() != nil }
	p.serve(s.Ready, platform.ReadyHandler(entry, draining), ownConnections)
	front := p.serve(s.Callers, closing(platform.FrontHandler(entry), draining), 0)
	<-c.ctx.Done()
	p.log.Info("stopping", zap.Duration("grace", s.Grace))
	p.drain(front)
	entry.Close()
	p.close("signal")
	return nil
}

// drain goes on serving until the platform has stopped sending new connections, then waits for the open requests.
func (p *process) drain(front *cshttp.Server) {
	time.Sleep(min(unreadyNoticed, p.settings.Grace/2))
	limit := max(p.settings.Grace/2-stopMargin, stopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := front.Shutdown(ctx, idleLinger); err != nil {
		p.log.Warn("connections cut", zap.Error(err))
	}
}

// closing asks clients to leave their connection after an answer while the process drains.
func closing(h http.Handler, draining func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
