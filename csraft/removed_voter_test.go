package csraft

import (
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// TestVoterRemovedByAnUncommittedEntryCampaigns guards against a group that never elects a leader again. The leader removes a
// voter and loses its disk while only that voter has the entry, so no other voter has a log long enough to get its vote.
func TestVoterRemovedByAnUncommittedEntryCampaigns(t *testing.T) {
	members := Membership{}
	for _, n := range []csmodel.NodeID{"a", "b", "c", "d"} {
		members = members.withMember(Member{Node: n, Incarnation: 1, Voter: true})
	}
	var entries []Entry
	for i, m := range []Membership{members, members.withoutMember("b")} {
		data, err := EncodeMembership(m)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, Entry{Term: 1, Index: csmodel.Index(i + 1), Kind: EntryMembership, Data: data})
	}
	x := &network{now: time.Unix(1000, 0), nodes: map[csmodel.NodeID]*Core{}}
	for n, known := range map[csmodel.NodeID]int{"b": 2, "c": 1, "d": 1} {
		x.nodes[n] = New(Config{Self: n, Incarnation: 1, Members: members.Members}, Restored{State: HardState{Term: 1}, Entries: entries[:known]})
	}
	x.advance(20 * time.Second)
	if x.leader() == "" {
		t.Error("no leader")
	}
}
