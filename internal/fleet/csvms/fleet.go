package csvms

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csrun"
)

const (
	// decisionInterval limits the rate of decisions. A move takes 1.5 s, so 100 ms more hardly matter.
	decisionInterval = 100 * time.Millisecond
	// decisionShare bounds the part of the time that decisions take on a store with many VMs and little processor time: the
	// next one is made after this multiple of the duration of the last one.
	decisionShare = 20
	// maxDecisionInterval bounds the interval after a decision that was interrupted.
	maxDecisionInterval = 500 * time.Millisecond
	// listInterval limits the rate of VM listings, which the platform charges for.
	listInterval = time.Second
	// arrivalTolerance is how long after its expected return a moved VM still counts as arriving: the time of a heartbeat and a
	// listing.
	arrivalTolerance    = 2500 * time.Millisecond
	capacityLogInterval = time.Second
	callTimeout         = 2 * time.Second // the platform may respond slowly
	retryDelay          = 300 * time.Millisecond
	// maxReservationTime is how long a VM may stay reserved for a move without becoming idle.
	maxReservationTime = 8 * time.Second
	// waveDeadlineMargin is the part of a wave's time that is kept for VMs that return late from maintenance.
	waveDeadlineMargin = 3 * time.Second
)

// Options configures a Fleet.
type Options struct {
	State           csrun.State
	Platform        Platform
	Clock           clockwork.Clock
	Log             *zap.Logger
	MoveTime        time.Duration // from the order to move until the VM's return
	MaintenanceTime time.Duration // from the start of maintenance until the VM's return
	Holder          csjob.Holder  // name under which this store sends VM orders
	// HandoverDelay is the time within which two holders must not send orders for the same VM. Zero means no limit.
	HandoverDelay time.Duration
}

// Fleet decides on moves and maintenance of VMs on the leader. It implements csrun.Fleet. Create it with New.
type Fleet struct {
	options Options
	log     *zap.Logger

	mu             sync.Mutex
	ctx            context.Context // cancelled at the end of the epoch
	cancel         context.CancelFunc
	leadingSince   time.Time // first round of this epoch; zero before
	epoch          int       // incremented on each change of the leader, so that late results are dropped
	term           csmodel.Term
	vms            map[csmodel.VMID]VM
	listedAt       time.Time // last successful listing; zero before the first one
	listEndedAt    time.Time // end of the last listing, successful or not
	listing        bool
	nextDecision   time.Time // earliest time of the next decision
	loggedAt       time.Time
	reservations   map[csmodel.VMID]*reservation
	accepted       csjob.Command // consequences of accepted orders that are not proposed yet
	acceptedDue    bool          // they will be
	barrierPending bool          // a barrier command is in flight; see proposeBarrier
	barrierAt      time.Time     // last proposal of a barrier command
	openOrders     map[csmodel.VMID]*openOrder
	arriving       map[csmodel.VMID]time.Time      // expected return of VMs whose move was accepted
	changedAt      map[csmodel.VMID]time.Time      // accepted orders, until a list arrives that was requested later
	endedAt        map[csjob.Incarnation]time.Time // target incarnations that an order has ended
	held           csmodel.Set[csjob.Incarnation]  // target incarnations that get no new tasks; each decision makes a new set
	idleSince      map[csmodel.VMID]time.Time      // start of the idle time of VMs
	forecast       Forecast
	peakVMs        slidingMax // VMs that all pools together should have
	loggedTurn     turn       // last turn that was logged
	replayed       bool       // the forecast has learned from the arrivals before this epoch
	// awaitingMaintenance are the targets whose VMs await their maintenance. Each decision makes a new set.
	awaitingMaintenance csmodel.Set[csjob.Incarnation]
	// noTimeToMove are the VMs whose wave leaves no time for a move to another pool. Each decision makes a new set.
	noTimeToMove csmodel.Set[csmodel.VMID]
	// maintenanceDue are the targets whose VMs have to begin their maintenance now. Each decision makes a new set.
	maintenanceDue csmodel.Set[csjob.Incarnation]
	absences       map[csmodel.VMID]*absence       // VMs of open waves that are missing from the lists
	lastTargets    map[csmodel.VMID]csjob.TargetID // last target listed on each VM
}

// New returns a Fleet that requests a list of the VMs in its first round.
func New(o Options) *Fleet {
	f := &Fleet{options: o, log: o.Log}
	f.resetState()
	return f
}

