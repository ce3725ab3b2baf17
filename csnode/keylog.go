package csnode

import (
	"errors"
	"sync"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csmodel"
)

// keyLog is the record log of idempotency keys on disk.
type keyLog struct {
	mutex sync.Mutex
	disk  csdisk.Disk
	log   *csdisk.Log
	size  csmodel.Bytes // after the last compaction
}

// openKeyLog opens the records. A damaged folder is set aside: the keys of earlier incarnations are then unknown.
func (n *Node) openKeyLog(disk csdisk.Disk) (*keyLog, error) {
	k := &keyLog{disk: disk}
	log, _, err := csdisk.OpenLog(disk, 0)
	if errors.Is(err, csdisk.ErrCorrupt) {
		n.log.Error("key records damaged, starting without them", zap.Error(err))
		if err := csdisk.SetAside(disk); err != nil {
			return nil, err
		}
		log, _, err = csdisk.OpenLog(disk, 0)
	}
	k.log = log
	return k, err
}

// Append adds a record.
func (k *keyLog) Append(data []byte) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.log.Append(data)
}

// Sync makes the records durable.
func (k *keyLog) Sync() error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.log.Sync()
}

// Replay reads all records again.
func (k *keyLog) Replay(f func(data []byte) error) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	log, records, err := csdisk.OpenLog(k.disk, 0)
	if err != nil {
		return err
	}
	k.log = log
	k.size = log.Bytes()
	for _, r := range records {
		if err := f(r); err != nil {
			return err
		}
	}
	return nil
}

// compact replaces the records by those that are still needed.
func (k *keyLog) compact(records [][]byte) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err := k.log.Reset(records...); err != nil {
		return err
	}
	k.size = k.log.Bytes()
	return nil
}

// grown tells whether the log is worth a compaction.
func (k *keyLog) grown() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.log.Bytes() > max(minCompact, 2*k.size)
}

// minCompact is the size below which the key records are not compacted.
const minCompact = 8 * csmodel.MiB
