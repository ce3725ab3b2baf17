package csfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// failureDomain identifies a rack of an availability zone. A pool has at most one in maintenance.
type failureDomain struct {
	zone csmodel.AvailabilityZone
	rack csmodel.Rack
}

// pass is the working state of one wave in one call of Plan.
type pass struct {
	*tick
	config      csconfig.Wave
	record      Wave
	periodStart time.Time
	progress    WaveProgress
	freeSlots   int
	paused      bool
	blockers    map[BlockReason]*Blocker
}

// planWave plans one tick of a maintenance wave.
func (t *tick) planWave(w csconfig.Wave) {
	p := &pass{tick: t, config: w, blockers: make(map[BlockReason]*Blocker)}
	p.record, _ = t.m.Wave(w.Name)
	pools := t.wavePools(w)
	start, begun := passStart(w, t.now)
	p.periodStart = start
	p.progress = WaveProgress{Wave: p.record}
	if w.Period > 0 {
		p.progress.End = start.Add(w.Period)
	}
	p.countVMs(pools)
	switch {
	case begun && start.After(p.record.Start):
		t.propose(StartWave{Wave: w.Name, Pass: p.record.Pass + 1, Start: start, Missed: p.countMissed(pools)})
	case begun:
		p.pauseOrResume(pools)
		p.startReboots(pools)
	}
	p.report()
}

// passStart returns the start of the current period of a wave and whether the first one has begun.
func passStart(w csconfig.Wave, now time.Time) (time.Time, bool) {
	if now.Before(w.Start) || w.Start.IsZero() {
		return w.Start, false
	}
	if w.Period <= 0 {
		return w.Start, true
	}
	return w.Start.Add(now.Sub(w.Start).Truncate(w.Period)), true
}

func (p *pass) maintained(v *VM) bool {
	return !v.Maintained.IsZero() && !v.Maintained.Before(p.periodStart)
}

func (p *pass) countVMs(pools []csmodel.PoolID) {
	for _, id := range pools {
		for _, v := range p.vmsByHome[id] {
			p.progress.Total++
			if p.maintained(v) {
				p.progress.Done++
			}
			if p.inMaintenance(v) {
				p.progress.Active++
			}
		}
	}
	p.freeSlots = max(p.config.Parallel, 1) - p.progress.Active
}

// countMissed returns the number of VMs that the recorded pass did not reach.
func (p *pass) countMissed(pools []csmodel.PoolID) int {
	if p.record.Pass == 0 {
		return 0
	}
	count := 0
	for _, id := range pools {
		for _, v := range p.vmsByHome[id] {
			if v.Maintained.Before(p.record.Start) {
				count++
			}
		}
	}
	return count
}

func (t *tick) inMaintenance(v *VM) bool {
	return v.InReboot() || t.pending[v.ID].step == StepReboot
}

// pauseOrResume pauses the wave while there are more unplanned losses than its limit, and resumes it afterwards. It does
// not end a pause by an operator.
func (p *pass) pauseOrResume(pools []csmodel.PoolID) {
	losses := p.m.Losses(pools, p.now)
	high := losses > p.config.Losses
	switch {
	case high && !p.record.Paused:
		reason := fmt.Sprintf("%d unplanned losses in %s, limit %d", losses, LossWindow, p.config.Losses)
		p.propose(PauseWave{Wave: p.record.Name, Version: p.record.Version, Reason: reason})
	case !high && p.record.Paused && !p.record.PausedByOperator:
		p.propose(ResumeWave{Wave: p.record.Name, Version: p.record.Version, Reason: "losses are within the limit"})
	}
	p.paused = high || p.record.Paused
}

func (p *pass) startReboots(pools []csmodel.PoolID) {
	for _, id := range pools {
		p.startPoolReboots(id)
	}
}

// startPoolReboots starts reboots in one rack of a pool.
func (p *pass) startPoolReboots(id csmodel.PoolID) {
	var eligible []*VM
	var current *failureDomain
	for _, v := range p.vmsByHome[id] {
		if p.inMaintenance(v) {
			current = &failureDomain{zone: v.Zone, rack: v.Rack}
			continue
		}
		if p.maintained(v) {
			continue
		}
		if b := p.blockReason(v); b != "" {
			p.recordBlocker(b, v)
			continue
		}
		eligible = append(eligible, v)
	}
	slices.SortFunc(eligible, compareLastMaintenance)
	for _, v := range eligible {
		p.rebootIfAllowed(v, &current)
	}
}

// compareLastMaintenance orders VMs by the time of their last maintenance, so that VMs that a pass missed come first in
// the next one, and then by failure domain.
func compareLastMaintenance(a, b *VM) int {
	return cmp.Or(
		a.Maintained.Truncate(maintenanceGranularity).Compare(b.Maintained.Truncate(maintenanceGranularity)),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.ID, b.ID),
	)
}

// maintenanceGranularity is the precision at which times of the last maintenance are compared, so that a pool finishes
// a zone before the next one.
const maintenanceGranularity = 24 * time.Hour

func (p *pass) rebootIfAllowed(v *VM, current **failureDomain) {
	d := failureDomain{zone: v.Zone, rack: v.Rack}
	switch {
	case p.paused:
		p.recordBlocker(BlockPaused, v)
	case *current != nil && **current != d:
		p.recordBlocker(BlockRack, v)
	case p.freeSlots <= 0:
		p.recordBlocker(BlockParallel, v)
	case !p.withinBudget(v, v.Pool):
		p.recordBlocker(BlockBudget, v)
	default:
		*current = &d
		p.freeSlots--
		p.recordPending(v, pendingStep{step: StepReboot})
		p.propose(StartReboot{VM: v.ID, Fence: v.Fence})
	}
}

// blockReason returns why a VM cannot be rebooted regardless of the other VMs, or "".
func (p *pass) blockReason(v *VM) BlockReason {
	_, pending := p.pending[v.ID]
	switch {
	case p.zoneUnavailable(v.Zone):
		return BlockZone
	case v.State != Serving || pending:
		return BlockState
	case !p.retryDrainAt[v.ID].IsZero():
		return BlockDrain
	case v.Lent() && !p.inLastFraction(2):
		return BlockLent
	case !p.inLastFraction(4) && !p.m.tasks.Interruptible(v.ID, p.now):
		return BlockTasks
	}
	return ""
}

// inLastFraction reports whether less than 1/n of the period remains. A VM that is lent or holds deferred tasks is then
// rebooted anyway, because otherwise it might never be.
func (p *pass) inLastFraction(n time.Duration) bool {
	return p.config.Period > 0 && p.progress.End.Sub(p.now) < p.config.Period/n
}

func (p *pass) recordBlocker(b BlockReason, v *VM) {
	x, ok := p.blockers[b]
	if !ok {
		x = &Blocker{Block: b, First: v.ID}
		p.blockers[b] = x
	}
	x.Count++
}

func (p *pass) report() {
	for _, b := range csmodel.SortedKeys(p.blockers) {
		p.progress.Blockers = append(p.progress.Blockers, *p.blockers[b])
	}
	p.plan.Waves = append(p.plan.Waves, p.progress)
}
