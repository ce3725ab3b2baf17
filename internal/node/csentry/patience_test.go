package csentry

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// Guards against a client account that was refused and comes back being taken for one that asks for the first time.
func TestPatienceTellsHowLongClientsHaveWaited(t *testing.T) {
	type request struct {
		at        time.Duration
		path      string
		remaining time.Duration
		want      time.Duration
	}
	cases := []struct {
		name     string
		requests []request
	}{
		{"first requests", []request{{0, "/a/1", 3 * time.Second, 0}, {time.Second, "/a/2", 2992 * time.Millisecond, 0}}},
		{"a refused request comes back", []request{{0, "/a/1", 3 * time.Second, 0}, {time.Second, "/a/2", 1800 * time.Millisecond, 1200 * time.Millisecond}}},
		{"queues apart", []request{{0, "/a/1", 3 * time.Second, 0}, {time.Second, "/b/2", 1800 * time.Millisecond, 0}}},
		{"no deadline named", []request{{0, "/a/1", 3 * time.Second, 0}, {time.Second, "/a/2", 0, 0}}},
		{"in the next window", []request{{0, "/a/1", 3 * time.Second, 0}, {patienceWindow, "/a/2", 2 * time.Second, time.Second}}},
		{"forgotten after two windows", []request{
			{0, "/a/1", 3 * time.Second, 0}, {patienceWindow, "/a/2", 2 * time.Second, time.Second}, {2 * patienceWindow, "/a/3", 2 * time.Second, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p patience
			start := time.Unix(1_800_000_000, 0)
			for _, r := range c.requests {
				got := p.waited(start.Add(r.at), csrpc.JobRequest{Host: "h", Path: r.path, Remaining: r.remaining})
				if got != r.want {
					t.Errorf("%s at %s: got %s, want %s", r.path, r.at, got, r.want)
				}
			}
		})
	}
}

// Guards against unbounded memory where each request has a path of its own.
func TestPatienceIsBounded(t *testing.T) {
	var p patience
	for i := range 3 * patienceQueues {
		p.waited(time.Unix(0, 0), csrpc.JobRequest{Path: "/" + time.Duration(i).String() + "/1", Remaining: time.Second})
	}
	if got := len(p.queues); got > patienceQueues {
		t.Errorf("got %d queues, want at most %d", got, patienceQueues)
	}
}
