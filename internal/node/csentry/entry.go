// Package csentry is a process that takes the requests of client accounts and passes them on to the leader. It holds no
// state that has to survive.
package csentry

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

const (
	linkHeartbeat = 200 * time.Millisecond
	linkSilence   = 650 * time.Millisecond // an open connection without a byte is replaced
	// search is how long a request waits for a leader. Requests that are refused later than a quarter of the shortest objective
	// of 600 ms would have been better off at another entry. Requests that wait for the end of an election all reach the new
	// leader at once and delay its first looks.
	search      = 140 * time.Millisecond
	searchPause = 20 * time.Millisecond
	// answerTimeout is how long one attempt waits for the leader, which answers within some tens of milliseconds.
	answerTimeout = 700 * time.Millisecond
	// repeatFor is how long a request that was sent without an answer is sent again. Jobs are known by their identifiers, so
	// a repetition is harmless; after this time the client account may as well try another entry.
	repeatFor = 1500 * time.Millisecond
	// retryAfter tells a client account when a new leader can be expected: the election timeout and a margin.
	retryAfter = time.Second
)

// Options configure an entry.
type Options struct {
	IP          string
	Seeds       []string // IP addresses of stores
	Listener    net.Listener
	PeerAddress func(ip string) string
	Clock       clockwork.Clock
	Log         *zap.Logger
	Registry    prometheus.Registerer
}

// Entry is one entry. Use New.
type Entry struct {
	options  Options
	log      *zap.Logger
	links    *cslink.Links
	calls    *csrpc.Caller
	opened   chan struct{}
	wake     chan struct{} // asks at once who leads
	cancel   context.CancelFunc
	requests *prometheus.CounterVec
	latency  prometheus.Histogram

	patience patience
	keys     *keyGate
	refusals *refusals

	mu     sync.Mutex
	leader csmodel.NodeID
	term   csmodel.Term
	ready  csmodel.NodeID // the leader that has said that it can take requests
	// members are the stores of the group, as one of them told last.
	members    []csmodel.NodeID
	leaderless int // searches in a row that began without a link to a leader
}

// New starts the entry.
func New(o Options) (*Entry, error) {
	e := &Entry{
		options: o, log: o.Log, opened: make(chan struct{}), wake: make(chan struct{}, 1),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipstream_requests_total", Help: "Requests of client accounts, by result.",
		}, []string{"result"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cowslipstream_request_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	o.Registry.MustRegister(e.requests, e.latency)
	e.keys, e.refusals = newKeyGate(o.Clock), newRefusals(o.Registry)
	var peers []cslink.Peer
	for _, ip := range o.Seeds {
		peers = append(peers, cslink.Peer{Node: csrpc.StoreNode(ip), Address: o.PeerAddress(ip)})
	}
	links, err := cslink.New(cslink.Options{
		Self: csrpc.EntryNode(o.IP), Incarnation: csrpc.LinkIncarnation, Secret: csrpc.LinkKey,
		Listener: o.Listener, Peers: peers, Handle: e.receive, Log: o.Log,
		Dials:     []cslink.Channel{cslink.Control}, // all calls of entries use it
		Up:        func(n csmodel.NodeID, _ csmodel.Incarnation) { e.up(n) },
		Down:      e.down,
		Heartbeat: linkHeartbeat, Silence: linkSilence,
	})
	if err != nil {
		return nil, err
	}
	e.links = links
	e.calls = csrpc.New(links, nil)
	close(e.opened)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.watch(ctx)
	return e, nil
}

func (e *Entry) up(n csmodel.NodeID) {
	<-e.opened
	e.calls.Up(n)
	e.log.Info("link up", zap.String("peer", string(n)))
	e.askNow()
}

func (e *Entry) down(n csmodel.NodeID) {
	<-e.opened
	e.calls.Down(n)
	e.log.Warn("link down", zap.String("peer", string(n)))
	e.askNow()
}

func (e *Entry) receive(from csmodel.NodeID, kind cslink.Kind, payload []byte) {
	<-e.opened
	var err error
	if kind == csrpc.KindLeader {
		var a csrpc.LeaderAnswer
		if a, err = csrpc.Decode[csrpc.LeaderAnswer](payload); err == nil {
			e.heard(from, a)
		}
	} else {
		_, err = e.calls.Receive(from, kind, payload)
	}
	if err != nil {
		e.log.Warn("malformed message", zap.String("peer", string(from)), zap.Uint8("kind", uint8(kind)), zap.Error(err))
	}
}

// Ready tells whether the entry can serve client accounts: it is connected to a leader that can take requests. The platform
// checks once per second and needs two misses, so the change of a leader rarely counts.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	leader := e.leader
	ready := leader != "" && e.ready == leader
	e.mu.Unlock()
	return ready && e.calls.Connected(leader)
}

