package csstore

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Guards against a job that is accepted and can never run within the quota of its account.
func TestSubmissionBeyondQuotaIsRefused(t *testing.T) {
	var table csjob.Table
	key := csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
	b, err := csjob.Command{Config: &csjob.Config{
		Version: 1, Pools: []csjob.Pool{{ID: "p"}}, Queues: []csjob.Queue{{Key: key, Name: "q", Pool: "p", Attempts: 1, Timeout: time.Second, Open: true}},
		Accounts: []csjob.Account{{ID: "a", Keys: []csjob.KeyDigest{csjob.DigestKey("secret")}, Limit: csjob.Resources{CPU: 2000}}},
	}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(csraft.Entry{Index: 1, Data: b})
	one, gang := csjob.Step{Tasks: 3, Resources: csjob.Resources{CPU: 1000}}, csjob.Step{Tasks: 3, Gang: true, Resources: csjob.Resources{CPU: 1000}}
	cases := []struct {
		name  string
		key   string
		steps []csjob.Step
		want  csrpc.JobResult // zero accepts
	}{
		{"one task at a time", "secret", []csjob.Step{one}, 0},
		{"a later step is a gang beyond the quota", "secret", []csjob.Step{one, gang}, csrpc.ResultInvalid},
		{"the same without an account", "", []csjob.Step{one, gang}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := jobCall{store: &Store{log: zap.NewNop()}, request: csrpc.JobRequest{
				Action: csrpc.ActionSubmit, Host: key.Host, Path: "/jobs/0123456789abcdef", Key: c.key, Job: &csjob.Submission{Steps: c.steps},
			}}
			if got := j.look(&table).Result; got != c.want {
				t.Errorf("got result %d, want %d", got, c.want)
			}
		})
	}
}
