package csdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"testing"
)

func record(i int) []byte { return bytes.Repeat([]byte{byte(i%255) + 1}, i%700) }

func mustOpen(t *testing.T, d Disk) (*Log, [][]byte) {
	t.Helper()
	l, records, err := OpenLog(d, 4096)
	if err != nil {
		t.Fatal(err)
	}
	return l, records
}

func check(t *testing.T, got [][]byte, first int) {
	t.Helper()
	for i, r := range got {
		if !bytes.Equal(r, record(first+i)) {
			t.Fatalf("record %d is damaged", first+i)
		}
	}
}

// TestLogOS guards against losing records over a reopen, a Reset or a wrong order of segments on a real file system.
func TestLogOS(t *testing.T) {
	dir := t.TempDir()
	for round := range 3 {
		d, err := OpenOS(dir)
		if err != nil {
			t.Fatal(err)
		}
		l, records := mustOpen(t, d)
		if len(records) != round*100 {
			t.Fatalf("got %d records, want %d", len(records), round*100)
		}
		check(t, records, 0)
		for i := range 100 {
			if err := errors.Join(l.Append(record(round*100+i)), l.Sync()); err != nil {
				t.Fatal(err)
			}
		}
		d.Close()
	}
	d, err := OpenOS(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	l, _ := mustOpen(t, d)
	if err := errors.Join(l.Reset(record(7), record(8)), l.Append(record(9)), l.Sync()); err != nil {
		t.Fatal(err)
	}
	l, records := mustOpen(t, d)
	check(t, records, 7)
	if len(records) != 3 || l.Bytes() == 0 {
		t.Errorf("got %d records, want 3", len(records))
	}
	if _, err := ReadIdentity(d); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v, want a missing identity", err)
	}
	want := Identity{Incarnation: 7, Starts: 3}
	if err := WriteIdentity(d, want); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadIdentity(d); err != nil || got != want {
		t.Errorf("got %v %v, want %v", got, err, want)
	}
}

// TestCrash guards against losing synced records and against refusing a folder because of a torn tail.
func TestCrash(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		d := NewFake()
		l, _ := mustOpen(t, d)
		written, synced := 0, 0
		for range 1 + r.IntN(40) {
			for range 1 + r.IntN(5) {
				if err := l.Append(record(written)); err != nil {
					t.Fatal(err)
				}
				written++
			}
			if r.IntN(4) > 0 {
				if err := l.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = written
			}
		}
		d = d.Crash(r)
		if err := l.Append(record(0)); !errors.Is(err, ErrCrashed) {
			t.Fatalf("got %v, want the old disk to refuse", err)
		}
		l, records, err := OpenLog(d, 4096)
		if err != nil || len(records) < synced {
			t.Fatalf("seed %d: got %d of %d synced records, %v", seed, len(records), synced, err)
		}
		check(t, records, 0)
		if err := errors.Join(l.Append(record(len(records))), l.Sync()); err != nil {
			t.Fatal(err)
		}
		_, again := mustOpen(t, d.Crash(nil))
		if len(again) != len(records)+1 {
			t.Fatalf("seed %d: got %d records after the repair, want %d", seed, len(again), len(records)+1)
		}
	}
}

// TestBitFlip guards against using changed bytes and against taking the damage of an acknowledged record, also of the last
// one, for a torn tail.
func TestBitFlip(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := NewFake()
		l, _ := mustOpen(t, d)
		for i := range 50 {
			if err := errors.Join(l.Append(record(i)), l.Sync()); err != nil {
				t.Fatal(err)
			}
		}
		s := l.segments[r.IntN(len(l.segments))]
		if err := d.FlipBit(s.name, r.IntN(int(s.size)*8)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := OpenLog(d, 4096); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("seed %d: got %v, want ErrCorrupt", seed, err)
		}
		if err := SetAside(d); err != nil {
			t.Fatal(err)
		}
		if _, records := mustOpen(t, d); len(records) != 0 {
			t.Fatalf("got %d records of a folder that was set aside", len(records))
		}
	}
}

