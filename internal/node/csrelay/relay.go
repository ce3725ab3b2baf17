// Package csrelay divides the calls to targets among the connected stores. The leader keeps all decisions and all state: a
// store that relays makes the exchange with the target and returns the answer.
package csrelay

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// reportEvery is the interval of the messages with which stores and the leader tell each other that they run. Seven
	// stores cost the leader 35 small messages a second.
	reportEvery = 200 * time.Millisecond
	// lostAfter is the time without a report after which a store relays nothing. It is three reports and a slow leader.
	lostAfter = 700 * time.Millisecond
	// orderLimit is the age at which an order is no longer carried out. The leader waits longer for its answer, so that it
	// does not begin another order for the run meanwhile.
	// The age counts from the last report of the relaying store that the leader had when it sent the order, on the relaying
	// store's own clock, so an order that waited in a broken connection or a suspended machine is not carried out.
	orderLimit = time.Second
	// answerSlack is how long the leader waits for an answer beyond the time of the exchange itself. A store that is lost is
	// noticed earlier.
	answerSlack = 1200 * time.Millisecond
	// restFor is how long a store relays nothing after it had to refuse an order.
	restFor = time.Second
	// ordersDelay and resultsDelay collect what goes into one message. Objectives are 600 ms and more. A leader reads the
	// results of all other stores, and decides about them in rounds that are at least 10 ms apart.
	ordersDelay  = 2 * time.Millisecond
	resultsDelay = 10 * time.Millisecond
	// fullMessage is the estimated size in bytes at which a message is sent without waiting for more.
	fullMessage = 64 << 10
	// maxCalls bounds the calls of a leader in one relaying store: three orders and a look for each of 349 targets would
	// be 1,396 in all, of which one store has at most a fourth.
	maxCalls = 1024
	// reportLog is the interval of the lines that tell what was relayed.
	reportLog = time.Second
	// maxSigns bounds the heartbeats that wait for a report: 349 targets send one each in 1.5 s.
	maxSigns = 1024
	// toldFor is how long a list of stores is used: some intervals in which the leader repeats it.
	toldFor = 3 * time.Second
)

// Kinds of link messages.
const (
	KindOrders cslink.Kind = 0x12 // the leader to a relaying store
	KindReport cslink.Kind = 0x13 // a store to the leader
)

// ErrCodec reports bytes that are not a message of this package.
var ErrCodec = errors.New("csrelay: undecodable")

// Errors that tell why a relayed call has no answer. They are joined with csrun.ErrNoAnswer.
var (
	errLost    = errors.New("csrelay: relaying store lost")
	errLate    = errors.New("csrelay: no result from the relaying store in time")
	errExpired = errors.New("csrelay: order too old when it could be sent")
	errFull    = errors.New("csrelay: too many calls in the relaying store")
	errTarget  = errors.New("csrelay: no answer of the target to the relaying store")
	errUnsent  = errors.New("csrelay: not queued for the relaying store")
)

// Sender queues a message for a peer.
type Sender interface {
	Send(to csmodel.NodeID, channel cslink.Channel, kind cslink.Kind, payload []byte, supersede string) error
}

// Options configure a Relay.
type Options struct {
	Self    csmodel.NodeID
	Zone    csmodel.AvailabilityZone
	Sender  Sender
	Workers csrun.TargetClient // calls targets from this store
	Clock   clockwork.Clock    // counts the time in which the machine is suspended
	Log     *zap.Logger
	Metrics *Metrics
	// Leader returns the store that leads, and nothing where none is known.
	Leader func() csmodel.NodeID
	// Signs takes in the heartbeats that other stores have acknowledged. It must not block.
	Signs func([]csrun.SignOfLife)
}

// Metrics are the counters of a Relay.
type Metrics struct {
	calls *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowslipstream_relay_calls_total", Help: "Calls to targets, by way and result.",
	}, []string{"result"})}
	r.MustRegister(m.calls)
	return m
}

// Relay makes calls to targets through other stores, and makes the calls of other stores. It implements csrun.TargetClient. Use
// New.
type Relay struct {
	*caller
	server  *server
	options Options
	cancel  context.CancelFunc
}

// New starts the reports.
func New(o Options) *Relay {
	r := &Relay{caller: newCaller(o), server: newServer(o), options: o}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	ticker := o.Clock.NewTicker(reportEvery)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				r.tick()
			}
		}
	}()
	return r
}

// Close stops the reports.
func (r *Relay) Close() { r.cancel() }

func (r *Relay) tick() {
	r.expire()
	leader := r.options.Leader()
	if leader == r.options.Self {
		r.tell()
		return
	}
	r.Report(leader)
}

// Report tells a leader that this store can relay. An empty name is none.
func (r *Relay) Report(leader csmodel.NodeID) {
	if leader != "" && leader != r.options.Self {
		r.server.report(leader)
	}
}

// Sign passes on a heartbeat that this store acknowledges itself. It reports false where the heartbeat must go to the leader.
func (r *Relay) Sign(leader csmodel.NodeID, s csrun.SignOfLife) bool { return r.server.sign(leader, s) }

// Responsible returns the store that calls a target, as seen by a leader or by another store. It returns nothing where that
// is not known.
func (r *Relay) Responsible(t csjob.Target) csmodel.NodeID {
	if r.options.Leader() == r.options.Self {
		return r.best(t)
	}
	return r.server.responsible(t)
}

// Down tells that the connection to a peer is lost. Calls that it relays end without an answer.
func (r *Relay) Down(n csmodel.NodeID) { r.lose(n, "connection lost") }

// Receive takes in a message of a link. It reports false for kinds that are not its own.
func (r *Relay) Receive(from csmodel.NodeID, kind cslink.Kind, payload []byte) (bool, error) {
	switch kind {
	case KindOrders:
		var m orders
		if err := cbor.Unmarshal(payload, &m); err != nil {
			return true, errors.Join(ErrCodec, err)
		}
		r.server.take(from, m)
		return true, nil
	case KindReport:
		var m report
		if err := cbor.Unmarshal(payload, &m); err != nil {
			return true, errors.Join(ErrCodec, err)
		}
		r.reported(from, m)
		r.options.Signs(m.Signs)
		return true, nil
	default:
		return false, nil
	}
}

// targetOf returns what a relaying store needs to know of a target.
func targetOf(o order) csjob.Target {
	return csjob.Target{Incarnation: csjob.Incarnation{Target: o.Target}, Address: o.Address}
}
