// Package csdisk keeps the state of one replicated group in a folder: a checksummed record log, a snapshot file and an
// identity file.
package csdisk

import "errors"

// Errors of this package. Test with errors.Is.
var (
	// ErrCorrupt reports bytes that were durable once and no longer match their checksum.
	ErrCorrupt = errors.New("csdisk: corrupt record")
	// ErrFailed reports a log that refuses all writes after a failed write or sync.
	ErrFailed = errors.New("csdisk: earlier write or sync failed")
)

// Disk is a flat folder of files. Contents are durable only after Sync of the file; Rename and Remove are durable when
// they return.
type Disk interface {
	// Read returns the whole file. A missing file satisfies errors.Is(err, fs.ErrNotExist).
	Read(name string) ([]byte, error)
	// Append adds data to the end of the file and creates it where it is missing.
	Append(name string, data []byte) error
	// Sync makes the contents and the name of the file durable.
	Sync(name string) error
	// Rename replaces the target in one step and syncs the folder.
	Rename(from, to string) error
	// Remove deletes the file and syncs the folder. A missing file is no error.
	Remove(name string) error
	// List returns the names of the files in ascending order.
	List() ([]string, error)
}