// TestMissingSegment guards against reading over a hole.
func TestMissingSegment(t *testing.T) {
	d := NewFake()
	l, _ := mustOpen(t, d)
	for i := range 50 {
		if err := l.Append(record(500 + i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Remove(l.segments[1].name); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenLog(d, 4096); !errors.Is(err, ErrCorrupt) {
		t.Errorf("got %v, want ErrCorrupt", err)
	}
}

// TestFailure guards against writing on after a failed write or sync, when the contents of the disk are not known.
func TestFailure(t *testing.T) {
	broken := errors.New("sync failed")
	tests := []struct {
		name  string
		fault func(d *Fake)
		end   func(d *Fake)
		want  error
	}{
		{"full disk", func(d *Fake) { d.Limit(700) }, func(d *Fake) { d.Limit(0) }, ErrFull},
		{"sync error", func(d *Fake) { d.FailSync(broken) }, func(d *Fake) { d.FailSync(nil) }, broken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewFake()
			l, _ := mustOpen(t, d)
			if err := errors.Join(l.Append(record(300)), l.Sync()); err != nil {
				t.Fatal(err)
			}
			tt.fault(d)
			err := errors.Join(l.Append(record(699)), l.Sync())
			if !errors.Is(err, ErrFailed) || !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v and %v", err, ErrFailed, tt.want)
			}
			tt.end(d)
			for i, err := range []error{l.Append(record(1)), l.Sync(), l.Reset()} {
				if !errors.Is(err, ErrFailed) {
					t.Errorf("call %d: got %v, want %v", i, err, ErrFailed)
				}
			}
			if _, records := mustOpen(t, d.Crash(nil)); len(records) != 1 || !bytes.Equal(records[0], record(300)) {
				t.Errorf("got %d records, want the synced one", len(records))
			}
		})
	}
}

// stopping is a disk whose process ends after a number of operations.
type stopping struct {
	*Fake
	left int
}

func (d *stopping) stop() bool {
	d.left--
	return d.left < 0
}

func (d *stopping) Append(name string, b []byte) error {
	if d.stop() {
		return ErrCrashed
	}
	return d.Fake.Append(name, b)
}

func (d *stopping) Sync(name string) error {
	if d.stop() {
		return ErrCrashed
	}
	return d.Fake.Sync(name)
}

func (d *stopping) Rename(from, to string) error {
	if d.stop() {
		return ErrCrashed
	}
	return d.Fake.Rename(from, to)
}

func (d *stopping) Remove(name string) error {
	if d.stop() {
		return ErrCrashed
	}
	return d.Fake.Remove(name)
}

// TestReset guards against a crash between any two operations of WriteFile and Reset that leaves neither the old nor the
// new state.
func TestReset(t *testing.T) {
	done := false
	for operations := 0; !done; operations++ {
		d := &stopping{Fake: NewFake(), left: 1000}
		l, _ := mustOpen(t, d)
		for i := range 20 {
			if err := l.Append(record(500 + i)); err != nil {
				t.Fatal(err)
			}
		}
		if err := errors.Join(l.Sync(), WriteFile(d, SnapshotName, record(100))); err != nil {
			t.Fatal(err)
		}
		d.left = operations
		fileErr := WriteFile(d, SnapshotName, record(200))
		resetErr := l.Reset(record(600), record(601))
		done = resetErr == nil
		next := d.Crash(rand.New(rand.NewPCG(uint64(operations), 2)))
		got, err := ReadFile(next, SnapshotName)
		if err != nil || (len(got) != 200 && (fileErr == nil || len(got) != 100)) {
			t.Fatalf("operation %d: got a snapshot of %d bytes, %v after %v", operations, len(got), err, fileErr)
		}
		_, records := mustOpen(t, next)
		if n := len(records); n < 2 || (done && n != 2) {
			t.Fatalf("operation %d: got %d records after %v", operations, n, resetErr)
		}
		if last := records[len(records)-1]; done && !bytes.Equal(last, record(601)) {
			t.Fatalf("operation %d: the new records are lost", operations)
		}
		if len(records) == 20 {
			check(t, records, 500)
		}
	}
}
