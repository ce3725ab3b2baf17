package csrelay

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

// server is the part of a relay that makes the calls of a leader.
type server struct {
	o     Options
	slots chan struct{} // one for each call under way

	mu      sync.Mutex
	boxes   map[csmodel.NodeID]*box
	stores  []member // as the leader told last
	toldAt  time.Time
	carried [len(outcomeNames)]int
	since   time.Time
}

// box holds the results for the next report to a leader.
type box struct {
	results []result
	signs   []csrun.SignOfLife
	arrived []time.Time // of the signs
	size    int
	armed   bool // a report is due after resultsDelay
}

func newServer(o Options) *server {
	return &server{o: o, slots: make(chan struct{}, maxCalls), boxes: map[csmodel.NodeID]*box{}}
}

// take begins the calls of a message. It does not block.
func (s *server) take(from csmodel.NodeID, m orders) {
	if len(m.Stores) > 0 {
		s.mu.Lock()
		s.stores, s.toldAt = m.Stores, s.o.Clock.Now()
		s.mu.Unlock()
	}
	for _, o := range m.Orders {
		if o.Spec < 0 || o.Spec >= len(m.Specs) {
			s.answer(from, result{ID: o.ID, Outcome: outcomeMalformed, Cause: "no spec"})
			continue
		}
		select {
		case s.slots <- struct{}{}:
			go func() {
				defer func() { <-s.slots }()
				s.answer(from, s.carry(o, m.Specs[o.Spec], m.Stamp))
			}()
		default:
			s.answer(from, result{ID: o.ID, Outcome: outcomeFull})
		}
	}
}

// expired tells whether an order that answers a report of this store is too old. A stamp of an earlier process may lie in
// the future, because the time of day can be set back.
func (s *server) expired(stamp int64) bool {
	age := time.Duration(s.o.Clock.Now().UnixNano() - stamp)
	return age < 0 || age >= orderLimit
}

// carry makes one call, unless the order has become too old meanwhile.
func (s *server) carry(o order, spec string, stamp int64) result {
	ctx, cancel := context.WithTimeout(context.Background(), o.Limit)
	defer cancel()
	if s.expired(stamp) {
		return result{ID: o.ID, Outcome: outcomeExpired}
	}
	t := targetOf(o)
	var look csrun.PollResponse
	var err error
	switch o.Kind {
	case orderStart:
		look.Reply, err = s.o.Workers.Start(ctx, t, csrun.StartOrder{
			Task: o.Task, Attempt: o.Attempt, Spec: spec, LeaseEnd: o.Until, Fence: o.Fence, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	case orderStop:
		look.Reply, err = s.o.Workers.Stop(ctx, t, csrun.StopOrder{Task: o.Task, Attempt: o.Attempt, Fence: o.Fence})
	case orderLook:
		look, err = s.o.Workers.Poll(ctx, t, csrun.PollRequest{LeaseEnd: o.Until, Fence: o.Fence, Acknowledged: o.Noted, Wait: o.Wait})
	default:
		return result{ID: o.ID, Outcome: outcomeMalformed, Cause: "unknown order"}
	}
	switch {
	case errors.Is(err, csrun.ErrNoAnswer):
		return result{ID: o.ID, Outcome: outcomeUnanswered, Cause: strings.TrimPrefix(err.Error(), csrun.ErrNoAnswer.Error()+": ")}
	case err != nil:
		return result{ID: o.ID, Outcome: outcomeMalformed, Cause: err.Error()}
	default:
		return resultOf(o.ID, look)
	}
}

// answer adds a result to the next report.
func (s *server) answer(to csmodel.NodeID, r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried[r.Outcome]++
	s.o.Metrics.calls.WithLabelValues("carried_" + outcomeNames[r.Outcome]).Inc()
	b := s.box(to)
	b.results = append(b.results, r)
	b.size += r.size()
	switch {
	case b.size >= fullMessage:
		s.flush(to, b)
	case !b.armed:
		b.armed = true
		s.o.Clock.AfterFunc(resultsDelay, func() { s.flushDue(to) })
	}
}

// box returns the results for a leader. There are few: one for each store that has led.
func (s *server) box(to csmodel.NodeID) *box {
	b := s.boxes[to]
	if b == nil {
		b = &box{}
		s.boxes[to] = b
	}
	return b
}

func (s *server) flushDue(to csmodel.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.box(to)
	b.armed = false
	if len(b.results) > 0 {
		s.flush(to, b)
	}
}

// report sends the results and tells the leader that this store runs.
func (s *server) report(to csmodel.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush(to, s.box(to))
	s.log()
}

// flush sends a report. The caller holds the lock.
func (s *server) flush(to csmodel.NodeID, b *box) {
	now := s.o.Clock.Now()
	m := report{Stamp: now.UnixNano(), Zone: s.o.Zone, Results: b.results, Signs: b.signs}
	for i := range m.Signs {
		m.Signs[i].Age = now.Sub(b.arrived[i])
	}
	b.results, b.signs, b.arrived, b.size = nil, nil, nil, 0
	// A leader that gets no report makes its calls by another way, and counts calls without a result as unanswered.
	if err := s.o.Sender.Send(to, cslink.Calls, KindReport, encode(m), ""); err != nil && len(m.Results) > 0 {
		s.o.Log.Warn("results not queued", zap.String("peer", string(to)), zap.Int("results", len(m.Results)), zap.Error(err))
	}
}

// log writes what was relayed since the last line. The caller holds the lock.
func (s *server) log() {
	now := s.o.Clock.Now()
	if now.Sub(s.since) < reportLog {
		return
	}
	if s.carried != [len(outcomeNames)]int{} {
		s.o.Log.Info("relayed", zap.Duration("for", now.Sub(s.since)), zap.Int("answered", s.carried[outcomeAnswered]),
			zap.Int("unanswered", s.carried[outcomeUnanswered]), zap.Int("malformed", s.carried[outcomeMalformed]),
			zap.Int("expired", s.carried[outcomeExpired]), zap.Int("full", s.carried[outcomeFull]), zap.Int("under_way", len(s.slots)))
	}
	s.carried, s.since = [len(outcomeNames)]int{}, now
}

// sign passes on a heartbeat that changes nothing with the next report. It reports false where too many wait.
func (s *server) sign(to csmodel.NodeID, sign csrun.SignOfLife) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.box(to)
	if len(b.signs) >= maxSigns {
		return false
	}
	b.signs = append(b.signs, sign)
	b.arrived = append(b.arrived, s.o.Clock.Now())
	return true
}

// responsible returns the store that calls a target, and nothing where the leader has not told lately which stores take part.
func (s *server) responsible(t csjob.Target) csmodel.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stores) == 0 || s.o.Clock.Now().Sub(s.toldAt) > toldFor {
		return ""
	}
	return rank(s.stores, t)[0]
}
