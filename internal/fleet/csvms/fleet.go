package csvms

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// decideEvery bounds the decisions per second. A move takes 1.5 s, so 100 ms more hardly matter.
	decideEvery = 100 * time.Millisecond
	// listEvery bounds the listings of VMs, which are charged.
	listEvery = time.Second
	// arriveSlack is how long after its time a moved VM is still expected: a heartbeat and a listing.
	arriveSlack = 2500 * time.Millisecond
	logEvery    = time.Second
	callTimeout = 2 * time.Second // the platform may answer slowly
	retryPause  = 300 * time.Millisecond
	// holdLimit is how long a VM may stay reserved without becoming idle.
	holdLimit = 8 * time.Second
	// waveMargin is the part of a wave's time that is kept for VMs that come back late.
	waveMargin = 3 * time.Second
)

// Options configure a Fleet.
type Options struct {
	State    csrun.State
	Platform Platform
	Clock    clockwork.Clock
	Log      *zap.Logger
	MoveTime time.Duration // from a move to the VM's return
	Upkeep   time.Duration // from the start of maintenance to the VM's return
	Holder   csjob.Holder  // name under which this store orders VMs
	// Turn is the time in which two holders must not order one VM. Zero is no such bound.
	Turn time.Duration
}

// Fleet decides about VMs on the leader. It implements csrun.Fleet. Use New.
type Fleet struct {
	o   Options
	log *zap.Logger

	mu       sync.Mutex
	ctx      context.Context // ends with the epoch
	cancel   context.CancelFunc
	since    time.Time // first round of this epoch; zero before
	epoch    int       // increases with each change of the leader, so that late results are dropped
	term     csmodel.Term
	vms      map[csmodel.VMID]VM
	listedAt time.Time // last list that was answered; zero before the first one
	askedAt  time.Time // end of the last listing, answered or not
	listing  bool
	decided  time.Time
	loggedAt time.Time
	reserved map[csmodel.VMID]*reservation
	asking   bool      // a command is on its way that decides those without a known outcome
	triedAt  time.Time // when it was last proposed
	calls    map[csmodel.VMID]*orderCall
	arriving map[csmodel.VMID]time.Time // moves that were accepted, by the time of their return
	changed  map[csmodel.VMID]time.Time // orders that were accepted, until a list that was asked for later
	dead     map[csjob.Life]time.Time   // lives that an order has ended
	held     csmodel.Set[csjob.Life]    // no new tasks there
	idle     map[csmodel.VMID]time.Time // since when VMs have been idle
	forecast Forecast
	peaks    peaks                           // of the VMs that all pools together should have
	turn     turn                            // the last one that was logged
	learned  bool                            // the forecast has taken in what the table knows
	due      map[csmodel.WaveID][]csjob.Life // targets whose VMs wait for their maintenance
	absences map[csmodel.VMID]*absence       // VMs of waves that are not listed
	tenants  map[csmodel.VMID]csjob.TargetID // last target that a VM was listed with
}

// New returns a fleet.
func New(o Options) *Fleet {
	f := &Fleet{o: o, log: o.Log}
	f.clear()
	return f
}

func (f *Fleet) clear() {
	f.epoch++
	if f.cancel != nil {
		f.cancel()
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.since = time.Time{}
	f.vms = map[csmodel.VMID]VM{}
	f.listedAt, f.askedAt, f.decided, f.listing = time.Time{}, time.Time{}, time.Time{}, false
	f.reserved = map[csmodel.VMID]*reservation{}
	f.asking, f.triedAt = false, time.Time{}
	f.calls = map[csmodel.VMID]*orderCall{}
	f.arriving = map[csmodel.VMID]time.Time{}
	f.changed = map[csmodel.VMID]time.Time{}
	f.dead = map[csjob.Life]time.Time{}
	f.held = csmodel.NewSet[csjob.Life]()
	f.idle = map[csmodel.VMID]time.Time{}
	f.learned = false
	f.peaks = peaks{}
	f.due = map[csmodel.WaveID][]csjob.Life{}
	f.absences = map[csmodel.VMID]*absence{}
	f.tenants = map[csmodel.VMID]csjob.TargetID{}
}

// Reset implements csrun.Fleet.
func (f *Fleet) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clear()
}

