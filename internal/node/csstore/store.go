// Package csstore is a process that holds the replicated state. The one that leads runs the jobs.
package csstore

import (
	"context"
	"errors"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/base/csactor"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csrelay"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Timing of the group. The election timeout is a fourth of the contact time of the platform's pages, so that a new leader
// acts well within it: while there is none, every job waits. It is more than four heartbeats and forty syncs of a disk. A
// heartbeat costs one small message for each store. The lease is shorter by the drift of two steady clocks, at most 7%: a
// busy leader needs up to half a second from a heartbeat to its acknowledgement, and decides nothing without a lease.
const (
	electionTimeout = 700 * time.Millisecond
	electionJitter  = 250 * time.Millisecond
	leaderLease     = 650 * time.Millisecond
	heartbeat       = 150 * time.Millisecond
)

// Links between processes.
const (
	linkHeartbeat = 300 * time.Millisecond
	linkSilence   = 1000 * time.Millisecond // an open connection without a byte is replaced
	kindRaft      = cslink.Kind(1)
	// announceRetry is the pause before a new leader that is not ready yet checks again.
	announceRetry = 20 * time.Millisecond
)

// ErrUnavailable reports that no leader could be reached. Nothing was changed.
var ErrUnavailable = errors.New("csstore: no leader reachable")

// errIncomplete reports that parts of a command were dropped before the last one was committed. Nothing was changed.
var errIncomplete = errors.Join(ErrUnavailable, errors.New("csstore: parts of the command are missing"))

// Options configure a store.
type Options struct {
	IP          string // of this machine
	Zone        csmodel.AvailabilityZone
	Seeds       []string // IP addresses of stores
	First       bool     // the whole system starts for the first time
	Folder      string
	Losses      int // stores that may be lost at once
	Listener    net.Listener
	PeerAddress func(ip string) string // where another store listens for links
	Retention   time.Duration          // of ended jobs
	Heap        csmodel.Bytes          // size that the Go runtime aims to stay below; zero is no limit
	Timing      csrun.Timing
	Workers     csrun.TargetClient
	// Fleet returns what decides about VMs. It may be nil.
	Fleet    func(csrun.State) csrun.Fleet
	Clock    clockwork.Clock
	Log      *zap.Logger
	Registry prometheus.Registerer
}

// Store is one store. Use New.
type Store struct {
	options Options
	self    csmodel.NodeID
	log     *zap.Logger
	system  *actor.ActorSystem
	disk    *csdisk.OS
	group   *csgroup.Group
	links   atomic.Pointer[cslink.Links]
	calls   *csrpc.Caller
	relay   *csrelay.Relay
	leader  *csrun.Leader
	opened  chan struct{} // closed when group, links and leader are set
	closing chan struct{} // closed by Close

	admission *admission
	announcer announcer
	saves     prometheus.Histogram
	slowSaves rate.Sometimes
}

// New opens the folder and starts the store.
func New(o Options) (*Store, error) {
	s := &Store{
		options: o, self: csrpc.StoreNode(o.IP), log: o.Log, opened: make(chan struct{}), closing: make(chan struct{}),
		saves: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cowslipstream_save_seconds", Help: "Time that the disk takes to save a part of the log.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		slowSaves: rate.Sometimes{First: 1, Interval: time.Second},
		admission: newAdmission(o.Registry, limitsOf(o.Heap)),
	}
	o.Registry.MustRegister(s.saves)
	disk, err := csdisk.OpenOS(filepath.Join(o.Folder, "group"))
	if err != nil {
		return nil, trace.Wrap(err, "data folder")
	}
	s.disk = disk
	quiet := o.Log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))
	s.system = actor.NewActorSystem(cslog.Actors(quiet), actor.WithDeadLetterRequestLogging(false))
	s.calls = csrpc.New(sender{s}, s.answer)
	var fleet csrun.Fleet
	if o.Fleet != nil {
		fleet = o.Fleet(replica{s})
	}
	s.relay = csrelay.New(csrelay.Options{
		Self: s.self, Zone: o.Zone, Sender: sender{s}, Workers: o.Workers, Clock: o.Clock, Log: o.Log.Named("relay"),
		Metrics: csrelay.NewMetrics(o.Registry), Leader: s.leaderNode,
		Signs: s.takeSigns,
	})
	s.leader = csrun.New(csrun.Options{
		State: replica{s}, Workers: s.relay, Clock: o.Clock, Log: o.Log.Named("run"),
		Metrics: csrun.NewMetrics(o.Registry), Timing: o.Timing, Spawner: s.system.Root, Fleet: fleet,
		Actor: []actor.PropsOption{csactor.Reuse()},
	})
	if err := s.openGroup(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.openLinks(); err != nil {
		return nil, trace.Wrap(err)
	}
	close(s.opened)
	return s, nil
}

