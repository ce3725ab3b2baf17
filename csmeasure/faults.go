package csmeasure

import (
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstask"
)

// The wave of faults, in parts of the measured time, and its sizes.
const (
	rackAt     = 0.20 // a rack is lost
	secondAt   = 0.27 // a VM of another rack is lost during the repair
	repairedAt = 0.37
	cutAt      = 0.47 // an availability zone is cut off
	failingAt  = 0.57 // workers fail everything
	floodAt    = 0.80 // tasks and requests are cancelled
	cutLength  = 8 * time.Second
	failLength = 0.17
	failTime   = 20 * time.Millisecond
	failShare  = 25 // one of so many VMs fails everything

	floodTasks  = 20_000
	floodLength = 5 * time.Second
	floodShare  = 0.2 // of the requests
	cancelDelay = 50 * time.Millisecond
)

// schedule plans the wave of faults. The leader is in the first zone, which is not cut off.
func (w *world) schedule() {
	at := func(part float64, f func()) {
		w.after(w.profile.Warm+time.Duration(part*float64(w.profile.Length)), f)
	}
	rack := w.vms[w.rng.IntN(len(w.vms))].rack
	second := w.vms[w.rng.IntN(len(w.vms))]
	for second.rack == rack {
		second = w.vms[w.rng.IntN(len(w.vms))]
	}
	at(rackAt, func() { w.eachIn(rack, (*vm).lose) })
	at(secondAt, second.lose)
	at(repairedAt, func() { w.eachIn(rack, (*vm).restore) })
	at(repairedAt, second.restore)
	at(cutAt, func() {
		w.cutZone = w.zones[1+w.rng.IntN(len(w.zones)-1)]
		w.after(cutLength, func() { w.cutZone = "" })
	})
	at(failingAt, func() { w.fail(true) })
	at(failingAt+failLength, func() { w.fail(false) })
	at(floodAt, w.flood)
}

func (w *world) eachIn(rack csmodel.Rack, f func(*vm)) {
	for _, v := range w.vms {
		if v.rack == rack {
			f(v)
		}
	}
}

// lose stops a VM. Its attempts stay silent and its tasks end.
func (v *vm) lose() {
	v.lost = true
	v.running = 0
	for len(v.tasks) > 0 {
		v.tasks[0].leave()
	}
}

// restore starts a lost VM again.
func (v *vm) restore() {
	v.lost = false
	v.incarnation++
	v.sequence = 0
	v.announce(v.incarnation)
}

// fail makes some VMs fail everything that they start, or ends that.
func (w *world) fail(on bool) {
	for i, v := range w.vms {
		v.failing = on && i%failShare == 0
	}
}

// flood submits many tasks and cancels them all, while callers cancel part of their requests.
func (w *world) flood() {
	var ids []csmodel.TaskID
	for i := range floodTasks {
		c := cstask.Submit{
			ID: csmodel.TaskID(fmt.Sprintf("flood%06d", i)), Job: deferredJob(w.names[i%(len(w.names)-1)]), Team: "team",
			CPU: w.profile.slotCPU(), Memory: taskMemory, Runtime: taskTime, Deadline: w.now().Add(time.Hour),
		}
		if w.tasks(c)[0].Status == cstask.OK {
			ids = append(ids, c.ID)
			w.work.tasks[c.ID] = &task{
				id: c.ID, job: c.Job, slots: 1, cpu: w.profile.slotCPU(), runtime: taskTime, deadline: time.Hour,
			}
		}
	}
	w.canceled = floodShare
	w.after(floodLength, func() {
		w.canceled = 0
		for len(ids) > 0 {
			n := min(len(ids), cstask.MaxBatch)
			w.tasks(cstask.CancelBatch{IDs: ids[:n]})
			ids = ids[n:]
		}
	})
}
