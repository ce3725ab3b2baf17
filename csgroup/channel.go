package csgroup

import (
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csraft"
)

// maxControlBytes is the size above which a message whose order does not matter uses the data channel.
const maxControlBytes = 16 << 10

// ChannelOf returns the link channel for a message of kind k and size bytes. Appends always use the control channel: the
// receiver rejects entries that overtake earlier ones, and the leader then resends all of them.
func ChannelOf(k csraft.MessageKind, size int) cslink.Channel {
	if size > maxControlBytes && k != csraft.MessageAppend {
		return cslink.Data
	}
	return cslink.Control
}
