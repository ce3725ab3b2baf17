package csraft

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Member is one node of a group. A member that is no voter is a learner: it replicates the log without a vote.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Node        csmodel.NodeID
	Incarnation csmodel.Incarnation
	Voter       bool
}

// Membership is the set of members that an entry of the log defines.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Members []Member // in ascending order of Node
	// Excluded holds the incarnations that an operator removed or demoted. The leader does not add or promote them
	// automatically. A newer incarnation of the node is not affected.
	Excluded []Member
}

func (m Membership) find(n csmodel.NodeID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.Members, n, func(a Member, n csmodel.NodeID) int { return cmp.Compare(a.Node, n) })
	if !ok {
		return Member{}, false
	}
	return m.Members[i], true
}

// has reports whether exactly this incarnation is a member.
func (m Membership) has(n csmodel.NodeID, i csmodel.Incarnation) bool {
	a, ok := m.find(n)
	return ok && a.Incarnation == i
}

func (m Membership) voter(n csmodel.NodeID, i csmodel.Incarnation) bool {
	a, ok := m.find(n)
	return ok && a.Incarnation == i && a.Voter
}

func (m Membership) excluded(a Member) bool {
	return slices.ContainsFunc(m.Excluded, func(x Member) bool { return x.Node == a.Node && x.Incarnation >= a.Incarnation })
}

// Voters returns the members that vote.
func (m Membership) Voters() []Member {
	var out []Member
	for _, a := range m.Members {
		if a.Voter {
			out = append(out, a)
		}
	}
	return out
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Excluded: slices.Clone(m.Excluded)}
}

// withMember returns a copy in which a is the only member of its node.
func (m Membership) withMember(a Member) Membership {
	out := m.withoutMember(a.Node)
	out.Members = append(out.Members, a)
	slices.SortFunc(out.Members, func(x, y Member) int { return cmp.Compare(x.Node, y.Node) })
	return out
}

func (m Membership) withoutMember(n csmodel.NodeID) Membership {
	out := m.clone()
	out.Members = slices.DeleteFunc(out.Members, func(x Member) bool { return x.Node == n })
	return out
}

// exclude returns a copy in which the leader does not add or promote this incarnation automatically.
func (m Membership) exclude(a Member) Membership {
	out := m.clearExclusion(a.Node)
	out.Excluded = append(out.Excluded, Member{Node: a.Node, Incarnation: a.Incarnation})
	return out
}

func (m Membership) clearExclusion(n csmodel.NodeID) Membership {
	out := m.clone()
	out.Excluded = slices.DeleteFunc(out.Excluded, func(x Member) bool { return x.Node == n })
	return out
}

// voterChanges returns the number of voters that are in only one of the two memberships.
func voterChanges(a, b Membership) int {
	n := 0
	for _, v := range a.Voters() {
		if !b.voter(v.Node, v.Incarnation) {
			n++
		}
	}
	for _, v := range b.Voters() {
		if !a.voter(v.Node, v.Incarnation) {
			n++
		}
	}
	return n
}

func quorum(voters int) int { return voters/2 + 1 }

// EncodeMembership returns the CBOR encoding of a membership, the Data of an EntryMembership.
func EncodeMembership(m Membership) ([]byte, error) { return cbor.Marshal(m) }

// DecodeMembership decodes the Data of an EntryMembership. It returns an error if the data is not valid.
func DecodeMembership(b []byte) (Membership, error) {
	var m Membership
	err := cbor.Unmarshal(b, &m)
	return m, err
}
