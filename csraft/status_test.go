package csraft

import (
	"testing"
	"time"
)

// TestFormerLeaderReportsQuorumContact guards against a leader that is reported stale from when it steps down until it hears
// from the next one, because its last contact dates from before its own term.
func TestFormerLeaderReportsQuorumContact(t *testing.T) {
	const tick = 50 * time.Millisecond
	c, now, ack := electedLeader(t)
	for range 100 {
		now = now.Add(tick)
		c.Step(now, Tick{})
		ack(now)
	}
	lastAck := now
	if got, want := c.Status(now).LastContact, now; got != want {
		t.Errorf("got contact %v of the leader, want %v", got, want)
	}
	for end := now.Add(2 * DefaultElectionTimeout); c.role == Leader && now.Before(end); {
		now = now.Add(tick)
		c.Step(now, Tick{})
	}
	if c.role == Leader {
		t.Fatal("still leader without acknowledgements")
	}
	if got := c.Status(now).LastContact; got.After(lastAck) || lastAck.Sub(got) > DefaultHeartbeat {
		t.Errorf("got contact %v after it stepped down, want that of the last acknowledged round before %v", got, lastAck)
	}
	receivedAt := now.Add(tick)
	c.Step(receivedAt, Receive{Message: Message{Kind: MessageAppend, From: "b", Incarnation: 1, Term: 9}})
	if got, want := c.Status(receivedAt).LastContact, receivedAt; got != want {
		t.Errorf("got contact %v after a message of the next leader, want %v", got, want)
	}
}
