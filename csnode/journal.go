package csnode

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csrequest"
)

// journalQueue bounds the batches of records that wait for the disk.
const journalQueue = 4096

// journal makes the records of idempotency keys durable, many with one sync. A node without a disk keeps none: its next
// incarnation answers `unknown` for the keys of this one.
type journal struct {
	n       *Node
	log     *keyLog
	batches chan journalBatch
}

// journalBatch holds records to append, or all records that replace the log.
type journalBatch struct {
	records  []csrequest.Record
	snapshot [][]byte
	compact  bool
}

func (n *Node) openJournal() error {
	n.journal = &journal{n: n, batches: make(chan journalBatch, journalQueue)}
	disk, err := n.openDisk("keys")
	if err != nil {
		return trace.Wrap(err)
	}
	if disk == nil {
		return nil
	}
	log, err := n.openKeyLog(disk)
	if err != nil {
		return trace.Wrap(err)
	}
	n.journal.log = log
	n.work.Go(n.journal.write)
	return nil
}

func (j *journal) restore(now time.Time, keys *csrequest.Keys) error {
	if j.log == nil {
		return nil
	}
	return keys.Restore(now, j.log)
}

// append hands records to the writer. Records without an id need no confirmation.
func (j *journal) append(records []csrequest.Record) {
	if len(records) == 0 {
		return
	}
	if j.log == nil {
		for _, r := range records {
			if r.ID != 0 {
				j.n.send(j.n.tree.requests, csrequest.Recorded{ID: r.ID})
			}
		}
		return
	}
	select {
	case j.batches <- journalBatch{records: records}:
	default:
		j.n.log.Warn("key records dropped: disk too slow", zap.Int("records", len(records)))
		for _, r := range records {
			if r.ID != 0 {
				j.n.send(j.n.tree.requests, csrequest.Recorded{ID: r.ID, Failed: true})
			}
		}
	}
}

// compact replaces the log by a snapshot of the keys where it has grown. Batches that are queued earlier are part of the
// snapshot.
func (j *journal) compact(now time.Time, keys *csrequest.Keys) {
	if j.log == nil || !j.log.grown() {
		return
	}
	select {
	case j.batches <- journalBatch{snapshot: keys.Snapshot(now), compact: true}:
	default:
	}
}

func (j *journal) write() {
	for {
		select {
		case <-j.n.closed:
			return
		case b := <-j.batches:
			j.save(b)
		}
	}
}

// save writes a batch together with those that are already waiting, so that one sync covers them.
func (j *journal) save(b journalBatch) {
	records := b.records
	for !b.compact {
		select {
		case b = <-j.batches:
			records = append(records, b.records...)
			continue
		default:
		}
		break
	}
	for _, e := range csrequest.Save(j.log, records) {
		j.n.send(j.n.tree.requests, e)
	}
	if !b.compact {
		return
	}
	if err := j.log.compact(b.snapshot); err != nil {
		j.n.log.Error("key records not compacted", zap.Error(err))
	}
}
