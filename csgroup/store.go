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

// record is one record of the log: the changes of one Save.
type record struct {
	_        struct{} `cbor:",toarray"`
	State    csraft.HardState
	Based    bool // the log starts over after Base
	Base     csmodel.Index
	BaseTerm csmodel.Term
	Entries  []byte
	Commit   csmodel.Index
}

// recordWithoutCommit is a record as versions before the field Commit wrote it.
type recordWithoutCommit struct {
	_        struct{} `cbor:",toarray"`
	State    csraft.HardState
	Based    bool
	Base     csmodel.Index
	BaseTerm csmodel.Term
	Entries  []byte
}

func decodeRecord(b []byte) (record, error) {
	var c record
	err := cbor.Unmarshal(b, &c)
	if err == nil {
		return c, nil
	}
	var o recordWithoutCommit
	if cbor.Unmarshal(b, &o) != nil {
		return c, err
	}
	return record{State: o.State, Based: o.Based, Base: o.Base, BaseTerm: o.BaseTerm, Entries: o.Entries}, nil
}

// store holds the durable state of a member in its folder.
type store struct {
	disk     csdisk.Disk
	log      *csdisk.Log
	identity csdisk.Identity
}

// openStore reads the folder. A damaged folder is set aside and reported through damaged; the node then starts with a new
// incarnation. After an earlier failure the log is rewritten, because the page cache may hold data that never reached the
// disk.
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

// create writes the identity last: a folder with an identity and no log has lost its log.
func (s *store) create(incarnation csmodel.Incarnation) error {
	if err := s.reset(csraft.Save{}); err != nil {
		return err
	}
	s.identity = csdisk.Identity{Incarnation: incarnation, Starts: 1}
	return csdisk.WriteIdentity(s.disk, s.identity)
}

// load returns fs.ErrNotExist for an empty folder and csdisk.ErrCorrupt for one that must not be used.
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
		// Also a folder whose creation was interrupted: the identity is written last, so it has not voted.
		return r, identityErr
	case missing:
		return r, fmt.Errorf("%w: no identity", csdisk.ErrCorrupt)
	case identityErr != nil:
		return r, identityErr
	case len(records) == 0:
		return r, fmt.Errorf("%w: no log", csdisk.ErrCorrupt)
	case snapshotErr == nil:
		if err := cbor.Unmarshal(snapshot, &r.Snapshot); err != nil {
			return r, fmt.Errorf("%w: snapshot: %w", csdisk.ErrCorrupt, err)
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
		return r, fmt.Errorf("%w: no snapshot at %d", csdisk.ErrCorrupt, r.Base)
	}
	return r, nil
}

func replay(r *csraft.Restored, b []byte, first bool) error {
	c, err := decodeRecord(b)
	if err != nil {
		return fmt.Errorf("%w: record: %w", csdisk.ErrCorrupt, err)
	}
	entries, err := csraft.DecodeEntries(c.Entries)
	if err != nil {
		return fmt.Errorf("%w: entries: %w", csdisk.ErrCorrupt, err)
	}
	if first && !c.Based {
		return fmt.Errorf("%w: the start of the log is missing", csdisk.ErrCorrupt)
	}
	r.State, r.Commit = c.State, max(r.Commit, c.Commit)
	if c.Based {
		r.Base, r.BaseTerm, r.Entries = c.Base, c.BaseTerm, nil
	}
	if len(entries) == 0 {
		return nil
	}
	at := int(entries[0].Index) - int(r.Base) - 1
	if at < 0 || at > len(r.Entries) {
		return fmt.Errorf("%w: entry %d does not follow %d", csdisk.ErrCorrupt, entries[0].Index, int(r.Base)+len(r.Entries))
	}
	r.Entries = append(r.Entries[:at], entries...)
	return nil
}

// save makes a Save durable.
func (s *store) save(o csraft.Save) error {
	if o.Snapshot != nil {
		b, err := cbor.Marshal(*o.Snapshot)
		if err != nil {
			return err
		}
		if err := csdisk.WriteFile(s.disk, csdisk.SnapshotName, b); err != nil {
			return err
		}
		return s.reset(o)
	}
	b, err := encodeRecord(record{State: o.State, Commit: o.Commit}, o.Entries)
	if err != nil {
		return err
	}
	if err := s.log.Append(b); err != nil {
		return err
	}
	return s.log.Sync()
}

func (s *store) reset(o csraft.Save) error {
	b, err := encodeRecord(record{State: o.State, Based: true, Base: o.Base, BaseTerm: o.BaseTerm, Commit: o.Commit}, o.Entries)
	if err != nil {
		return err
	}
	return s.log.Reset(b)
}

func encodeRecord(c record, entries []csraft.Entry) ([]byte, error) {
	b, err := csraft.EncodeEntries(entries)
	if err != nil {
		return nil, err
	}
	c.Entries = b
	return cbor.Marshal(c)
}

func (s *store) setIncarnation(i csmodel.Incarnation) error {
	s.identity.Incarnation = i
	return csdisk.WriteIdentity(s.disk, s.identity)
}
