package csentry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
	"cowslipstream.example/cowslipstream/internal/node/csstore"
)

// Pattern: clients send jobs without end. Guards against stores that are terminated because of accepted jobs, and against refusals of
// anything else: known jobs, cancellations, heartbeats and configurations still work.
func TestStoresWithoutMemoryRefuseJobsOnly(t *testing.T) {
	c := startCluster(t, func(o *csstore.Options) { o.Heap = 32 * csmodel.KiB })
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

// Pattern: a client comes back after the value of its job is gone. Guards against a refusal of a job that runs nevertheless (rule NOTRUN).
func TestJobWithoutValueIsRefused(t *testing.T) {
	c := startCluster(t)
	config := csjob.Config{Version: 1, Document: []byte("{}"), Pools: []csjob.Pool{{ID: "p"}}, Queues: []csjob.Queue{{
		Key: csjob.QueueKey{Host: "q.example", Prefix: "/jobs/"}, Name: "q", Pool: "p", Attempts: 1, Timeout: time.Second, Stretch: 1,
	}}}
	c.eventually("configuration", func() bool {
		v, err := c.stores[c.ips[0]].Configure(context.Background(), config)
		return err == nil && v == csjob.Accepted
	})
	submit := func(id string, remaining time.Duration) csrpc.JobAnswer {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return c.entry.Do(ctx, csrpc.JobRequest{
			Action: csrpc.ActionSubmit, Host: "q.example", Path: "/jobs/" + id, Remaining: remaining,
			Job: &csjob.Submission{Steps: []csjob.Step{{Tasks: 1, Resources: csjob.Resources{CPU: 100, Memory: 1}, Estimate: 50 * time.Millisecond}}},
		})
	}
	jobs := 0
	var refused string
	c.eventually("a refusal", func() bool { // none in the first seconds of a leader
		submit(fmt.Sprintf("%016x", jobs), time.Second) // tells the entry how long the clients wait
		refused = fmt.Sprintf("%016x", jobs+1)
		jobs += 2
		a := submit(refused, 100*time.Millisecond)
		return a.Result == csrpc.ResultRefused && a.Retry > 0
	})
	if a := c.do(csrpc.ActionState, refused); a.Result != csrpc.ResultNoJob {
		t.Errorf("got result %d for the state of a refused job, want %d", a.Result, csrpc.ResultNoJob)
	}
	if a := submit(refused, time.Second); a.Result != csrpc.ResultDone {
		t.Errorf("got result %d for the same job sent anew, want %d", a.Result, csrpc.ResultDone)
	}
}
