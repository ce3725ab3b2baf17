package csraft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// simNode is one node of the simulation with its durable state.
type simNode struct {
	id          csmodel.NodeID
	incarnation csmodel.Incarnation
	voter       bool
	disk        Restored
	core        *Core // nil while the node is down
	restartAt   time.Time
	applied     csmodel.Index
	state       uint64 // hash over the applied entries; the content of snapshots
}

type packet struct {
	to      csmodel.NodeID
	message []byte
	at      time.Time
}

type sim struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	now       time.Time
	nodes     []*simNode
	inTransit []packet
	blocked   map[[2]csmodel.NodeID]bool
	faulty    bool
	delay     int // maximum message delay without a fault, in microseconds
	leaders   map[csmodel.Term]string
	committed map[csmodel.Index]Entry
	states    map[csmodel.Index]uint64
	highest   csmodel.Index
	steps     int
	crashes   int
	changes   int
	elections int
	installs  int
	proposed  int
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		blocked: map[[2]csmodel.NodeID]bool{}, faulty: true, leaders: map[csmodel.Term]string{},
		committed: map[csmodel.Index]Entry{}, states: map[csmodel.Index]uint64{},
	}
	s.delay = 3000
	if seed%2 == 0 {
		s.delay = 100_000 // votes of several candidates overlap
	}
	for i := range 6 {
		s.nodes = append(s.nodes, &simNode{id: csmodel.NodeID(fmt.Sprintf("n%d", i)), incarnation: 1, voter: i < 3})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d step %d: %s", s.seed, s.steps, fmt.Sprintf(format, args...))
}

func (s *sim) start(n *simNode) {
	c := Config{
		Self: n.id, Incarnation: n.incarnation, Volatile: !n.voter && n.id != "n3", Seed: s.seed + uint64(n.incarnation),
		TrailingEntries: 20, MaxBatchBytes: 600, LearnerTimeout: 30 * time.Second,
	}
	if s.seed%2 == 0 {
		c.Jitter = time.Millisecond // causes split votes
	}
	for _, m := range s.nodes {
		c.Members = append(c.Members, Member{Node: m.id, Voter: m.voter})
	}
	n.core = New(c, n.disk)
	n.applied = n.disk.Snapshot.Index
	n.state = decodeState(n.disk.Snapshot.Data)
	n.restartAt = s.now
}

// crash stops a node and drops its memory. It also drops the durable state if loseFolder is set or the node is volatile.
func (s *sim) crash(n *simNode, loseFolder bool) {
	s.crashes++
	volatile := n.core != nil && n.core.config.Volatile
	n.core = nil
	n.restartAt = s.now.Add(time.Duration(s.random.IntN(4000)) * time.Millisecond)
	if loseFolder || volatile {
		n.disk = Restored{}
		n.incarnation++
	}
}

func (s *sim) step(n *simNode, e Event) {
	if n.core == nil {
		return
	}
	s.steps++
	commands := n.core.Step(s.now, e)
	crashAt := -1
	if s.faulty && s.random.IntN(3000) == 0 {
		crashAt = s.random.IntN(len(commands) + 1)
	}
	for i, o := range commands {
		if i == crashAt {
			s.tornSave(n, o)
			s.crash(n, false)
			return
		}
		s.execute(n, o)
	}
	s.checkLease()
}

// tornSave makes only a prefix of the entries durable, like a crash during the sync.
func (s *sim) tornSave(n *simNode, o Command) {
	save, ok := o.(Save)
	if !ok || save.Snapshot != nil || s.random.IntN(2) == 0 {
		return
	}
	save.Entries = save.Entries[:s.random.IntN(len(save.Entries)+1)]
	n.save(save)
}

func (n *simNode) save(o Save) {
	d := &n.disk
	d.State = o.State
	d.Commit = max(d.Commit, o.Commit)
	if o.Snapshot != nil {
		d.Snapshot, d.Base, d.BaseTerm = *o.Snapshot, o.Base, o.BaseTerm
		d.Entries = slices.Clone(o.Entries)
		return
	}
	if len(o.Entries) == 0 {
		return
	}
	d.Entries = append(slices.Clone(d.Entries[:o.Entries[0].Index-d.Base-1]), o.Entries...)
}

