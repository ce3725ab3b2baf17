package csgroup

import (
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csraft"
)

// largeMessage is the size in bytes above which a message of a group whose order does not matter uses the data channel.
const largeMessage = 16 << 10

// ChannelOf returns the channel of a link that a message of a group uses. Entries use one channel whatever their size: those
// that overtake earlier ones are rejected, and the leader sends everything again.
func ChannelOf(k csraft.MessageKind, size int) cslink.Channel {
	if size > largeMessage && k != csraft.MessageAppend {
		return cslink.Data
	}
	return cslink.Control
}
