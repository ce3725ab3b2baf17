package csraft

import "testing"

// Guards against a panic on a message of a faulty peer, and against one that changes when it is sent on.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: MessageVote, From: "a", Incarnation: 1, Term: 2},
		{Kind: MessageAppend, From: "a", Incarnation: 1, Term: 2, Entries: []Entry{{Term: 2, Index: 1, Data: []byte("x")}}},
	} {
		data, err := EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		if _, err := EncodeMessage(m); err != nil {
			t.Errorf("decoded message is not encoded: %v", err)
		}
	})
}
