package csdisk

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Names of the files beside the log.
const (
	SnapshotName = "snapshot"
	IdentityName = "identity"

	damagedPrefix = "damaged-"
)

// writeWhole replaces a file by the given parts in one step: it is written under a temporary name, synced and renamed.
func writeWhole(d Disk, name string, parts ...[]byte) error {
	if err := d.Remove(temporaryName); err != nil {
		return err
	}
	for _, p := range parts {
		if err := d.Append(temporaryName, p); err != nil {
			return err
		}
	}
	if err := d.Sync(temporaryName); err != nil {
		return err
	}
	return d.Rename(temporaryName, name)
}

// WriteFile replaces a file by a checksummed payload in one durable step. The payload consists of the given parts, which are not copied.
func WriteFile(d Disk, name string, parts ...[]byte) error {
	return writeWhole(d, name, slices.Insert(parts, 0, appendHeader(nil, 0, parts...))...)
}

// ReadFile returns the payload of a file of WriteFile. A missing file satisfies errors.Is(err, fs.ErrNotExist).
func ReadFile(d Disk, name string) ([]byte, error) {
	data, err := d.Read(name)
	if err != nil {
		return nil, err
	}
	payload, next, state := readFrame(data, 0, 0)
	if state != frameValid || next != len(data) {
		return nil, fmt.Errorf("%w: file %s", ErrCorrupt, name)
	}
	return payload, nil
}

// Identity names the life of a folder.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	Incarnation csmodel.Incarnation
	Starts      uint64 // processes that used the folder
}

// WriteIdentity stores the identity of the folder.
func WriteIdentity(d Disk, i Identity) error {
	b, err := cbor.Marshal(i)
	if err != nil {
		return err
	}
	return WriteFile(d, IdentityName, b)
}

// ReadIdentity returns the identity of the folder. A new folder satisfies errors.Is(err, fs.ErrNotExist).
func ReadIdentity(d Disk) (Identity, error) {
	b, err := ReadFile(d, IdentityName)
	if err != nil {
		return Identity{}, err
	}
	var i Identity
	if err := cbor.Unmarshal(b, &i); err != nil {
		return Identity{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return i, nil
}

// SetAside renames all files of a damaged folder, so that the node starts as if it were empty and an operator can still
// look at them. Files that were set aside earlier are replaced.
func SetAside(d Disk) error {
	names, err := d.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if !strings.HasPrefix(n, damagedPrefix) {
			continue
		}
		if err := d.Remove(n); err != nil {
			return err
		}
	}
	for _, n := range names {
		if strings.HasPrefix(n, damagedPrefix) {
			continue
		}
		if err := d.Rename(n, damagedPrefix+n); err != nil {
			return err
		}
	}
	return nil
}
