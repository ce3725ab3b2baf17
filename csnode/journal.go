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
	log     csrequest.Log
	batches chan []csrequest.Record
}

func (n *Node) openJournal() error {
	n.journal = &journal{n: n, batches: make(chan []csrequest.Record, journalQueue)}
	disk, err := n.openDisk("keys")
	if err != nil {
		return trace.Wrap(err)
	}
	if disk == nil {
		return nil
	}
	log, err := openKeyLog(disk)
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
	case j.batches <- records:
	default:
		j.n.log.Warn("key records dropped: disk too slow", zap.Int("records", len(records)))
		for _, r := range records {
			if r.ID != 0 {
				j.n.send(j.n.tree.requests, csrequest.Recorded{ID: r.ID, Failed: true})
			}
		}
	}
}

func (j *journal) write() {
	for {
		select {
		case <-j.n.closed:
			return
		case records := <-j.batches:
			records = j.drain(records)
			for _, e := range csrequest.Save(j.log, records) {
				j.n.send(j.n.tree.requests, e)
			}
		}
	}
}

// drain adds the batches that are already waiting, so that one sync covers them.
func (j *journal) drain(records []csrequest.Record) []csrequest.Record {
	for {
		select {
		case more := <-j.batches:
			records = append(records, more...)
		default:
			return records
		}
	}
}
