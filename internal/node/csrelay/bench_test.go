package csrelay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
	"cowslipstream.example/cowslipstream/internal/node/csrelay"
)

// counter counts the messages that pass between a leader and its relays.
type counter struct {
	to              map[csmodel.NodeID]*csrelay.Relay
	self            csmodel.NodeID
	mu              sync.Mutex
	messages, bytes int
}

func (c *counter) Send(to csmodel.NodeID, _ cslink.Channel, kind cslink.Kind, payload []byte, _ string) error {
	c.mu.Lock()
	c.messages++
	c.bytes += len(payload)
	c.mu.Unlock()
	if r := c.to[to]; r != nil {
		go func() { _, _ = r.Receive(c.self, kind, payload) }()
	}
	return nil
}

// BenchmarkRelayedStart is a start through another store without link and target: what the leader and the store spend on it.
func BenchmarkRelayedStart(b *testing.B) {
	stores := map[csmodel.NodeID]*csrelay.Relay{}
	work := &counter{to: stores, self: leader}
	back := &counter{to: stores, self: "store/2"}
	for name, sender := range map[csmodel.NodeID]*counter{leader: work, "store/2": back} {
		r := csrelay.New(csrelay.Options{
			Self: name, Zone: "a", Sender: sender, Workers: quick{}, Clock: newSkewed(), Log: zap.NewNop(),
			Metrics: csrelay.NewMetrics(prometheus.NewRegistry()), Leader: func() csmodel.NodeID { return leader }, Signs: func([]csrun.SignOfLife) {},
		})
		b.Cleanup(r.Close)
		stores[name] = r
	}
	stores["store/2"].Report(leader)
	time.Sleep(20 * time.Millisecond)
	const round = 40 // calls at once
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		var all sync.WaitGroup
		for i := range round {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				t := target(csjob.TargetID(fmt.Sprintf("t%d", i)), "a")
				if _, err := stores[leader].Start(ctx, t, csrun.StartOrder{Spec: "spec", Attempt: 1}); err != nil {
					b.Error(err)
				}
			})
		}
		all.Wait()
	}
	calls := float64(b.N) * round
	b.ReportMetric(float64(work.messages+back.messages)/calls, "messages/call")
	b.ReportMetric(float64(work.bytes+back.bytes)/calls, "bytes/call")
}

// quick answers at once.
type quick struct{}

func (quick) Start(context.Context, csjob.Target, csrun.StartOrder) (csrun.Reply, error) {
	return csrun.Reply{Clock: time.Second}, nil
}

func (quick) Stop(context.Context, csjob.Target, csrun.StopOrder) (csrun.Reply, error) {
	return csrun.Reply{Clock: time.Second}, nil
}

func (quick) Poll(context.Context, csjob.Target, csrun.PollRequest) (csrun.PollResponse, error) {
	return csrun.PollResponse{}, nil
}