func (s *Store) openGroup() error {
	var members []csraft.Member
	for _, ip := range s.options.Seeds {
		members = append(members, csraft.Member{Node: csrpc.StoreNode(ip), Voter: true})
	}
	group, err := csgroup.New(csgroup.Options{
		Config: csraft.Config{
			Group: "jobs", Self: s.self, Members: members, Join: !s.options.First,
			Voters:   max(len(members), 2*s.options.Losses+1),
			Election: electionTimeout, Jitter: electionJitter, Lease: leaderLease, Heartbeat: heartbeat,
			Seed: uint64(time.Now().UnixNano()),
		},
		Machine: &csjob.Table{Retention: s.options.Retention},
		Disk:    s.disk,
		Clock:   s.options.Clock,
		Send:    s.sendRaft,
		Spawner: s.system.Root,
		Actor:   []actor.PropsOption{csactor.Reuse()},
		Observe: csgroup.Observe{
			Applied:  func(csraft.Entry, []byte) { s.leader.Changed() },
			Restored: func(csmodel.Index) { s.leader.Changed() },
			Lead:     s.lead,
			Follow:   s.follow,
			Saved:    s.saved,
			Error:    func(err error) { s.log.Error("group failed", zap.Error(err)) },
		},
	})
	s.group = group
	return err
}

func (s *Store) lead(t csmodel.Term) {
	s.admission.lead(s.options.Clock.Now())
	s.leader.Lead(t)
	go s.announceOnceReady(t)
}

func (s *Store) follow(t csmodel.Term, leader csmodel.NodeID) {
	s.log.Info("leader changed", zap.Uint64("term", uint64(t)), zap.String("leader", string(leader)))
	s.leader.Follow()
	s.relay.Report(leader)
	s.announceLeader(csrpc.LeaderAnswer{Leader: leader, Term: t})
}

// slowSave is the time from which a save is logged.
const slowSave = 75 * time.Millisecond

// saved records how long the disk took. Slow disks delay each commit and each election.
func (s *Store) saved(took time.Duration) {
	s.saves.Observe(took.Seconds())
	if took >= slowSave {
		s.slowSaves.Do(func() { s.log.Warn("slow disk", zap.Duration("save", took)) })
	}
}

// takeSigns hands heartbeats that other stores have acknowledged to the leader's actor.
func (s *Store) takeSigns(signs []csrun.SignOfLife) {
	<-s.opened
	s.leader.SignsOfLife(signs)
}

// Leading tells whether this store leads and its lease is valid.
func (s *Store) Leading() bool {
	<-s.opened
	return replica{s}.Leading()
}

// leaderNode returns the store that leads, and nothing where none is known.
func (s *Store) leaderNode() csmodel.NodeID {
	select {
	case <-s.opened:
		return s.group.Status().Leader
	default:
		return ""
	}
}

func (s *Store) openLinks() error {
	var peers []cslink.Peer
	for _, ip := range s.options.Seeds {
		peers = append(peers, cslink.Peer{Node: csrpc.StoreNode(ip), Address: s.options.PeerAddress(ip)})
	}
	links, err := cslink.New(cslink.Options{
		Self: s.self, Incarnation: csrpc.LinkIncarnation, Secret: csrpc.LinkKey,
		Listener: s.options.Listener, Peers: peers, Admit: csrpc.Known, Handle: s.receive,
		Up: s.linkUp, Down: s.linkDown, Log: s.log, Heartbeat: linkHeartbeat, Silence: linkSilence,
	})
	if err != nil {
		return err
	}
	s.links.Store(links)
	return s.dialSeeds(links)
}

