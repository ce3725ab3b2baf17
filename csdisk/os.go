package csdisk

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"sync"
)

// Permissions of the folder and its files: the state of the system is for its own user only.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is a Disk in a folder of the file system.
type OS struct {
	mu     sync.Mutex
	root   *os.Root
	files  map[string]*os.File // open for appending
	placed map[string]bool     // files whose name is synced
}

// OpenOS opens the folder and creates it where it is missing.
func OpenOS(dir string) (*OS, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, err
	}
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, err
	}
	return &OS{root: root, files: map[string]*os.File{}, placed: map[string]bool{}}, nil
}

// Read implements Disk.
func (d *OS) Read(name string) ([]byte, error) {
	return d.root.ReadFile(name)
}

// Append implements Disk.
func (d *OS) Append(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.open(name)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return err
}

func (d *OS) open(name string) (*os.File, error) {
	if f, ok := d.files[name]; ok {
		return f, nil
	}
	f, err := d.root.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	d.files[name] = f
	return f, nil
}

// Sync implements Disk.
func (d *OS) Sync(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.open(name)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if d.placed[name] {
		return nil
	}
	d.placed[name] = true
	return d.syncFolder()
}

func (d *OS) syncFolder() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Rename implements Disk.
func (d *OS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(from)
	d.forget(to)
	if err := d.root.Rename(from, to); err != nil {
		return err
	}
	d.placed[to] = true
	return d.syncFolder()
}

func (d *OS) forget(name string) {
	if f, ok := d.files[name]; ok {
		f.Close()
	}
	delete(d.files, name)
	delete(d.placed, name)
}

// Remove implements Disk.
func (d *OS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(name)
	err := d.root.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return d.syncFolder()
}

// List implements Disk.
func (d *OS) List() ([]string, error) {
	f, err := d.root.Open(".")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := f.ReadDir(-1)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Close closes the open files.
func (d *OS) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.files {
		d.forget(name)
	}
	return d.root.Close()
}
