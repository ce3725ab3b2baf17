package csgroup

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// replica holds the machine and the results for duplicate proposals. Both change only together.
type replica struct {
	mu       sync.RWMutex
	machine  csraft.Machine
	blank    []byte // state of the machine before the first entry
	sessions csraft.Sessions
	applied  csmodel.Index
}

// image is the data of a snapshot.
type image struct {
	_        struct{} `cbor:",toarray"`
	Sessions []byte
	Machine  []byte
}

func (r *replica) view(f func(csraft.Machine)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// applied is an entry with its result. fresh is false for a duplicate, whose result is the first one.
type applied struct {
	csraft.Entry
	result []byte
	fresh  bool
	err    error
}

// apply executes entries. It takes the lock once, because readers that come in between cost more than an entry.
func (r *replica) apply(entries []csraft.Entry) []applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]applied, 0, len(entries))
	for _, e := range entries {
		if e.Index > r.applied {
			out = append(out, r.applyOne(e))
		}
	}
	return out
}

func (r *replica) applyOne(e csraft.Entry) applied {
	a := applied{Entry: e}
	if e.Kind == csraft.EntryNormal {
		var known bool
		a.result, known, a.err = r.sessions.Result(e.Proposal)
		if a.fresh = !known && a.err == nil; a.fresh {
			a.result = r.machine.Apply(e)
			r.sessions.Record(e, a.result)
		}
	}
	r.applied = e.Index
	return a
}

// result returns the result of a proposal that was applied.
func (r *replica) result(id csraft.ProposalID) ([]byte, bool, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.sessions.Result(id)
}

func (r *replica) snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sessions, err := r.sessions.Encode()
	if err != nil {
		return nil, err
	}
	machine, err := r.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(image{Sessions: sessions, Machine: machine})
}

func (r *replica) restore(s csraft.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var i image
	if err := cbor.Unmarshal(s.Data, &i); err != nil {
		return err
	}
	if err := r.sessions.Decode(i.Sessions); err != nil {
		return err
	}
	r.applied = s.Index
	return r.machine.Restore(i.Machine)
}

// reset returns to the state before the first entry.
func (r *replica) reset() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions = csraft.Sessions{}
	r.applied = 0
	return r.machine.Restore(r.blank)
}
