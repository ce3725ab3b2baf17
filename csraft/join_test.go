package csraft

import "testing"

// TestJoinOfAnEarlierNumberIsAnswered guards against a new folder that is ignored for good because the clock that numbered it
// was set back: it learns the number that the group knows only from the answer to its question.
func TestJoinOfAnEarlierNumberIsAnswered(t *testing.T) {
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
