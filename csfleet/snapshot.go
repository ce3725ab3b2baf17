package csfleet

import (
	"fmt"

	"cowslipstream.example/cowslipstream/cscodec"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// snapshot is the encoded form of a machine. Restore derives the counts of the pools from the VMs.
type snapshot struct {
	Escrow   bool             `cbor:"1,keyasint,omitempty"`
	Revision csmodel.Revision `cbor:"2,keyasint"`
	Pools    []csconfig.Pool  `cbor:"3,keyasint"`
	VMs      []VM             `cbor:"4,keyasint"`
	Zones    []snapshotZone   `cbor:"5,keyasint"`
	Waves    []Wave           `cbor:"6,keyasint"`
	Losses   []loss           `cbor:"7,keyasint"`
	Tasks    []byte           `cbor:"8,keyasint"`
}

type snapshotZone struct {
	Name csmodel.AvailabilityZone `cbor:"1,keyasint"`
	Zone zone                     `cbor:"2,keyasint"`
}

// Snapshot encodes the state of the machine. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	tasks, err := m.tasks.Snapshot()
	if err != nil {
		return nil, err
	}
	s := snapshot{
		Escrow: m.options.Escrow, Revision: m.revision, Pools: m.Pools(), VMs: m.VMs(), Losses: m.losses, Tasks: tasks,
	}
	if len(s.Losses) == 0 {
		s.Losses = nil
	}
	for _, id := range csmodel.SortedKeys(m.zones) {
		s.Zones = append(s.Zones, snapshotZone{Name: id, Zone: m.zones[id]})
	}
	for _, id := range csmodel.SortedKeys(m.waves) {
		s.Waves = append(s.Waves, *m.waves[id])
	}
	return cscodec.Marshal(s)
}

// Restore replaces the state of the machine with a snapshot. It returns an error that wraps ErrEncoding if the snapshot
// cannot be decoded, or the error of the task table. The machine must not be used after an error.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cscodec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	tasks := m.tasks
	m.options.Escrow = s.Escrow
	m.reset()
	m.tasks = tasks
	if err := m.tasks.Restore(s.Tasks); err != nil {
		return err
	}
	m.revision = s.Revision
	m.losses = s.Losses
	for _, p := range s.Pools {
		*m.pool(p.Name) = pool{config: p, configured: true, zones: make(map[csmodel.AvailabilityZone]zoneCount)}
	}
	for _, z := range s.Zones {
		m.zones[z.Name] = z.Zone
	}
	for _, w := range s.Waves {
		m.waves[w.Name] = &w
	}
	for _, v := range s.VMs {
		m.insert(&v)
	}
	return nil
}
