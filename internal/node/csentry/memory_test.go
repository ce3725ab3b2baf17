package csentry_test

import (
	"context"
	"fmt"
	"testing"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
	"cowslipstream.example/cowslipstream/internal/node/csstore"
)

// Pattern: clients send jobs without end. Guards against stores that are terminated because of accepted jobs, and against refusals of
// anything else: known jobs, cancellations, heartbeats and configurations still work.
func TestStoresWithoutMemoryRefuseJobsOnly(t *testing.T) {
	c := startCluster(t, func(o *csstore.Options) { o.Memory = 8 * csmodel.KiB })
	c.configure()
	accepted := []string{}
	c.eventually("a refusal", func() bool { // none in the first seconds of a leader
		id := fmt.Sprintf("%016x", len(accepted))
		a := c.do(csrpc.ActionSubmit, id)
		if a.Result == csrpc.ResultDone {
			accepted = append(accepted, id)
		}
		return a.Result == csrpc.ResultBusy && a.Retry > 0
	})
	if len(accepted) < 2 {
		t.Errorf("got %d jobs accepted, want those for which there is memory", len(accepted))
	}
	if a := c.do(csrpc.ActionSubmit, accepted[0]); a.Result != csrpc.ResultDone {
		t.Errorf("got result %d for a job that is known, want %d", a.Result, csrpc.ResultDone)
	}
	for _, id := range []string{accepted[len(accepted)-1], "00000000000000ff"} {
		if a := c.do(csrpc.ActionCancel, id); a.Result != csrpc.ResultDone && a.Result != csrpc.ResultNoJob {
			t.Errorf("got result %d for the cancellation of %s, want it taken", a.Result, id)
		}
	}
	if c.beat() == "" {
		t.Error("got no store that takes a heartbeat")
	}
	config := csjob.Config{Version: 2, Document: []byte("{}"), Pools: []csjob.Pool{{ID: "p"}}}
	c.eventually("another configuration", func() bool {
		v, err := c.stores[c.ips[0]].Configure(context.Background(), config)
		return err == nil && v == csjob.Accepted
	})
}
