package csgroup

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Guards against a call to an isolated node that waits until its context ends with an unknown outcome,
// although the node has not sent it (csproof TestZoneCut). The outcome of a call that was sent must stay unknown.
func TestUnsentProposalsFailWithoutLeader(t *testing.T) {
	const giveUp = 3 * time.Second
	tests := []struct {
		name string
		id   csmodel.NodeID // one of the nodes or empty for a voter that does not lead
		wait time.Duration  // from the cut to the proposal
		want error
		took time.Duration // from the cut
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
			c.advance(3 * time.Second) // relays that it learned of at its start have expired
			c.isolate(id, true)
			cut := c.clock.Now()
			c.advance(tt.wait)
			_, err := c.propose(g, 10*time.Second)
			wantErr(t, err, tt.want)
			if got, most := c.clock.Since(cut), tt.took+100*time.Millisecond; got > most {
				t.Errorf("ended %v after the cut, want at most %v", got, most)
			}
		})
	}
}
