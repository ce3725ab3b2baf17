package csrequest

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Log is the log of key records on the disk of a node.
type Log interface {
	// Append adds a record, which is durable after Sync.
	Append(data []byte) error
	// Sync makes all appended records durable.
	Sync() error
	// Replay calls the function for each record in the order in which they were appended. It returns the first error of the
	// function.
	Replay(func(data []byte) error) error
}

// keyRecord is the CBOR encoding of one record in the Log.
type keyRecord struct {
	State       keyState            `cbor:"1,keyasint"`
	Incarnation csmodel.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64              `cbor:"3,keyasint"`
	Issued      int64               `cbor:"4,keyasint"` // Unix time in milliseconds
	Fingerprint uint32              `cbor:"5,keyasint"`
	Answer      *Answer             `cbor:"6,keyasint,omitempty"`
}

func encodeKeyRecord(key Key, s keyState, fingerprint uint32, a *Answer) []byte {
	data, err := cbor.Marshal(keyRecord{
		State:       s,
		Incarnation: key.Incarnation,
		Sequence:    key.Sequence,
		Issued:      key.Issued.UnixMilli(),
		Fingerprint: fingerprint,
		Answer:      a,
	})
	if err != nil {
		// The record holds only integers, a string and bytes, which always encode.
		panic(err)
	}
	return data
}

// Restore reads the records of earlier incarnations from a Log. It must be called before the first request. Requests that
// were started and have no recorded outcome remain unknown. It returns an error if the Log can't be read or a record can't
// be decoded.
func (k *Keys) Restore(now time.Time, l Log) error {
	err := l.Replay(func(data []byte) error {
		var r keyRecord
		if err := cbor.Unmarshal(data, &r); err != nil {
			return trace.Wrap(err, "decode key record")
		}
		key := Key{
			Node:        k.config.Node,
			Incarnation: r.Incarnation,
			Sequence:    r.Sequence,
			Issued:      time.UnixMilli(r.Issued),
		}
		if now.Sub(key.Issued) > recordRetention {
			return nil
		}
		k.setState(key, r.State, r.Fingerprint)
		if r.Answer != nil {
			k.storeAnswer(key, *r.Answer)
		}
		return nil
	})
	return trace.Wrap(err)
}

// Snapshot returns the encoded records within their retention time, to start a new Log with.
func (k *Keys) Snapshot(now time.Time) [][]byte {
	var records [][]byte
	for _, id := range sortedPages(k.pages) {
		p := k.pages[id]
		if now.Sub(p.newestIssue) > recordRetention {
			continue
		}
		for i, s := range p.states {
			if s == keyUnused {
				continue
			}
			key := Key{
				Node:        k.config.Node,
				Incarnation: id.incarnation,
				Sequence:    id.number*keysPerPage + uint64(i),
				Issued:      p.newestIssue,
			}
			var answer *Answer
			if stored, ok := k.answers[keyID{incarnation: key.Incarnation, sequence: key.Sequence}]; ok {
				answer = &stored.answer
			}
			records = append(records, encodeKeyRecord(key, s, p.fingerprints[i], answer))
		}
	}
	return records
}

// Save appends records to a Log, syncs it once and returns the Recorded events. If any append or the sync fails, all of them
// are marked as failed.
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
