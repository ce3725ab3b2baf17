package csgroup

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// replica holds the machine and the results for duplicate proposals. Both change only together.
type replica struct {
	mu           sync.RWMutex
	machine      csraft.Machine
	initialState []byte // state of the machine before the first entry
	sessions     csraft.Sessions
	applied      csmodel.Index
	epoch        int // increases where the state is replaced, so that entries of before are not applied to it
}

// snapshotData is the data of a snapshot.
type snapshotData struct {
	_        struct{} `cbor:",toarray"`
	Sessions []byte
	Machine  []byte
}

func (r *replica) view(f func(csraft.Machine)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// appliedEntry is an entry with its result. fresh is false for a duplicate, whose result is the first one.
type appliedEntry struct {
	csraft.Entry
	result []byte
	isNew  bool
	err    error
}

// apply executes entries. It takes the lock once, because readers that come in between cost more than an entry.
func (r *replica) apply(epoch int, entries []csraft.Entry) []appliedEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyAll(epoch, entries)
}

// tryApply is apply where no reader holds the machine, and otherwise returns false.
func (r *replica) tryApply(epoch int, entries []csraft.Entry) ([]appliedEntry, bool) {
	if !r.mu.TryLock() {
		return nil, false
	}
	defer r.mu.Unlock()
	return r.applyAll(epoch, entries), true
}

func (r *replica) applyAll(epoch int, entries []csraft.Entry) []appliedEntry {
	if epoch != r.epoch {
		return nil
	}
	out := make([]appliedEntry, 0, len(entries))
	for _, e := range entries {
		if e.Index > r.applied {
			out = append(out, r.applyOne(e))
		}
	}
	return out
}

// lastApplied returns the last entry that the machine holds.
func (r *replica) lastApplied() csmodel.Index {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.applied
}

func (r *replica) applyOne(e csraft.Entry) appliedEntry {
	a := appliedEntry{Entry: e}
	if e.Kind == csraft.EntryNormal {
		var known bool
		a.result, known, a.err = r.sessions.Result(e.Proposal)
		if a.isNew = !known && a.err == nil; a.isNew {
			a.result = r.machine.Apply(e)
			r.sessions.Record(e, a.result)
		}
	}
	r.applied = e.Index
	return a
}

// result returns the result of a proposal that was applied. While entries wait for a reader it does not know any: a proposal
// that was applied before is then appended again, and recognised when it is applied.
func (r *replica) result(id csraft.ProposalID) ([]byte, bool, error) {
	if !r.mu.TryRLock() {
		return nil, false, nil
	}
	defer r.mu.RUnlock()
	return r.sessions.Result(id)
}

// snapshot returns the state and the last entry that it holds.
func (r *replica) snapshot() ([]byte, csmodel.Index, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sessions, err := r.sessions.Encode()
	if err != nil {
		return nil, 0, err
	}
	machine, err := r.machine.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	data, err := cbor.Marshal(snapshotData{Sessions: sessions, Machine: machine})
	return data, r.applied, err
}

func (r *replica) restore(s csraft.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var i snapshotData
	if err := cbor.Unmarshal(s.Data, &i); err != nil {
		return err
	}
	if err := r.sessions.Decode(i.Sessions); err != nil {
		return err
	}
	r.applied = s.Index
	r.epoch++
	return r.machine.Restore(i.Machine)
}

// reset returns to the state before the first entry.
func (r *replica) reset() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions = csraft.Sessions{}
	r.applied = 0
	r.epoch++
	return r.machine.Restore(r.initialState)
}