// dialSeeds makes a store that is no seed dial the seeds, which do not know it.
func (s *Store) dialSeeds(links *cslink.Links) error {
	for _, ip := range s.options.Seeds {
		if ip == s.options.IP {
			return nil
		}
	}
	for _, ip := range s.options.Seeds {
		if err := links.Redial(csrpc.StoreNode(ip)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) linkUp(n csmodel.NodeID, _ csmodel.Incarnation) {
	s.calls.Up(n)
	s.announcer.connected(n, true)
	s.log.Info("link up", zap.String("peer", string(n)))
}

func (s *Store) linkDown(n csmodel.NodeID) {
	s.calls.Down(n)
	s.announcer.connected(n, false)
	s.relay.Down(n)
	s.log.Warn("link down", zap.String("peer", string(n)))
}

// sender makes the links usable before they are opened.
type sender struct{ store *Store }

// Send implements csrpc.Sender.
func (o sender) Send(to csmodel.NodeID, channel cslink.Channel, kind cslink.Kind, payload []byte, key string) error {
	links := o.store.links.Load()
	if links == nil {
		return cslink.ErrClosed
	}
	return links.Send(to, channel, kind, payload, key)
}

// Withdraw implements csrpc.Sender.
func (o sender) Withdraw(to csmodel.NodeID, channel cslink.Channel, key string) {
	if links := o.store.links.Load(); links != nil {
		links.Withdraw(to, channel, key)
	}
}

func (s *Store) sendRaft(to csmodel.NodeID, m csraft.Message) {
	payload, err := csraft.EncodeMessage(m)
	if err != nil {
		s.log.Error("group message not encoded", zap.Error(err))
		return
	}
	err = sender{s}.Send(to, csgroup.ChannelOf(m.Kind, len(payload)), kindRaft, payload, "")
	if errors.Is(err, cslink.ErrUnknownPeer) {
		s.meet(to)
	}
	// The group repeats what is lost, so a full queue needs no action.
	if err != nil {
		s.log.Debug("group message dropped", zap.String("peer", string(to)), zap.Error(err))
	}
}

// meet adds a store that became a member while this one ran. The one with the smaller name dials.
func (s *Store) meet(n csmodel.NodeID) {
	links := s.links.Load()
	ip, ok := csrpc.StoreIP(n)
	if links == nil || !ok || s.self > n {
		return
	}
	if err := links.AddPeer(cslink.Peer{Node: n, Address: s.options.PeerAddress(ip)}); err != nil {
		s.log.Warn("store not added", zap.String("peer", string(n)), zap.Error(err))
	}
}

func (s *Store) receive(from csmodel.NodeID, kind cslink.Kind, payload []byte) {
	<-s.opened
	taken, err := s.calls.Receive(from, kind, payload)
	if !taken && err == nil {
		taken, err = s.relay.Receive(from, kind, payload)
	}
	if taken && err == nil {
		return
	}
	if err == nil && kind == kindRaft {
		var m csraft.Message
		if m, err = csraft.DecodeMessage(payload); err == nil {
			s.group.Receive(from, m)
			return
		}
	}
	s.log.Warn("malformed message", zap.String("peer", string(from)), zap.Uint8("kind", uint8(kind)), zap.Error(err))
}

// Close hands over the leadership and stops the store.
func (s *Store) Close() {
	close(s.closing)
	s.relay.Close()
	if err := s.group.Close(); err != nil {
		s.log.Warn("group closed", zap.Error(err))
	}
	if err := s.links.Load().Close(); err != nil {
		s.log.Warn("links closed", zap.Error(err))
	}
	s.system.Shutdown()
	if err := s.disk.Close(); err != nil {
		s.log.Warn("data folder closed", zap.Error(err))
	}
}

// replica is the group as the leader of the runs uses it.
type replica struct{ store *Store }

// View implements csrun.State.
func (r replica) View(f func(*csjob.Table)) {
	r.store.group.View(func(m csraft.Machine) {
		if t, ok := m.(*csjob.Table); ok {
			f(t)
		}
	})
}

// Read implements csrun.State.
func (r replica) Read(ctx context.Context, f func(*csjob.Table)) error {
	return r.store.group.Read(ctx, func(m csraft.Machine) {
		if t, ok := m.(*csjob.Table); ok {
			f(t)
		}
	})
}

// Propose implements csrun.State.
func (r replica) Propose(ctx context.Context, c csjob.Command) (csjob.Verdict, error) {
	parts, err := c.EncodeParts()
	if err != nil {
		return csjob.Refused, err
	}
	for _, b := range parts {
		result, err := r.store.group.Propose(ctx, b)
		if err != nil {
			return csjob.Refused, err
		}
		if v := csjob.ParseVerdict(result); v != csjob.Incomplete {
			return v, nil
		}
	}
	return csjob.Refused, errIncomplete
}

// Leading implements csrun.State.
func (r replica) Leading() bool { return r.store.group.Status().Leading }
