package csrequest

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Log is the record log on the disk of a node.
type Log interface {
	// Append adds a record. It is durable after Sync.
	Append(data []byte) error
	Sync() error
	// Replay calls the function with each record in the order of appending.
	Replay(func(data []byte) error) error
}

// keyRecord is one entry of the log.
type keyRecord struct {
	State       keyState            `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
	Issued      int64               `cbor:"4,keyasint"` // milliseconds since 1970
	Print       uint32              `cbor:"5,keyasint"`
	Answer      *Answer             `cbor:"6,keyasint,omitempty"`
}

func encode(key Key, s keyState, fingerprint uint32, a *Answer) []byte {
	data, err := cbor.Marshal(keyRecord{
		State:       s,
		Incarnation: key.Incarnation,
		Sequence:    key.Sequence,
		Issued:      key.Issued.UnixMilli(),
		Print:       fingerprint,
		Answer:      a,
	})
	if err != nil {
		// The record holds only integers, a string and bytes, which always encode.
		panic(err)
	}
	return data
}

// Restore reads the records of earlier incarnations. It is called before the first request. Started requests without an
// outcome stay unknown.
func (k *Keys) Restore(now time.Time, l Log) error {
	err := l.Replay(func(data []byte) error {
		var r keyRecord
		if err := cbor.Unmarshal(data, &r); err != nil {
			return trace.Wrap(err, "key record")
		}
		key := Key{
			Node:        k.config.Node,
			Incarnation: r.Incarnation,
			Sequence:    r.Sequence,
			Issued:      time.UnixMilli(r.Issued),
		}
		if now.Sub(key.Issued) > recordLife {
			return nil
		}
		k.set(key, r.State, r.Print)
		if r.Answer != nil {
			k.store(key, *r.Answer)
		}
		return nil
	})
	return trace.Wrap(err)
}

// Snapshot returns the unexpired records, to start a new log with.
func (k *Keys) Snapshot(now time.Time) [][]byte {
	var records [][]byte
	for _, id := range sortedPages(k.pages) {
		p := k.pages[id]
		if now.Sub(p.issued) > recordLife {
			continue
		}
		for i, s := range p.states {
			if s == keyUnused {
				continue
			}
			key := Key{
				Node:        k.config.Node,
				Incarnation: id.incarnation,
				Sequence:    id.number*pageSize + uint64(i),
				Issued:      p.issued,
			}
			var answer *Answer
			if stored, ok := k.answers[keyID{incarnation: key.Incarnation, sequence: key.Sequence}]; ok {
				answer = &stored.answer
			}
			records = append(records, encode(key, s, p.prints[i], answer))
		}
	}
	return records
}

// Save executes Record commands with one sync and returns the events for the Router.
func Save(l Log, records []Record) []Event {
	failed := false
	for _, r := range records {
		failed = l.Append(r.Data) != nil || failed
	}
	failed = l.Sync() != nil || failed
	var events []Event
	for _, r := range records {
		if r.ID != 0 {
			events = append(events, Recorded{ID: r.ID, Failed: failed})
		}
	}
	return events
}