// Do passes a request on to the leader. The context holds the deadline of the client account.
func (e *Entry) Do(ctx context.Context, r csrpc.JobRequest) csrpc.JobAnswer {
	started := e.options.Clock.Now()
	if r.Action == csrpc.ActionSubmit {
		r.Waited = e.patience.waited(started, r)
	}
	a := e.doAdmitted(ctx, started, r)
	after := e.options.Clock.Now().Sub(started)
	e.latency.Observe(after.Seconds())
	e.requests.WithLabelValues(resultNames[a.Result]).Inc()
	if a.Result >= csrpc.ResultRefused && a.Result < csrpc.ResultUnauthorized { // refused keys have lines of their own
		e.log.Info("request not served", zap.String("host", r.Host), zap.String("path", r.Path), zap.Uint8("action", uint8(r.Action)),
			zap.String("result", resultNames[a.Result]), zap.String("leader", string(e.current())), zap.Duration("after", after))
	}
	return a
}

var resultNames = [...]string{
	csrpc.ResultDone: "done", csrpc.ResultNoQueue: "no_queue", csrpc.ResultNoJob: "no_job", csrpc.ResultRefused: "refused",
	csrpc.ResultInvalid: "invalid", csrpc.ResultNoConfig: "no_config", csrpc.ResultMoved: "no_leader",
	csrpc.ResultUnknown: "unknown", csrpc.ResultUnauthorized: "unauthorized", csrpc.ResultBusy: "busy",
}

// do tries the known leader until one answers. Where an attempt was sent without an answer, the request may have been
// carried out: it is sent again, and is unknown if no leader answers.
func (e *Entry) do(ctx context.Context, started time.Time, r csrpc.JobRequest) csrpc.JobAnswer {
	sent := false
	for {
		if leader := e.current(); leader != "" {
			a, err := e.attempt(ctx, leader, aged(r, e.options.Clock.Now().Sub(started)))
			switch {
			case errors.Is(err, csrpc.ErrNoAnswer):
				sent = true
				e.log.Info("leader has not answered", zap.String("leader", string(leader)), zap.Duration("after", e.options.Clock.Now().Sub(started)))
			case err != nil: // not sent
			case a.Result == csrpc.ResultMoved:
				e.moved(leader, a.Leader)
			case sent && r.Action == csrpc.ActionSubmit && a.Result != csrpc.ResultDone:
				return csrpc.JobAnswer{Result: csrpc.ResultUnknown} // an earlier attempt may have been carried out
			default:
				return a
			}
		}
		limit := search
		if sent {
			limit = repeatFor
		}
		if ctx.Err() != nil || e.options.Clock.Now().Sub(started) > limit {
			if sent {
				return csrpc.JobAnswer{Result: csrpc.ResultUnknown}
			}
			return csrpc.JobAnswer{Result: csrpc.ResultMoved, Retry: retryAfter}
		}
		e.options.Clock.Sleep(searchPause)
	}
}

// attempt sends a request to a leader.
func (e *Entry) attempt(ctx context.Context, leader csmodel.NodeID, r csrpc.JobRequest) (csrpc.JobAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	b, err := e.calls.Call(limited, leader, csrpc.MethodJob, csrpc.Encode(r))
	if err != nil {
		return csrpc.JobAnswer{}, err
	}
	a, err := csrpc.Decode[csrpc.JobAnswer](b)
	if err != nil {
		e.log.Warn("malformed answer", zap.String("peer", string(leader)), zap.Error(err))
		return csrpc.JobAnswer{Result: csrpc.ResultUnknown}, nil
	}
	return a, nil
}

// Close stops the entry.
func (e *Entry) Close() {
	e.cancel()
	if err := e.links.Close(); err != nil {
		e.log.Warn("links closed", zap.Error(err))
	}
}
