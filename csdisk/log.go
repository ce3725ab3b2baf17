package csdisk

import (
	"fmt"
	"strconv"
	"strings"

	"cowslipstream.example/cowslipstream/csmodel"
)

// DefaultSegment is the size above which a log starts its next file.
const DefaultSegment = csmodel.MiB

const (
	segmentPrefix = "log-"
	temporaryName = "temporary"
)

// Log is an append-only sequence of checksummed records in segment files. It is not safe for concurrent use. After a failed
// write or sync all calls return ErrFailed: what the disk holds then is not known.
type Log struct {
	disk     Disk
	limit    csmodel.Bytes
	segments []segment
	next     uint64 // sequence number of the next record
	dirty    bool
	err      error
}

type segment struct {
	name  string
	first uint64
	size  csmodel.Bytes
}

// OpenLog reads all records. A torn tail is cut off, because its records were never acknowledged. ErrCorrupt reports any
// other damage. What is returned is synced. A limit of zero is DefaultSegment.
func OpenLog(d Disk, limit csmodel.Bytes) (*Log, [][]byte, error) {
	if limit == 0 {
		limit = DefaultSegment
	}
	l := &Log{disk: d, limit: limit, next: 1}
	if err := d.Remove(temporaryName); err != nil {
		return nil, nil, err
	}
	names, err := d.List()
	if err != nil {
		return nil, nil, err
	}
	var records [][]byte
	names = segmentNames(names)
	for i, name := range names {
		read, err := l.read(name, i == len(names)-1)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, read...)
	}
	if n := len(l.segments); n > 0 {
		// The last process may have stopped between its write and its sync.
		if err := d.Sync(l.segments[n-1].name); err != nil {
			return nil, nil, err
		}
	}
	return l, records, nil
}

func segmentNames(names []string) (out []string) {
	for _, n := range names {
		if strings.HasPrefix(n, segmentPrefix) {
			out = append(out, n)
		}
	}
	return out
}

func segmentName(first uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, first) }

// read reads one segment. Only the last one may have a torn tail: a segment is synced before the next one is started.
func (l *Log) read(name string, last bool) ([][]byte, error) {
	first, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 16, 64)
	if err != nil || (len(l.segments) > 0 && first != l.next) {
		return nil, fmt.Errorf("%w: segment %s does not follow record %d", ErrCorrupt, name, l.next-1)
	}
	data, err := l.disk.Read(name)
	if err != nil {
		return nil, err
	}
	l.next = first
	var records [][]byte
	at := 0
	for at < len(data) {
		payload, next, state := readFrame(data, at, l.next)
		if state == frameCorrupt || (state == frameTorn && !last) {
			return nil, fmt.Errorf("%w: segment %s at byte %d", ErrCorrupt, name, at)
		}
		if state == frameTorn {
			break
		}
		records = append(records, payload)
		l.next++
		at = next
	}
	if at < len(data) || len(data) == 0 {
		if err := l.cut(name, data[:at]); err != nil {
			return nil, err
		}
	}
	if at > 0 {
		l.segments = append(l.segments, segment{name: name, first: first, size: csmodel.Bytes(at)})
	}
	return records, nil
}

func (l *Log) cut(name string, kept []byte) error {
	if len(kept) == 0 {
		return l.disk.Remove(name)
	}
	return writeWhole(l.disk, name, kept)
}

// Append adds records. They are durable after the next Sync.
func (l *Log) Append(records ...[]byte) error {
	if l.err != nil {
		return l.err
	}
	n := len(l.segments)
	if n == 0 || l.segments[n-1].size >= l.limit {
		if err := l.Sync(); err != nil {
			return err
		}
		l.segments = append(l.segments, segment{name: segmentName(l.next), first: l.next})
		n = len(l.segments)
	}
	frames := l.frames(records)
	s := &l.segments[n-1]
	l.dirty = true
	if err := l.disk.Append(s.name, frames); err != nil {
		return l.fail(err)
	}
	s.size += csmodel.Bytes(len(frames))
	return nil
}

func (l *Log) frames(records [][]byte) []byte {
	size := 0
	for _, r := range records {
		size += headerSize + len(r)
	}
	frames := make([]byte, 0, size)
	for _, r := range records {
		frames = appendFrame(frames, l.next, r)
		l.next++
	}
	return frames
}

// Sync makes all appended records durable.
func (l *Log) Sync() error {
	if l.err != nil || !l.dirty {
		return l.err
	}
	if err := l.disk.Sync(l.segments[len(l.segments)-1].name); err != nil {
		return l.fail(err)
	}
	l.dirty = false
	return nil
}

// Reset replaces all records in one durable step. A crash during it leaves either all old records, possibly followed by
// the new ones, or only the new ones.
func (l *Log) Reset(records ...[]byte) error {
	if err := l.Sync(); err != nil {
		return err
	}
	s := segment{name: segmentName(l.next), first: l.next}
	frames := l.frames(records)
	s.size = csmodel.Bytes(len(frames))
	if err := writeWhole(l.disk, s.name, frames); err != nil {
		return l.fail(err)
	}
	old := l.segments
	l.segments = []segment{s}
	for _, o := range old {
		// Oldest first, so that a crash leaves consecutive segments.
		if err := l.disk.Remove(o.name); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

// Bytes returns the size of all segments.
func (l *Log) Bytes() csmodel.Bytes {
	var n csmodel.Bytes
	for _, s := range l.segments {
		n += s.size
	}
	return n
}

func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = fmt.Errorf("%w: %w", ErrFailed, err)
	}
	return l.err
}
