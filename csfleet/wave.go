package csfleet

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Wave is the replicated progress of a maintenance wave. A VM is done in the pass when it was maintained at or after
// Start.
type Wave struct {
	Name             csmodel.WaveID `cbor:"1,keyasint"`
	Pass             uint64         `cbor:"2,keyasint"`
	Start            time.Time      `cbor:"3,keyasint,omitzero"`
	Missed           int            `cbor:"4,keyasint,omitempty"`
	Paused           bool           `cbor:"5,keyasint,omitempty"`
	PausedByOperator bool           `cbor:"6,keyasint,omitempty"`
	Reason           string         `cbor:"7,keyasint,omitempty"`
	Version          uint64         `cbor:"8,keyasint"`
}

func (w *Wave) result(s Status) Result { return Result{Status: s, Version: w.Version} }

// maxReasonBytes is the length to which the reason of a pause or resumption is cut.
const maxReasonBytes = 256

func (c StartWave) apply(m *Machine, _ time.Time) Result {
	w, ok := m.waves[c.Wave]
	if !ok {
		w = &Wave{Name: c.Wave}
	}
	switch {
	case c.Wave == "":
		return Result{Status: Invalid}
	case ok && w.Pass == c.Pass && w.Start.Equal(c.Start):
		return w.result(Repeated)
	case c.Pass != w.Pass+1:
		return w.result(Stale)
	}
	m.addWave(w)
	w.Pass = c.Pass
	w.Start = c.Start.Round(0).UTC()
	w.Missed = c.Missed
	w.Version++
	return w.result(OK)
}

// maxWaveRecords is the number of wave records that are kept. The names of waves change with the configuration, so the
// number is not bounded otherwise.
const maxWaveRecords = 256

// addWave records a wave. Above maxWaveRecords it drops the record with the earliest start.
func (m *Machine) addWave(w *Wave) {
	m.waves[w.Name] = w
	if len(m.waves) <= maxWaveRecords {
		return
	}
	var oldest *Wave
	for _, id := range csmodel.SortedKeys(m.waves) {
		if o := m.waves[id]; o != w && (oldest == nil || o.Start.Before(oldest.Start)) {
			oldest = o
		}
	}
	delete(m.waves, oldest.Name)
}

func (c PauseWave) apply(m *Machine, _ time.Time) Result {
	w, ok := m.waves[c.Wave]
	if !ok {
		return Result{Status: NotFound}
	}
	switch {
	case w.Paused && (w.PausedByOperator || !c.Operator):
		return w.result(Repeated)
	case !c.Operator && w.Version != c.Version:
		return w.result(Stale)
	}
	w.Paused = true
	w.PausedByOperator = c.Operator
	w.Reason = c.Reason[:min(len(c.Reason), maxReasonBytes)]
	w.Version++
	return w.result(OK)
}

func (c ResumeWave) apply(m *Machine, _ time.Time) Result {
	w, ok := m.waves[c.Wave]
	if !ok {
		return Result{Status: NotFound}
	}
	switch {
	case !w.Paused:
		return w.result(Repeated)
	case w.PausedByOperator && !c.Operator:
		return w.result(NotAllowed)
	case !c.Operator && w.Version != c.Version:
		return w.result(Stale)
	}
	w.Paused, w.PausedByOperator = false, false
	w.Reason = c.Reason[:min(len(c.Reason), maxReasonBytes)]
	w.Version++
	return w.result(OK)
}
