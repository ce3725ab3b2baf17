package csraft

import "testing"

// TestJoinOfOldIncarnationIsAnswered guards against a new folder that is ignored permanently because its incarnation was taken
// from a clock that was set back: only the reply to its join request contains the incarnation that the group knows.
func TestJoinOfOldIncarnationIsAnswered(t *testing.T) {
	member, now := testCore(t, "b", HardState{Term: 4})
	known, _ := member.log.membership().find("a")
	fresh := New(Config{Self: "a", Incarnation: known.Incarnation - 1, Members: testMembers.Members}, Restored{})
	for _, m := range sent(fresh.Step(now, Tick{}), MessageJoin) {
		m.From = "a"
		for _, reply := range sent(member.Step(now, Receive{Message: m}), MessageJoinReply) {
			reply.From = "b"
			fresh.Step(now, Receive{Message: reply})
		}
	}
	if got, want := fresh.config.Incarnation, known.Incarnation+1; got != want {
		t.Errorf("got incarnation %d, want %d", got, want)
	}
}
