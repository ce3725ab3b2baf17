package csfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// domain is the rack that a pool has in maintenance.
type domain struct {
	zone csmodel.AvailabilityZone
	rack csmodel.Rack
}

// pass is the working state of one wave in a tick.
type pass struct {
	*tick
	config   csconfig.Wave
	record   Wave
	begin    time.Time
	progress WaveProgress
	slots    int
	paused   bool
	blocks   map[Block]*Blocker
}

// wave plans one tick of a maintenance wave.
func (t *tick) wave(w csconfig.Wave) {
	p := &pass{tick: t, config: w, blocks: make(map[Block]*Blocker)}
	p.record, _ = t.m.Wave(w.Name)
	pools := t.wavePools(w)
	begin, begun := passStart(w, t.now)
	p.begin = begin
	p.progress = WaveProgress{Wave: p.record}
	if w.Period > 0 {
		p.progress.End = begin.Add(w.Period)
	}
	p.count(pools)
	switch {
	case begun && begin.After(p.record.Start):
		t.propose(StartWave{Wave: w.Name, Pass: p.record.Pass + 1, Start: begin, Missed: p.missed(pools)})
	case begun:
		p.pause(pools)
		p.run(pools)
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

func (p *pass) done(v *VM) bool { return !v.Maintained.IsZero() && !v.Maintained.Before(p.begin) }

func (p *pass) count(pools []csmodel.PoolID) {
	for _, id := range pools {
		for _, v := range p.homes[id] {
			p.progress.Total++
			if p.done(v) {
				p.progress.Done++
			}
			if p.inMaintenance(v) {
				p.progress.Active++
			}
		}
	}
	p.slots = max(p.config.Parallel, 1) - p.progress.Active
}

// missed counts the VMs that the pass in the record did not reach.
func (p *pass) missed(pools []csmodel.PoolID) int {
	if p.record.Pass == 0 {
		return 0
	}
	count := 0
	for _, id := range pools {
		for _, v := range p.homes[id] {
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

// pause stops the wave while there are too many unplanned losses. A pause by an operator is left alone.
func (p *pass) pause(pools []csmodel.PoolID) {
	losses := p.m.Losses(pools, p.now)
	high := losses > p.config.Losses
	switch {
	case high && !p.record.Paused:
		reason := fmt.Sprintf("%d unplanned losses in %s, limit %d", losses, LossWindow, p.config.Losses)
		p.propose(PauseWave{Wave: p.record.Name, Version: p.record.Version, Reason: reason})
	case !high && p.record.Paused && !p.record.Manual:
		p.propose(ResumeWave{Wave: p.record.Name, Version: p.record.Version, Reason: "losses are within the limit"})
	}
	p.paused = high || p.record.Paused
}

func (p *pass) run(pools []csmodel.PoolID) {
	for _, id := range pools {
		p.runPool(id)
	}
}

// runPool starts reboots in one rack of a pool.
func (p *pass) runPool(id csmodel.PoolID) {
	var eligible []*VM
	var current *domain
	for _, v := range p.homes[id] {
		if p.inMaintenance(v) {
			current = &domain{zone: v.Zone, rack: v.Rack}
			continue
		}
		if p.done(v) {
			continue
		}
		if b := p.blocked(v); b != "" {
			p.block(b, v)
			continue
		}
		eligible = append(eligible, v)
	}
	slices.SortFunc(eligible, compareDue)
	for _, v := range eligible {
		p.consider(v, &current)
	}
}

// compareDue orders VMs by the time of their last maintenance, so that VMs that a pass missed come first in the next
// one, and then by failure domain.
func compareDue(a, b *VM) int {
	return cmp.Or(
		a.Maintained.Truncate(dueGranularity).Compare(b.Maintained.Truncate(dueGranularity)),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.ID, b.ID),
	)
}

// dueGranularity groups VMs of about the same age, so that a pool finishes a zone before the next one.
const dueGranularity = 24 * time.Hour

func (p *pass) consider(v *VM, current **domain) {
	d := domain{zone: v.Zone, rack: v.Rack}
	switch {
	case p.paused:
		p.block(BlockPaused, v)
	case *current != nil && **current != d:
		p.block(BlockRack, v)
	case p.slots <= 0:
		p.block(BlockParallel, v)
	case !p.affordable(v, v.Pool):
		p.block(BlockBudget, v)
	default:
		*current = &d
		p.slots--
		p.start(v, start{step: StepReboot})
		p.propose(StartReboot{VM: v.ID, Fence: v.Fence})
	}
}

// blocked returns the reason for which a VM cannot be rebooted whatever the others do.
func (p *pass) blocked(v *VM) Block {
	_, pending := p.pending[v.ID]
	switch {
	case p.cut(v.Zone):
		return BlockZone
	case v.State != Serving || pending:
		return BlockState
	case !p.retry[v.ID].IsZero():
		return BlockDrain
	case v.Lent() && !p.ending(2):
		return BlockLent
	case !p.ending(4) && !p.m.tasks.Interruptible(v.ID, p.now):
		return BlockTasks
	}
	return ""
}

// ending tells whether less than 1/n of the period remains. Then a VM that is lent or holds deferred tasks is rebooted
// all the same, because otherwise it might never be.
func (p *pass) ending(n time.Duration) bool {
	return p.config.Period > 0 && p.progress.End.Sub(p.now) < p.config.Period/n
}

func (p *pass) block(b Block, v *VM) {
	x, ok := p.blocks[b]
	if !ok {
		x = &Blocker{Block: b, First: v.ID}
		p.blocks[b] = x
	}
	x.Count++
}

func (p *pass) report() {
	for _, b := range csmodel.SortedKeys(p.blocks) {
		p.progress.Blockers = append(p.progress.Blockers, *p.blocks[b])
	}
	p.plan.Waves = append(p.plan.Waves, p.progress)
}
