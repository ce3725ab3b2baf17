package csrequest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// memoryLog is a Log in memory. A crash loses the records that were not synced.
type memoryLog struct {
	synced, buffered [][]byte
	fails            bool
}

func (l *memoryLog) Append(data []byte) error {
	l.buffered = append(l.buffered, data)
	return nil
}

func (l *memoryLog) Sync() error {
	if l.fails {
		return errors.New("disk full")
	}
	l.synced = append(l.synced, l.buffered...)
	l.buffered = nil
	return nil
}

func (l *memoryLog) Replay(f func([]byte) error) error {
	for _, data := range l.synced {
		if err := f(data); err != nil {
			return err
		}
	}
	return nil
}

var testConfig = csconfig.Configuration{
	Pools: []csconfig.Pool{{Name: "p"}},
	Jobs: []csconfig.Job{
		{Name: "order", Pool: "p", Timeout: 300 * time.Millisecond},
		{Name: "quote", Pool: "p", Idempotent: true, Timeout: 300 * time.Millisecond},
	},
	Teams: []csconfig.Team{{Name: "a", Share: 1}, {Name: "b", Share: 3}, {Name: "limited", Share: 1, Rate: 10, Burst: 2}},
}

// simRequest is a request that a node received from a caller or another node.
type simRequest struct {
	node          *simNode
	arrive        RequestArrived
	wantBody      string // expected body of the answer
	forwardedFrom *simRequest
	replies       int
	outcome       Outcome
	attempts      []*simAttempt
	lost          bool // the node has crashed
}

// simAttempt is an attempt that a node dispatched.
type simAttempt struct {
	dispatch   Dispatch
	request    *simRequest
	executed   bool
	mustNotRun bool // a reply reported the request as not-run
}

// simKey is a key and the attempts of the requests that used it.
type simKey struct {
	text       string
	owner      csmodel.NodeID
	idempotent bool
	attempts   []*simAttempt
	executions int
	digest     uint64
}

// simNode is a node that can crash and restart.
type simNode struct {
	id             csmodel.NodeID
	incarnation    csmodel.Incarnation
	router         *Router
	keys           *Keys
	log            *memoryLog
	requests       map[RequestID]*simRequest
	lastID         RequestID
	boots          int
	recentRequests []*simRequest
}

// simulation simulates two nodes with their callers and targets. Messages are delivered in any order, twice, late or never.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	nodes      []*simNode
	keys       []*simKey
	keysByText map[string]*simKey
	pending    []func()
	err        error
	outcomes   [Unknown + 1]int
	executions int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, keysByText: map[string]*simKey{}}
	for _, id := range []csmodel.NodeID{"n1", "n2"} {
		n := &simNode{id: id, log: &memoryLog{}}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

func (s *simulation) failf(format string, arguments ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, arguments...)
	}
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

// boot starts a node with a new incarnation and the records of its log.
func (s *simulation) boot(n *simNode) {
	n.incarnation++
	n.boots++
	n.requests = map[RequestID]*simRequest{}
	n.keys = NewKeys(KeysConfig{Node: n.id, Incarnation: n.incarnation, MaxStored: 20 * csmodel.KiB})
	if err := n.keys.Restore(s.now, n.log); err != nil {
		s.failf("restore: %v", err)
	}
	n.router = NewRouter(Config{Node: n.id, Incarnation: n.incarnation, Zone: "z1", Keys: n.keys})
	s.execute(n, n.router.Step(s.now, Configure{Configuration: testConfig}))
	s.grantSlots(n)
}

// crash restarts a node. It loses the records that were not synced, and sometimes the whole log.
func (s *simulation) crash(n *simNode) {
	if s.chance(50) {
		s.execute(n, n.router.Stop(s.now))
	}
	for _, a := range n.requests {
		a.lost = true
	}
	n.log.buffered = nil
	if s.chance(20) {
		n.log = &memoryLog{}
	}
	s.boot(n)
}

// grantSlots replaces the slot leases of a node by random ones.
func (s *simulation) grantSlots(n *simNode) {
	var leases []csmodel.SlotLease
	for i := range 4 {
		if s.chance(20) {
			continue
		}
		zone := csmodel.AvailabilityZone("z1")
		if i == 3 {
			zone = "z2"
		}
		leases = append(leases, csmodel.SlotLease{
			Target: csmodel.VMID(fmt.Sprint("vm", i)), Incarnation: 1, Pool: "p", Zone: zone,
			Slots: 1 + s.random.IntN(3), Connections: 8, Probe: s.chance(5),
			Until: s.now.Add(time.Duration(s.random.IntN(2000)) * time.Millisecond),
		})
	}
	s.execute(n, n.router.Step(s.now, SlotsChanged{Leases: leases}))
}