// Held implements csrun.Fleet.
func (f *Fleet) Held() csmodel.Set[csjob.Life] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.held)
}

// Due implements csrun.Fleet.
func (f *Fleet) Due() csmodel.Set[csjob.Life] {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := csmodel.NewSet[csjob.Life]()
	for _, lives := range f.due {
		for _, l := range lives {
			out.Add(l)
		}
	}
	return out
}

// Dead implements csrun.Fleet.
func (f *Fleet) Dead(l csjob.Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.dead[l]
	return ok
}

// Round implements csrun.Fleet.
func (f *Fleet) Round(r csrun.Round) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since.IsZero() {
		f.since = r.Now
		f.term = csmodel.Term(r.Fence)
	}
	if !f.listedAt.IsZero() {
		f.carryOut(r) // what was committed waits for no decision
	}
	if r.Now.Sub(f.decided) < decideEvery {
		return
	}
	f.decided = r.Now
	f.list(r)
	if f.listedAt.IsZero() {
		f.hold(r.Table) // orders of earlier leaders are open whether or not the platform answers
		return
	}
	if config := r.Table.Config(); config != nil {
		s := f.survey(r, config)
		f.waves(r, s)
		f.balance(r, s)
	}
	f.hold(r.Table)
	f.release(r)
}

// list asks for the VMs where something is not known or expected to change.
func (f *Fleet) list(r csrun.Round) {
	if f.listing || r.Now.Sub(f.askedAt) < listEvery || !f.outdated(r) {
		return
	}
	f.listing = true
	epoch, began := f.epoch, f.o.Clock.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		vms, err := f.o.Platform.VMs(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if epoch != f.epoch {
			return
		}
		f.listing = false
		f.askedAt = f.o.Clock.Now()
		if err != nil {
			f.log.Warn("VMs not listed", zap.Duration("list_age", f.askedAt.Sub(f.listedAt)), zap.Error(err))
			return
		}
		f.listedAt = f.askedAt
		f.listed(vms, began)
	}()
}

// listed takes in a list that was asked for at a time. It may have been made before an order that was accepted since, and then
// tells nothing of that VM.
func (f *Fleet) listed(vms []VM, began time.Time) {
	before := f.vms
	f.vms = map[csmodel.VMID]VM{}
	for _, v := range vms {
		if v.Target != "" {
			f.tenants[v.ID] = v.Target
		}
		if at, changed := f.changed[v.ID]; changed && at.After(began) {
			f.log.Info("VM in a list from before its order", zap.String("vm", string(v.ID)), zap.Duration("list_age", f.listedAt.Sub(began)),
				zap.Duration("order_age", f.listedAt.Sub(at)))
			v = before[v.ID]
		} else {
			delete(f.changed, v.ID)
		}
		f.vms[v.ID] = v
	}
}

// outdated tells whether the list of VMs may have changed.
func (f *Fleet) outdated(r csrun.Round) bool {
	if f.listedAt.IsZero() || len(r.Table.VMOrders()) > 0 || len(f.arriving) > 0 || len(f.absences) > 0 {
		return true
	}
	known := make(csmodel.Set[csjob.TargetID], len(f.vms))
	for _, v := range f.vms {
		known.Add(v.Target)
	}
	return r.Table.AnyTarget(func(id csjob.TargetID) bool { return !known.Has(id) })
}

// life returns the target on a VM, and false where it is not known.
func (f *Fleet) life(t *csjob.Table, v VM) (csjob.Target, bool) {
	if v.Target == "" {
		return csjob.Target{}, false
	}
	return t.Target(v.Target)
}
