package csgroup

import (
	"testing"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csraft"
)

// TestChannelOf guards against entries that overtake each other: messages are ordered only within a channel, and small
// entries may directly follow a large configuration.
func TestChannelOf(t *testing.T) {
	tests := []struct {
		name string
		kind csraft.MessageKind
		size int
		want cslink.Channel
	}{
		{"small entries", csraft.MessageAppend, 100, cslink.Control},
		{"large entries", csraft.MessageAppend, 1 << 20, cslink.Control},
		{"reply", csraft.MessageAppendReply, 40, cslink.Control},
		{"part of a snapshot", csraft.MessageSnapshotChunk, 256 << 10, cslink.Data},
		{"copy of committed entries", csraft.MessageFetchReply, 256 << 10, cslink.Data},
		{"large proposal", csraft.MessagePropose, 1 << 20, cslink.Data},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := ChannelOf(tt.kind, tt.size); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
