package csjob

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	// partBytes is the size of the parts of a large command. With its frame, a part fits into one entry of the group's log.
	partBytes = 512 << 10
	// MaxCommand is the largest encoded command in bytes. The largest document of the operator takes about half of it.
	MaxCommand = 16 << 20
	maxParts   = MaxCommand / partBytes
	// maxUploads bounds the commands with missing parts, the oldest of which is dropped for a new one.
	maxUploads = 4
	// uploadRetention is how long a command waits for its missing parts. A proposer that still needs it sends all parts again.
	uploadRetention = 30 * time.Second
)

// Part is a part of an encoded command that is too large for one entry of the log.
type Part struct {
	Digest string `cbor:"1,keyasint"` // of the whole command
	Index  int    `cbor:"2,keyasint"` // counted from 0
	Count  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// upload holds the parts of a command that have been committed.
type upload struct {
	Parts [][]byte  `cbor:"1,keyasint"` // nil where missing
	At    time.Time `cbor:"2,keyasint"` // when the last one was committed
}

// EncodeParts returns the command as one or more log entries to commit in order. The verdict of a part is Incomplete as long as
// others are missing, then that of the command. It returns ErrTooLarge if the command exceeds MaxCommand.
func (c Command) EncodeParts() ([][]byte, error) {
	whole, err := c.Encode()
	switch {
	case err != nil:
		return nil, err
	case len(whole) <= partBytes:
		return [][]byte{whole}, nil
	case len(whole) > MaxCommand:
		return nil, fmt.Errorf("%w: a command of %d bytes, want at most %d", ErrTooLarge, len(whole), MaxCommand)
	}
	digest := digestOf(whole)
	chunks := slices.Collect(slices.Chunk(whole, partBytes))
	out := make([][]byte, 0, len(chunks))
	for i, chunk := range chunks {
		b, err := Command{Part: &Part{Digest: digest, Index: i, Count: len(chunks), Data: chunk}, Term: c.Term}.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// addPart stores a part. It returns the whole command and Accepted once no part is missing, otherwise the verdict of the part.
func (t *Table) addPart(p Part, at time.Time) ([]byte, Verdict) {
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count || len(p.Data) > partBytes {
		return nil, Refused
	}
	t.pruneUploads(at)
	u := t.state.Uploads[p.Digest]
	if u == nil || len(u.Parts) != p.Count {
		u = &upload{Parts: make([][]byte, p.Count)}
		t.state.Uploads[p.Digest] = u
	}
	u.Parts[p.Index], u.At = p.Data, at
	if slices.ContainsFunc(u.Parts, func(b []byte) bool { return b == nil }) {
		t.dropOldestUploads()
		return nil, Incomplete
	}
	delete(t.state.Uploads, p.Digest)
	whole := slices.Concat(u.Parts...)
	if digestOf(whole) != p.Digest {
		return nil, Refused
	}
	return whole, Accepted
}

// pruneUploads drops the commands whose missing parts have not arrived in time.
func (t *Table) pruneUploads(at time.Time) {
	for digest, u := range t.state.Uploads {
		if at.Sub(u.At) > uploadRetention {
			delete(t.state.Uploads, digest)
		}
	}
}

// dropOldestUploads keeps the number of incomplete commands within its limit.
func (t *Table) dropOldestUploads() {
	for len(t.state.Uploads) > maxUploads {
		digests := csmodel.SortedKeys(t.state.Uploads)
		delete(t.state.Uploads, slices.MinFunc(digests, func(a, b string) int {
			return cmp.Or(t.state.Uploads[a].At.Compare(t.state.Uploads[b].At), cmp.Compare(a, b))
		}))
	}
}
