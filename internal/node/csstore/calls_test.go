package csstore

import (
	"testing"
	"time"

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
