package csgroup

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// record is one record of the log on disk: the changes of one csraft.Save.
type record struct {
	_        struct{} `cbor:",toarray"`
	State    csraft.HardState
	Based    bool // the record replaces all earlier ones; its entries follow Base
	Base     csmodel.Index
	BaseTerm csmodel.Term
	Entries  []byte
	Commit   csmodel.Index
}

// recordWithoutCommit is the record format of versions without the field Commit.
type recordWithoutCommit struct {
	_        struct{} `cbor:",toarray"`
	State    csraft.HardState
	Based    bool
	Base     csmodel.Index
	BaseTerm csmodel.Term
	Entries  []byte
}

func decodeRecord(b []byte) (record, error) {
	var rec record
	err := cbor.Unmarshal(b, &rec)
	if err == nil {
		return rec, nil
	}
	var old recordWithoutCommit
	if cbor.Unmarshal(b, &old) != nil {
		return rec, err
	}
	return record{State: old.State, Based: old.Based, Base: old.Base, BaseTerm: old.BaseTerm, Entries: old.Entries}, nil
}

// store keeps the durable state of a member in its folder.
type store struct {
	disk     csdisk.Disk
	log      *csdisk.Log
	identity csdisk.Identity
}

// openStore reads the folder, or creates its files if it is empty. A damaged folder is reported through damaged and set aside;
// the node then starts with a new incarnation. rewrite is set after an earlier failure: the log is then written anew, because
// the page cache may hold data that never reached the disk.
func openStore(d csdisk.Disk, incarnation csmodel.Incarnation, rewrite bool, damaged func(error)) (*store, csraft.Restored, error) {
	s := &store{disk: d}
	r, err := s.load()
	if errors.Is(err, csdisk.ErrCorrupt) {
		damaged(err)
		if err := csdisk.SetAside(d); err != nil {
			return nil, csraft.Restored{}, err
		}
		s = &store{disk: d}
		r, err = s.load()
	}
	if errors.Is(err, fs.ErrNotExist) {
		return s, csraft.Restored{}, s.create(incarnation)
	}
	if err != nil {
		return nil, csraft.Restored{}, err
	}
	connected := r.WithConsistentLog()
	rewrite = rewrite || connected.Base != r.Base
	r = connected
	if rewrite {
		if err := s.reset(csraft.Save{State: r.State, Base: r.Base, BaseTerm: r.BaseTerm, Entries: r.Entries, Commit: r.Commit}); err != nil {
			return nil, csraft.Restored{}, err
		}
	}
	s.identity.Starts++
	return s, r, csdisk.WriteIdentity(d, s.identity)
}

// create writes the identity after the log, so that a folder with an identity but no log is known to have lost its log.
func (s *store) create(incarnation csmodel.Incarnation) error {
	if err := s.reset(csraft.Save{}); err != nil {
		return err
	}
	s.identity = csdisk.Identity{Incarnation: incarnation, Starts: 1}
	return csdisk.WriteIdentity(s.disk, s.identity)
}

// load reads the folder. It returns fs.ErrNotExist for an empty folder and csdisk.ErrCorrupt for a damaged one.
func (s *store) load() (csraft.Restored, error) {
	var r csraft.Restored
	log, records, err := csdisk.OpenLog(s.disk, 0)
	if err != nil {
		return r, err
	}
	s.log = log
	identity, identityErr := csdisk.ReadIdentity(s.disk)
	snapshot, snapshotErr := csdisk.ReadFile(s.disk, csdisk.SnapshotName)
	missing := errors.Is(identityErr, fs.ErrNotExist)
	switch {
	case missing && errors.Is(snapshotErr, fs.ErrNotExist):
		// This includes a folder whose creation was interrupted: the identity is written last, so the node has not voted.
		return r, identityErr
	case missing:
		return r, fmt.Errorf("%w: folder has no identity", csdisk.ErrCorrupt)
	case identityErr != nil:
		return r, identityErr
	case len(records) == 0:
		return r, fmt.Errorf("%w: folder has an identity but no log", csdisk.ErrCorrupt)
	case snapshotErr == nil:
		if r.Snapshot, err = decodeFile(snapshot); err != nil {
			return r, fmt.Errorf("%w: decode snapshot: %w", csdisk.ErrCorrupt, err)
		}
	case !errors.Is(snapshotErr, fs.ErrNotExist):
		return r, snapshotErr
	}
	s.identity = identity
	for i, b := range records {
		if err := replay(&r, b, i == 0); err != nil {
			return r, err
		}
	}
	if r.Base > r.Snapshot.Index {
		return r, fmt.Errorf("%w: log starts after entry %d, which no snapshot contains", csdisk.ErrCorrupt, r.Base)
	}
	return r, nil
}

func replay(r *csraft.Restored, b []byte, first bool) error {
	rec, err := decodeRecord(b)
	if err != nil {
		return fmt.Errorf("%w: decode record: %w", csdisk.ErrCorrupt, err)
	}
	entries, err := csraft.DecodeEntries(rec.Entries)
	if err != nil {
		return fmt.Errorf("%w: decode entries: %w", csdisk.ErrCorrupt, err)
	}
	if first && !rec.Based {
		return fmt.Errorf("%w: first record of the log is missing", csdisk.ErrCorrupt)
	}
	r.State, r.Commit = rec.State, max(r.Commit, rec.Commit)
	if rec.Based {
		r.Base, r.BaseTerm, r.Entries = rec.Base, rec.BaseTerm, nil
	}
	if len(entries) == 0 {
		return nil
	}
	offset := int(entries[0].Index) - int(r.Base) - 1
	if offset < 0 || offset > len(r.Entries) {
		return fmt.Errorf("%w: entry %d does not follow entry %d", csdisk.ErrCorrupt, entries[0].Index, int(r.Base)+len(r.Entries))
	}
	r.Entries = append(r.Entries[:offset], entries...)
	return nil
}

// save writes a Save to the disk and syncs it.
func (s *store) save(cmd csraft.Save) error {
	if cmd.Snapshot != nil {
		head, data, err := encodeFile(*cmd.Snapshot)
		if err != nil {
			return err
		}
		if err := csdisk.WriteFile(s.disk, csdisk.SnapshotName, head, data); err != nil {
			return err
		}
		return s.reset(cmd)
	}
	b, err := encodeRecord(record{State: cmd.State, Commit: cmd.Commit}, cmd.Entries)
	if err != nil {
		return err
	}
	if err := s.log.Append(b); err != nil {
		return err
	}
	return s.log.Sync()
}

func (s *store) reset(cmd csraft.Save) error {
	b, err := encodeRecord(record{State: cmd.State, Based: true, Base: cmd.Base, BaseTerm: cmd.BaseTerm, Commit: cmd.Commit}, cmd.Entries)
	if err != nil {
		return err
	}
	return s.log.Reset(b)
}

func encodeRecord(rec record, entries []csraft.Entry) ([]byte, error) {
	b, err := csraft.EncodeEntries(entries)
	if err != nil {
		return nil, err
	}
	rec.Entries = b
	return cbor.Marshal(rec)
}

func (s *store) setIncarnation(i csmodel.Incarnation) error {
	s.identity.Incarnation = i
	return csdisk.WriteIdentity(s.disk, s.identity)
}
