package csgroup

import (
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csraft"
)

// maxControlBytes is the size in bytes above which a message uses the data channel if its order does not matter.
const maxControlBytes = 16 << 10

// ChannelOf returns the channel of a link that a message of a group uses. Entries use one channel whatever their size: those
// that overtake earlier ones are rejected, and the leader sends everything again.
func ChannelOf(k csraft.MessageKind, size int) cslink.Channel {
	if size > maxControlBytes && k != csraft.MessageAppend {
		return cslink.Data
	}
	return cslink.Control
}
