package csstore

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Guards against requests with unknown keys that are served, requests of an account that learn of another account's jobs, and open queues and
// unknown routes that ask for keys.
func TestKeysOfRequests(t *testing.T) {
	queue := func(prefix string, open bool) csjob.Queue {
		return csjob.Queue{Key: csjob.QueueKey{Host: "h", Prefix: prefix}, Name: prefix, Pool: "p", Attempts: 1, Timeout: time.Second, Open: open}
	}
	config := csjob.Config{
		Version: 1, Pools: []csjob.Pool{{ID: "p"}}, RequireKey: true,
		Queues: []csjob.Queue{queue("/closed/", false), queue("/open/", true), queue("/mixed/", false), queue("/mixed/open/", true)},
		Accounts: []csjob.Account{
			{ID: "a", Keys: []csjob.KeyDigest{csjob.DigestKey("ka")}}, {ID: "b", Keys: []csjob.KeyDigest{csjob.DigestKey("kb")}},
		},
	}
	var table csjob.Table
	steps := []csjob.Step{{Tasks: 1}}
	for i, c := range []csjob.Command{
		{Config: &config},
		{Submit: &csjob.Submission{ID: "000000000000000a", Queue: config.Queues[0].Key, Steps: steps, Account: "a"}},
		{Submit: &csjob.Submission{ID: "000000000000000c", Queue: config.Queues[1].Key, Steps: steps}},
	} {
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got := csjob.ParseVerdict(table.Apply(csraft.Entry{Index: csmodel.Index(i + 1), Data: b})); got != csjob.Accepted {
			t.Fatalf("command %d: got verdict %d, want accepted", i, got)
		}
	}
	t.Run("without accounts", func(t *testing.T) { // nothing is added to the answers
		open := csjob.Config{Version: 2, Pools: config.Pools, Queues: config.Queues, Document: []byte("2")}
		b, err := csjob.Command{Config: &open}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var table csjob.Table
		table.Apply(csraft.Entry{Index: 1, Data: b})
		j := jobCall{request: csrpc.JobRequest{Action: csrpc.ActionState, Host: "h", Path: "/closed/", Key: "kx"}}
		if got := j.look(&table); got.Result != csrpc.ResultDone || j.uniform != "" || j.account != "" {
			t.Errorf("got result %d, prefix %q and account %q, want %d and nothing else", got.Result, j.uniform, j.account, csrpc.ResultDone)
		}
	})
	const change = csrpc.JobResult(0) // the request asks for a command
	cases := []struct {
		name   string
		action csrpc.JobAction
		path   string
		key    string
		want   csrpc.JobResult
		prefix string
		owner  csmodel.AccountID
	}{
		{"own job read", csrpc.ActionState, "/closed/000000000000000a", "ka", csrpc.ResultDone, "", "a"},
		{"own job repeated", csrpc.ActionSubmit, "/closed/000000000000000a", "ka", csrpc.ResultDone, "", "a"},
		{"own job cancelled", csrpc.ActionCancel, "/closed/000000000000000a", "ka", change, "", "a"},
		{"job of another account read", csrpc.ActionState, "/closed/000000000000000a", "kb", csrpc.ResultNoJob, "", "b"},
		{"unknown job read", csrpc.ActionState, "/closed/000000000000000b", "kb", csrpc.ResultNoJob, "", "b"},
		{"job of another account cancelled", csrpc.ActionCancel, "/closed/000000000000000a", "kb", change, "", "b"},
		{"unknown job cancelled", csrpc.ActionCancel, "/closed/000000000000000b", "kb", change, "", "b"},
		{"identifier of another account", csrpc.ActionSubmit, "/closed/000000000000000a", "kb", csrpc.ResultInvalid, "", "b"},
		{"new job", csrpc.ActionSubmit, "/closed/000000000000000d", "kb", change, "", "b"},
		{"new job, unknown key", csrpc.ActionSubmit, "/closed/000000000000000d", "kx", csrpc.ResultUnauthorized, "/closed/", ""},
		{"repeated job, unknown key", csrpc.ActionSubmit, "/closed/000000000000000a", "kx", csrpc.ResultUnauthorized, "/closed/", ""},
		{"state, no key", csrpc.ActionState, "/closed/000000000000000a", "", csrpc.ResultUnauthorized, "/closed/", ""},
		{"cancellation, no key", csrpc.ActionCancel, "/closed/000000000000000a", "", csrpc.ResultUnauthorized, "/closed/", ""},
		{"queue, no key", csrpc.ActionState, "/closed/", "", csrpc.ResultUnauthorized, "/closed/", ""},
		{"queue with an open one below, no key", csrpc.ActionState, "/mixed/", "", csrpc.ResultUnauthorized, "", ""},
		{"unknown route, unknown key", csrpc.ActionSubmit, "/other/000000000000000d", "kx", csrpc.ResultNoQueue, "", ""},
		{"open queue, no key", csrpc.ActionSubmit, "/open/000000000000000d", "", change, "/open/", ""},
		{"open queue, unknown key", csrpc.ActionState, "/open/000000000000000c", "kx", csrpc.ResultDone, "/open/", ""},
		{"open queue, key of an account", csrpc.ActionSubmit, "/mixed/open/000000000000000d", "ka", change, "/mixed/open/", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := csrpc.JobRequest{Action: c.action, Host: "h", Path: c.path, Key: c.key}
			if c.action == csrpc.ActionSubmit {
				request.Job = &csjob.Submission{Steps: steps}
			}
			j := jobCall{request: request}
			if got := j.look(&table).Result; got != c.want {
				t.Errorf("got result %d, want %d", got, c.want)
			}
			if j.uniform != c.prefix {
				t.Errorf("got prefix %q, want %q", j.uniform, c.prefix)
			}
			if got := j.owner(); got != c.owner {
				t.Errorf("got owner %q, want %q", got, c.owner)
			}
		})
	}
}
