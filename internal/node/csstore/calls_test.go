package csstore

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Guards against a client that names a long deadline making all other submissions at its entry look late.
func TestWaitedIsBoundedByTheTimeoutOfTheQueue(t *testing.T) {
	cases := []struct {
		name    string
		request csrpc.JobRequest
		want    time.Duration
	}{
		{"new", csrpc.JobRequest{Remaining: 3 * time.Second}, 0},
		{"returned", csrpc.JobRequest{Remaining: time.Second, Waited: 2 * time.Second}, 2 * time.Second},
		{"new beside one that names an hour", csrpc.JobRequest{Remaining: 3 * time.Second, Waited: time.Hour}, 0},
		{"returned beside one that names an hour", csrpc.JobRequest{Remaining: time.Second, Waited: time.Hour}, 2 * time.Second},
		{"names more than the queue grants", csrpc.JobRequest{Remaining: time.Hour}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := waited(c.request, 3*time.Second); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a cancellation that is acknowledged without a trace (rule UNASKED): the submission of the job may arrive later.
func TestCancellationOfUnknownJobIsRecorded(t *testing.T) {
	var table csjob.Table
	key := csjob.QueueKey{Host: "queue.example", Prefix: "/jobs/"}
	config := csjob.Config{
		Version: 1, Pools: []csjob.Pool{{ID: "p"}}, Queues: []csjob.Queue{{Key: key, Name: "q", Pool: "p", Attempts: 1, Timeout: time.Second}},
	}
	b, err := csjob.Command{Config: &config}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(csraft.Entry{Index: 1, Data: b})
	cases := []struct {
		name   string
		action csrpc.JobAction
		path   string
		want   csrpc.JobResult // zero asks for a command
	}{
		{"cancellation", csrpc.ActionCancel, "/jobs/0123456789abcdef", 0},
		{"cancellation with a malformed identifier", csrpc.ActionCancel, "/jobs/0", csrpc.ResultNoJob},
		{"cancellation in an unknown queue", csrpc.ActionCancel, "/0123456789abcdef", csrpc.ResultNoQueue},
		{"state", csrpc.ActionState, "/jobs/0123456789abcdef", csrpc.ResultNoJob},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := jobCall{request: csrpc.JobRequest{Action: c.action, Host: key.Host, Path: c.path}}
			if got := j.look(&table).Result; got != c.want {
				t.Errorf("got result %d, want %d", got, c.want)
			}
		})
	}
}
