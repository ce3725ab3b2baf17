package csgroup

import (
	"bytes"
	"errors"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csraft"
)

// blob is a machine whose state is a byte slice.
type blob struct{ state []byte }

func (b *blob) Apply(csraft.Entry) []byte                { return nil }
func (b *blob) Snapshot() ([]byte, error)                { return bytes.Clone(b.state), nil }
func (b *blob) AppendSnapshot(to []byte) ([]byte, error) { return append(to, b.state...), nil }
func (b *blob) Restore(s []byte) error                   { b.state = bytes.Clone(s); return nil }

// allocated returns the bytes that were allocated between two points in time.
func allocated(before, after *runtime.MemStats) int { return int(after.TotalAlloc - before.TotalAlloc) }

// Guards against copies of a snapshot, for which a process with a large state has no memory, and against files of earlier versions that
// can't be read.
func TestSnapshotIsNotCopied(t *testing.T) {
	const size = 32 << 20
	m := &blob{state: make([]byte, size)}
	m.state[0], m.state[size-1] = 1, 2
	disk, err := csdisk.OpenOS(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r := replica{machine: m, applied: 7}
	data, index, err := r.snapshot(size)
	if err != nil {
		t.Fatal(err)
	}
	head, tail, err := encodeFile(csraft.Snapshot{Index: index, Term: 3, At: 5, Data: data})
	if err = errors.Join(err, csdisk.WriteFile(disk, csdisk.SnapshotName, head, tail)); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if got, want := allocated(&before, &after), size+size/8; got > want {
		t.Errorf("taken: got %d bytes allocated, want at most %d", got, want)
	}
	want, err := cbor.Marshal(csraft.Snapshot{Index: 7, Term: 3, At: 5, Data: data})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		rewrite bool // with the encoding of earlier versions
	}{{"read", false}, {"read, of an earlier version", true}} {
		t.Run(c.name, func(t *testing.T) {
			if c.rewrite {
				if err := csdisk.WriteFile(disk, csdisk.SnapshotName, want); err != nil {
					t.Fatal(err)
				}
			}
			runtime.ReadMemStats(&before)
			b, err := csdisk.ReadFile(disk, csdisk.SnapshotName)
			if err != nil {
				t.Fatal(err)
			}
			s, err := decodeFile(b)
			if err != nil {
				t.Fatal(err)
			}
			restored := &blob{}
			if err := (&replica{machine: restored}).restore(s); err != nil {
				t.Fatal(err)
			}
			runtime.ReadMemStats(&after)
			if got, want := allocated(&before, &after), 2*size+size/8; got > want { // the file, and the copy in the machine
				t.Errorf("got %d bytes allocated, want at most %d", got, want)
			}
			if s.Index != 7 || s.Term != 3 || s.At != 5 || !bytes.Equal(restored.state, m.state) {
				t.Errorf("got entry %d of term %d at %d with %d bytes, want entry 7 of term 3 at 5 with the state", s.Index, s.Term, s.At, len(restored.state))
			}
		})
	}
}

func TestSharedBytes(t *testing.T) {
	cases := []struct {
		name string
		item []byte
		want []byte
		err  error
	}{
		{"empty", []byte{0x40}, []byte{}, nil},
		{"short", []byte{0x42, 1, 2}, []byte{1, 2}, nil},
		{"one byte of length", []byte{0x58, 1, 9}, []byte{9}, nil},
		{"eight bytes of length", appendBytesHead(nil, 1)[:bytesHeadSize:bytesHeadSize], nil, nil},
		{"null", []byte{0xf6}, nil, nil},
		{"text", []byte{0x61, 'a'}, nil, errByteString},
		{"indefinite length", []byte{0x5f, 0xff}, nil, errByteString},
		{"cut head", []byte{0x5b, 0}, nil, errByteString},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got sharedBytes
			err := got.UnmarshalCBOR(c.item)
			if !errors.Is(err, c.err) || !bytes.Equal(got, c.want) {
				t.Errorf("got %x and error %v, want %x and %v", got, err, c.want, c.err)
			}
		})
	}
}
