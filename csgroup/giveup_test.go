package csgroup

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Guards against a call to an isolated node that waits until its caller gives up, who then cannot tell whether it ran, although
// the node knows that it has not sent it (csproof TestZoneCut). A call that was sent must stay unknown.
func TestUnsentProposalsGiveUp(t *testing.T) {
	const giveUp = 3 * time.Second
	tests := []struct {
		name string
		id   csmodel.NodeID // one of the nodes or empty for a voter that does not lead
		wait time.Duration  // from the cut to the proposal
		want error
		took time.Duration // from the cut
	}{
		{"follower without a leader", "", csraft.DefaultElection + csraft.DefaultJitter, ErrNoLeader, giveUp},
		{"learner without a leader", "l0", csraft.DefaultElection + csraft.DefaultJitter, ErrNoLeader, giveUp},
		{"silence is over", "", giveUp + time.Second, ErrNoLeader, giveUp + time.Second},
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
			c.giveUp = giveUp
			c.kill(id)
			c.start(id)
			g := c.nodes[id].group
			c.until("restarted node", 10*time.Second, func() bool { return g.Status().Leader != "" })
			c.pass(3 * time.Second) // what other members told it at its start is no longer a way to the leader
			c.isolate(id, true)
			cut := c.clock.Now()
			c.pass(tt.wait)
			_, err := c.propose(g, 10*time.Second)
			wantErr(t, err, tt.want)
			if got, most := c.clock.Since(cut), tt.took+100*time.Millisecond; got > most {
				t.Errorf("ended %v after the cut, want at most %v", got, most)
			}
		})
	}
}
