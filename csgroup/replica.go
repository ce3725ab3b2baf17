package csgroup

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// replica holds the state machine and the results for duplicate proposals. Both change only together.
type replica struct {
	mu           sync.RWMutex
	machine      csraft.Machine
	initialState []byte // snapshot of the machine before the first entry
	sessions     csraft.Sessions
	applied      csmodel.Index
	epoch        int // incremented when the state is replaced, so that earlier batches are not applied to the new one
}

func (r *replica) view(f func(csraft.Machine)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// appliedEntry is an entry with its result. isNew is false for a duplicate, which gets the result of the first application.
type appliedEntry struct {
	csraft.Entry
	result []byte
	isNew  bool
	err    error
}

// apply applies entries under one lock: letting readers in between two entries costs more than applying an entry.
func (r *replica) apply(epoch int, entries []csraft.Entry) []appliedEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyAll(epoch, entries)
}

// tryApply is like apply but returns false instead of waiting for the lock.
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

// lastApplied returns the index of the last applied entry.
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

// result returns the result of an applied proposal. It finds none while entries wait for a reader to release the lock: a
// proposal that was already applied is then appended again and detected as a duplicate when it is applied.
func (r *replica) result(id csraft.ProposalID) ([]byte, bool, error) {
	if !r.mu.TryRLock() {
		return nil, false, nil
	}
	defer r.mu.RUnlock()
	return r.sessions.Result(id)
}

// snapshot returns the encoded state and the index of the last entry applied to it. The hint is the expected size of the former.
func (r *replica) snapshot(hint int) ([]byte, csmodel.Index, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sessions, err := r.sessions.Encode()
	if err != nil {
		return nil, 0, err
	}
	data, err := encodeState(sessions, r.machine, hint)
	return data, r.applied, err
}

func (r *replica) restore(s csraft.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var data snapshotData
	if err := cbor.Unmarshal(s.Data, &data); err != nil {
		return err
	}
	if err := r.sessions.Decode(data.Sessions); err != nil {
		return err
	}
	r.applied = s.Index
	r.epoch++
	return r.machine.Restore(data.Machine)
}

// reset restores the state before the first entry.
func (r *replica) reset() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions = csraft.Sessions{}
	r.applied = 0
	r.epoch++
	return r.machine.Restore(r.initialState)
}
