package csdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Errors of the Fake. Test with errors.Is.
var (
	ErrFull    = errors.New("csdisk: no space left")
	ErrCrashed = errors.New("csdisk: used after a crash")
)

// Fake is a Disk in memory with faults, for tests. Use NewFake.
type Fake struct {
	mu      sync.Mutex
	files   map[string]*fakeFile
	limit   csmodel.Bytes // zero is none
	syncErr error
	crashed bool
	syncs   int
}

type fakeFile struct {
	data   []byte
	synced int  // bytes that survive a crash
	placed bool // the name survives a crash
}

// NewFake returns an empty disk.
func NewFake() *Fake { return &Fake{files: map[string]*fakeFile{}} }

// Limit makes writes beyond the total size fail, after a part of the data is written. Zero is no limit.
func (d *Fake) Limit(b csmodel.Bytes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = b
}

// FailSync makes each later Sync return the error and leave the data volatile. Nil ends the fault.
func (d *Fake) FailSync(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncErr = err
}

// FlipBit inverts one bit of a file, counted from its start.
func (d *Fake) FlipBit(name string, bit int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.files[name]
	if !ok || bit/8 >= len(f.data) {
		return fmt.Errorf("no bit %d in %s: %w", bit, name, fs.ErrNotExist)
	}
	f.data[bit/8] ^= 1 << (bit % 8)
	return nil
}

// Syncs returns the number of Sync calls.
func (d *Fake) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash returns the disk as the next process finds it: synced data, and of the data that was not synced a random part, of
// which a sector may have stayed zero. The old disk refuses all calls. A nil source keeps nothing that was not synced.
func (d *Fake) Crash(r *rand.Rand) *Fake {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	next := NewFake()
	next.limit = d.limit
	for _, name := range csmodel.SortedKeys(d.files) {
		f := d.files[name]
		if !f.placed && (r == nil || r.IntN(2) == 0) {
			continue
		}
		kept := f.synced
		if r != nil {
			kept += r.IntN(len(f.data) - f.synced + 1)
		}
		data := slices.Clone(f.data[:kept])
		if r != nil && r.IntN(2) == 0 {
			zeroSector(r, data, f.synced)
		}
		next.files[name] = &fakeFile{data: data, synced: len(data), placed: true}
	}
	return next
}

func zeroSector(r *rand.Rand, data []byte, synced int) {
	first := (synced + sectorSize - 1) / sectorSize
	sectors := len(data)/sectorSize - first
	if sectors <= 0 {
		return
	}
	at := (first + r.IntN(sectors)) * sectorSize
	clear(data[at : at+sectorSize])
}

func (d *Fake) file(name string) (*fakeFile, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return f, nil
}

// Read implements Disk.
func (d *Fake) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.file(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(f.data), nil
}

// Append implements Disk.
func (d *Fake) Append(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return ErrCrashed
	}
	f, ok := d.files[name]
	if !ok {
		f = &fakeFile{}
		d.files[name] = f
	}
	fits := len(data)
	if d.limit > 0 {
		fits = min(fits, max(0, int(d.limit-d.used())))
	}
	f.data = append(f.data, data[:fits]...)
	if fits < len(data) {
		return ErrFull
	}
	return nil
}

func (d *Fake) used() csmodel.Bytes {
	n := 0
	for _, f := range d.files {
		n += len(f.data)
	}
	return csmodel.Bytes(n)
}

// Sync implements Disk.
func (d *Fake) Sync(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.file(name)
	if err != nil {
		return err
	}
	d.syncs++
	if d.syncErr != nil {
		return d.syncErr
	}
	f.synced = len(f.data)
	f.placed = true
	return nil
}

// Rename implements Disk.
func (d *Fake) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.file(from)
	if err != nil {
		return err
	}
	f.placed = true
	d.files[to] = f
	delete(d.files, from)
	return nil
}

// Remove implements Disk.
func (d *Fake) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return ErrCrashed
	}
	delete(d.files, name)
	return nil
}

// List implements Disk.
func (d *Fake) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return csmodel.SortedKeys(d.files), nil
}
