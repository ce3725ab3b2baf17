package csdisk

import (
	"errors"
	"testing"
)

// Guards against a panic or an invented record when the log on disk holds arbitrary bytes.
func FuzzOpenLog(f *testing.F) {
	valid := (&Log{}).frames([][]byte{[]byte("one"), []byte("two")})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := NewFake()
		if err := d.Append(segmentName(1), data); err != nil {
			t.Fatal(err)
		}
		if err := d.Sync(segmentName(1)); err != nil {
			t.Fatal(err)
		}
		_, records, err := OpenLog(d, 0)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("got error %v, want %v", err, ErrCorrupt)
			}
			return
		}
		size := 0
		for _, r := range records {
			size += len(r)
		}
		if size > len(data) {
			t.Errorf("got %d bytes of records from %d bytes", size, len(data))
		}
	})
}
