package csgroup

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// A snapshot may take a large part of the memory of the process, so it is encoded and decoded without copies of its data.

// snapshotMargin is added to the size of the latest snapshot as the initial buffer of the next one.
const snapshotMargin = 64 << 10

// errByteString reports a CBOR item that is not a byte string of definite length.
var errByteString = errors.New("csgroup: not a byte string")

// SnapshotAppender is a csraft.Machine that can encode its state into a given buffer.
type SnapshotAppender interface {
	// AppendSnapshot appends what Snapshot returns to a buffer.
	AppendSnapshot(b []byte) ([]byte, error)
}

// appendSnapshot appends the snapshot of a machine to a buffer.
func appendSnapshot(b []byte, m csraft.Machine) ([]byte, error) {
	if a, ok := m.(SnapshotAppender); ok {
		return a.AppendSnapshot(b)
	}
	data, err := m.Snapshot()
	return append(b, data...), err
}

// snapshotData is the encoded form of csraft.Snapshot.Data.
type snapshotData struct {
	_        struct{} `cbor:",toarray"`
	Sessions []byte
	Machine  sharedBytes
}

// snapshotFile is the encoded form of csraft.Snapshot.
type snapshotFile struct {
	_       struct{} `cbor:",toarray"`
	Index   csmodel.Index
	Term    csmodel.Term
	At      int64
	Members csraft.Membership
	Data    sharedBytes
}

// sharedBytes is a byte string that shares memory with the CBOR data that it was decoded from.
type sharedBytes []byte

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *sharedBytes) UnmarshalCBOR(item []byte) error {
	const byteString, null = 2, 0xf6
	if len(item) == 1 && item[0] == null {
		*s = nil
		return nil
	}
	if len(item) == 0 || item[0]>>5 != byteString {
		return errByteString
	}
	head := 1
	switch n := item[0] & 0x1f; { // RFC 8949, section 3
	case n > 27:
		return errByteString
	case n >= 24:
		head += 1 << (n - 24)
	}
	if len(item) < head {
		return errByteString
	}
	*s = item[head:]
	return nil
}

// bytesHeadSize is the length of what appendBytesHead appends.
const bytesHeadSize = 9

// appendBytesHead appends the head of a CBOR byte string of n bytes. Its length does not depend on n.
func appendBytesHead(b []byte, n int) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0x5b), uint64(n))
}

// encodeHead encodes a structure that ends with an empty byte string, and returns what precedes that string.
func encodeHead(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return b[:len(b)-1], nil
}

// encodeState returns the encoded sessions and state of a machine. The hint is the expected size.
func encodeState(sessions []byte, m csraft.Machine, hint int) ([]byte, error) {
	head, err := encodeHead(snapshotData{Sessions: sessions, Machine: sharedBytes{}})
	if err != nil {
		return nil, err
	}
	b := make([]byte, 0, hint+snapshotMargin)
	b = appendBytesHead(append(b, head...), 0)
	start := len(b)
	if b, err = appendSnapshot(b, m); err != nil {
		return nil, err
	}
	appendBytesHead(b[:start-bytesHeadSize], len(b)-start)
	return b, nil
}

// encodeFile returns the encoded snapshot in two parts, the second of which is its data.
func encodeFile(s csraft.Snapshot) (head, data []byte, err error) {
	head, err = encodeHead(snapshotFile{Index: s.Index, Term: s.Term, At: s.At, Members: s.Members, Data: sharedBytes{}})
	return appendBytesHead(head, len(s.Data)), s.Data, err
}

// decodeFile decodes a snapshot. Its data shares memory with b.
func decodeFile(b []byte) (csraft.Snapshot, error) {
	var f snapshotFile
	err := cbor.Unmarshal(b, &f)
	return csraft.Snapshot{Index: f.Index, Term: f.Term, At: f.At, Members: f.Members, Data: f.Data}, err
}
