package csgroup

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Guards against a proposal on an isolated node that waits until its context ends and then reports an unknown outcome although
// it was never sent (csproof TestZoneCut). The outcome of a proposal that was sent must stay unknown.
func TestUnsentProposalsFailWithoutLeader(t *testing.T) {
	const giveUp = 3 * time.Second
	tests := []struct {
		name  string
		id    csmodel.NodeID // empty for any follower
		wait  time.Duration  // from the isolation to the proposal
		want  error
		limit time.Duration // upper limit, from the isolation
	}{
		{"follower without a leader", "", csraft.DefaultElectionTimeout + csraft.DefaultElectionJitter, ErrNoLeader, giveUp},
		{"learner without a leader", "l0", csraft.DefaultElectionTimeout + csraft.DefaultElectionJitter, ErrNoLeader, giveUp},
		{"timeout already passed", "", giveUp + time.Second, ErrNoLeader, giveUp + time.Second},
		{"sent to the lost leader", "", 0, ErrTimeout, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 1)
			c.awaitLeader()
			id := tt.id
			if id == "" {
				id = c.follower().id
			}
			c.noLeaderTimeout = giveUp
			c.kill(id)
			c.start(id)
			g := c.nodes[id].group
			c.waitUntil("restarted node", 10*time.Second, func() bool { return g.Status().Leader != "" })
			c.advance(3 * time.Second) // until the relays that it learned of at its start have expired
			c.isolate(id, true)
			isolatedAt := c.clock.Now()
			c.advance(tt.wait)
			_, err := c.propose(g, 10*time.Second)
			wantErr(t, err, tt.want)
			if got, most := c.clock.Since(isolatedAt), tt.limit+100*time.Millisecond; got > most {
				t.Errorf("got the outcome %v after the isolation, want at most %v", got, most)
			}
		})
	}
}