func (f *Fleet) resetState() {
	f.epoch++
	if f.cancel != nil {
		f.cancel()
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.leadingSince = time.Time{}
	f.vms = map[csmodel.VMID]VM{}
	f.listedAt, f.listEndedAt, f.nextDecision, f.listing = time.Time{}, time.Time{}, time.Time{}, false
	f.reservations = map[csmodel.VMID]*reservation{}
	f.accepted, f.acceptedDue = csjob.Command{}, false
	f.barrierPending, f.barrierAt = false, time.Time{}
	f.openOrders = map[csmodel.VMID]*openOrder{}
	f.arriving = map[csmodel.VMID]time.Time{}
	f.changedAt = map[csmodel.VMID]time.Time{}
	f.endedAt = map[csjob.Incarnation]time.Time{}
	f.held = csmodel.NewSet[csjob.Incarnation]()
	f.idleSince = map[csmodel.VMID]time.Time{}
	f.replayed = false
	f.peakVMs = slidingMax{}
	f.awaitingMaintenance, f.maintenanceDue, f.noTimeToMove = nil, nil, nil
	f.absences = map[csmodel.VMID]*absence{}
	f.lastTargets = map[csmodel.VMID]csjob.TargetID{}
}

// Reset implements csrun.Fleet.
func (f *Fleet) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetState()
}

// Evicting implements csrun.Fleet.
func (f *Fleet) Evicting() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// EvictingSoon implements csrun.Fleet.
func (f *Fleet) EvictingSoon() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awaitingMaintenance
}

// MaintenanceDue implements csrun.Fleet.
func (f *Fleet) MaintenanceDue() csmodel.Set[csjob.Incarnation] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maintenanceDue
}

// Ended implements csrun.Fleet.
func (f *Fleet) Ended(l csjob.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.endedAt[l]
	return ok
}

// Round implements csrun.Fleet.
func (f *Fleet) Round(r csrun.Round) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leadingSince.IsZero() {
		f.leadingSince = r.Now
		f.term = csmodel.Term(r.Fence)
	}
	if !f.listedAt.IsZero() {
		f.processOrders(r) // committed orders do not wait for the next decision
	}
	if r.Now.Before(f.nextDecision) {
		return
	}
	startedAt := f.options.Clock.Now()
	defer func() { f.nextDecision = r.Now.Add(decisionPause(f.options.Clock.Now().Sub(startedAt))) }()
	f.requestList(r)
	if f.listedAt.IsZero() {
		f.updateHeld(r.Table) // orders of earlier leaders are open whether or not the platform answers
		return
	}
	if config := r.Table.Config(); config != nil {
		view := f.buildView(r, config)
		f.advanceWaves(r, view)
		f.balance(r, view)
	}
	f.updateHeld(r.Table)
	f.commitReady(r)
}

// decisionPause returns the time from a decision that took d to the next one.
func decisionPause(d time.Duration) time.Duration {
	return min(max(decisionInterval, decisionShare*d), maxDecisionInterval)
}

// requestList lists the VMs in the background if the last list may be outdated.
func (f *Fleet) requestList(r csrun.Round) {
	if f.listing || r.Now.Sub(f.listEndedAt) < listInterval || !f.listOutdated(r) {
		return
	}
	f.listing = true
	epoch, requestedAt := f.epoch, f.options.Clock.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		vms, err := f.options.Platform.VMs(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if epoch != f.epoch {
			return
		}
		f.listing = false
		f.listEndedAt = f.options.Clock.Now()
		if err != nil {
			f.log.Warn("VMs not listed", zap.Duration("list_age", f.listEndedAt.Sub(f.listedAt)), zap.Error(err))
			return
		}
		f.listedAt = f.listEndedAt
		f.applyList(vms, requestedAt)
	}()
}

// applyList stores a list that was requested at requestedAt. The list may have been made before an order that was accepted since,
// so it is ignored for the VM of such an order.
func (f *Fleet) applyList(vms []VM, requestedAt time.Time) {
	before := f.vms
	f.vms = map[csmodel.VMID]VM{}
	for _, v := range vms {
		if v.Target != "" {
			f.lastTargets[v.ID] = v.Target
		}
		if at, changed := f.changedAt[v.ID]; changed && at.After(requestedAt) {
			f.log.Info("VM in a list from before its order", zap.String("vm", string(v.ID)), zap.Duration("list_age", f.listedAt.Sub(requestedAt)),
				zap.Duration("order_age", f.listedAt.Sub(at)))
			v = before[v.ID]
		} else {
			delete(f.changedAt, v.ID)
		}
		f.vms[v.ID] = v
	}
}

// listOutdated reports whether the list of VMs may have changed.
func (f *Fleet) listOutdated(r csrun.Round) bool {
	if f.listedAt.IsZero() || len(r.Table.VMOrders()) > 0 || len(f.arriving) > 0 || len(f.absences) > 0 {
		return true
	}
	known := make(csmodel.Set[csjob.TargetID], len(f.vms))
	for _, v := range f.vms {
		known.Add(v.Target)
	}
	return r.Table.AnyTarget(func(id csjob.TargetID) bool { return !known.Has(id) })
}

// targetOn returns the target on a VM, or false if it is not known.
func (f *Fleet) targetOn(t *csjob.Table, v VM) (csjob.Target, bool) {
	if v.Target == "" {
		return csjob.Target{}, false
	}
	return t.Target(v.Target)
}