func (s *sim) execute(n *simNode, o Command) {
	switch o := o.(type) {
	case Save:
		n.save(o)
	case Send:
		s.sendMessage(n, o)
	case Apply:
		s.apply(n, o.Entries)
	case InstallSnapshot:
		s.installs++
		n.applied = o.Snapshot.Index
		n.state = decodeState(o.Snapshot.Data)
		if want, ok := s.states[n.applied]; ok && want != n.state {
			s.failf("%s installed a different state at index %d", n.id, n.applied)
		}
	case BecameLeader:
		s.checkLeader(n, o.Term)
	case RaiseIncarnation:
		s.failf("%s raised its incarnation to %d", n.id, o.Incarnation)
	default:
	}
}

func (s *sim) sendMessage(n *simNode, o Send) {
	b, err := EncodeMessage(o.Message)
	if err != nil {
		s.failf("encode: %v", err)
	}
	if s.faulty && s.random.IntN(20) == 0 {
		return
	}
	copies := 1
	if s.faulty && s.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(200+s.random.IntN(s.delay)) * time.Microsecond
		if s.faulty && s.random.IntN(50) == 0 {
			delay = time.Duration(s.random.IntN(3000)) * time.Millisecond
		}
		s.inTransit = append(s.inTransit, packet{to: o.To, message: b, at: s.now.Add(delay)})
	}
	if s.blocked[[2]csmodel.NodeID{n.id, o.To}] {
		s.inTransit = s.inTransit[:len(s.inTransit)-copies]
	}
}

func (s *sim) apply(n *simNode, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			s.failf("%s applies entry %d after %d", n.id, e.Index, n.applied)
		}
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || string(known.Data) != string(e.Data) || !known.At.Equal(e.At)) {
			s.failf("%s applies a different entry at index %d: term %d, earlier %d", n.id, e.Index, e.Term, known.Term)
		}
		if before, ok := s.committed[e.Index-1]; ok && e.At.Before(before.At) {
			s.failf("time of entry %d decreases", e.Index)
		}
		s.committed[e.Index] = e
		s.highest = max(s.highest, e.Index)
		n.applied = e.Index
		n.state = n.state*1_000_003 + uint64(e.Term)*31 + uint64(len(e.Data)) + e.Proposal.Sequence
		s.states[e.Index] = n.state
	}
}

func (s *sim) checkLeader(n *simNode, t csmodel.Term) {
	s.elections++
	name := fmt.Sprintf("%s/%d", n.id, n.incarnation)
	if other, ok := s.leaders[t]; ok {
		s.failf("election safety: %s and %s lead term %d", other, name, t)
	}
	s.leaders[t] = name
	for i := n.core.log.base + 1; i <= s.highest; i++ {
		if term, ok := n.core.log.term(i); !ok || term != s.committed[i].Term {
			s.failf("leader %s of term %d lacks committed entry %d", name, t, i)
		}
	}
}

func (s *sim) checkLease() {
	leading := ""
	for _, n := range s.nodes {
		if n.core == nil || !n.core.Leading(s.now) {
			continue
		}
		if leading != "" {
			s.failf("lease exclusivity: %s and %s both hold a lease", leading, n.id)
		}
		leading = string(n.id)
	}
}

// checkLogs checks the log matching property for all pairs of logs: if two entries have the same index and term, they and all
// entries before them must be equal.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			if a.core != nil && b.core != nil {
				s.compareLogs(a, b)
			}
		}
	}
}

func (s *sim) compareLogs(a, b *simNode) {
	equal := false
	for i := min(a.core.log.lastIndex(), b.core.log.lastIndex()); i > max(a.core.log.base, b.core.log.base); i-- {
		x := a.core.log.entries[i-a.core.log.base-1]
		y := b.core.log.entries[i-b.core.log.base-1]
		if x.Term == y.Term && (x.Proposal != y.Proposal || string(x.Data) != string(y.Data) || x.Index != y.Index) {
			s.failf("log matching: %s and %s differ at %d term %d", a.id, b.id, i, x.Term)
		}
		if equal && x.Term != y.Term {
			s.failf("log matching: %s and %s differ before a common entry at %d", a.id, b.id, i)
		}
		equal = equal || x.Term == y.Term
	}
}

func encodeState(v uint64) []byte { return fmt.Appendf(make([]byte, 0, 1500), "%01500d", v) }

func decodeState(b []byte) uint64 {
	var v uint64
	for _, d := range b {
		v = v*10 + uint64(d-'0')
	}
	return v
}