// step advances the clock by up to 7 ms and performs one random action.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(8)) * time.Millisecond)
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch roll := s.random.IntN(1000); {
	case roll < 200:
		s.sendRequest(n)
	case roll < 700:
		for range 1 + len(s.pending)/10 {
			s.deliver()
		}
	case roll < 900:
		s.execute(n, n.router.Step(s.now, Tick{}))
	case roll < 950:
		s.grantSlots(n)
	case roll < 990:
		if len(n.recentRequests) > 0 {
			a := n.recentRequests[s.random.IntN(len(n.recentRequests))]
			s.execute(n, n.router.Step(s.now, Cancelled{ID: a.arrive.ID}))
		}
	case roll < 992:
		s.crash(n)
	case roll < 994:
		n.log.fails = s.chance(20)
	case roll < 995:
		s.now = s.now.Add(time.Duration(s.random.IntN(40)) * time.Second)
	}
}

// deliver delivers a random pending message.
func (s *simulation) deliver() {
	if len(s.pending) == 0 {
		return
	}
	i := s.random.IntN(len(s.pending))
	f := s.pending[i]
	s.pending[i] = s.pending[len(s.pending)-1]
	s.pending = s.pending[:len(s.pending)-1]
	f()
}

// sendRequest sends a request with a new or recent key, or an idempotent one without a key.
func (s *simulation) sendRequest(n *simNode) {
	a := RequestArrived{Team: "a", Digest: 1, Timeout: time.Duration(1+s.random.IntN(400)) * time.Millisecond}
	if s.chance(50) {
		a.Team = "b"
	}
	k := s.pickKey()
	a.Job = "order"
	if k.idempotent {
		a.Job = "quote"
		a.Idempotent = true
		if s.chance(50) {
			k = nil
		}
	}
	wantBody := ""
	if k != nil {
		a.Key = k.text
		a.Digest = k.digest
		if s.chance(2) {
			a.Digest++ // another request with the same key
		}
		wantBody = fmt.Sprint(k.text, a.Digest)
	}
	s.arrive(n, a, wantBody, nil)
}

// pickKey returns a new key or a recent one.
func (s *simulation) pickKey() *simKey {
	if len(s.keys) > 0 && s.chance(50) {
		recent := min(len(s.keys), 30)
		return s.keys[len(s.keys)-1-s.random.IntN(recent)]
	}
	owner := s.nodes[s.random.IntN(len(s.nodes))]
	k := &simKey{
		text:       owner.keys.Issue(s.now, 1)[0].String(),
		owner:      owner.id,
		idempotent: s.chance(50),
		digest:     s.random.Uint64(),
	}
	s.keys = append(s.keys, k)
	s.keysByText[k.text] = k
	return k
}

func (s *simulation) arrive(n *simNode, e RequestArrived, wantBody string, forwardedFrom *simRequest) {
	n.lastID++
	e.ID = n.lastID
	a := &simRequest{node: n, arrive: e, wantBody: wantBody, forwardedFrom: forwardedFrom}
	if wantBody == "" {
		a.wantBody = fmt.Sprint(n.id, n.boots, e.ID)
	}
	n.requests[e.ID] = a
	n.recentRequests = append(n.recentRequests, a)
	if len(n.recentRequests) > 50 {
		n.recentRequests = n.recentRequests[1:]
	}
	s.execute(n, n.router.Step(s.now, e))
}

// delivery returns a function that delivers an event, unless the node has restarted since the call.
func (s *simulation) delivery(n *simNode, e Event) func() {
	boots := n.boots
	return func() {
		if n.boots == boots {
			s.execute(n, n.router.Step(s.now, e))
		}
	}
}

func (s *simulation) deliverLater(f func()) { s.pending = append(s.pending, f) }

func (s *simulation) execute(n *simNode, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Record:
			s.deliverLater(s.recordWrite(n, c))
		case Dispatch:
			s.dispatch(n, c)
		case Forward:
			s.forward(n, c)
		case Reply:
			s.reply(n, c)
		default:
		}
	}
}

// recordWrite returns a function that saves a record, unless the node has restarted since the call.
func (s *simulation) recordWrite(n *simNode, c Record) func() {
	boots := n.boots
	return func() {
		if n.boots != boots {
			return
		}
		for _, e := range Save(n.log, []Record{c}) {
			s.execute(n, n.router.Step(s.now, e))
		}
	}
}
