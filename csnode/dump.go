package csnode

import (
	"context"
	"net/http"
	"runtime"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csfleet"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/cstarget"
	"cowslipstream.example/cowslipstream/cstask"
)

// dump is the whole state of a node for an operator.
type dump struct {
	Status  csapi.Status           `json:"status"`
	Process processState           `json:"process"`
	Groups  []csgroup.Status       `json:"groups"`
	Links   []cslink.PeerStatus    `json:"links"`
	Targets []cstarget.Target      `json:"targets"`
	Leases  []csmodel.SlotLease    `json:"leases"`
	Loads   []csrequest.Load       `json:"loads"`
	Tasks   cstask.Counts          `json:"tasks"`
	Waves   []csfleet.WaveProgress `json:"waves"`
	Waiting int                    `json:"waiting"`
}

type processState struct {
	Incarnation csmodel.Incarnation `json:"incarnation"`
	Goroutines  int                 `json:"goroutines"`
	Heap        csmodel.Bytes       `json:"heap"`
	Draining    bool                `json:"draining"`
}

func (w *webServer) readDump(rw http.ResponseWriter, r *http.Request, _ string) {
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	d, err := w.n.dump(ctx)
	if err != nil {
		problem(rw, r, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	writeJSON(rw, http.StatusOK, d)
}

func (n *Node) dump(ctx context.Context) (dump, error) {
	var d dump
	var err error
	if d.Status, err = n.status(ctx); err != nil {
		return d, err
	}
	d.Targets, err = ask(ctx, n, n.tree.targets, func(c chan<- []cstarget.Target) any { return readTargets{c} })
	if err != nil {
		return d, err
	}
	d.Leases, err = ask(ctx, n, n.tree.requests, func(c chan<- []csmodel.SlotLease) any { return readLeases{c} })
	if err != nil {
		return d, err
	}
	d.Loads, err = ask(ctx, n, n.tree.requests, func(c chan<- []csrequest.Load) any { return readLoads{c} })
	if err != nil {
		return d, err
	}
	d.Waves, err = ask(ctx, n, n.tree.capacity, func(c chan<- []csfleet.WaveProgress) any { return readWaves{c} })
	if err != nil {
		return d, err
	}
	n.viewFleet(func(m *csfleet.Machine) { d.Tasks = m.Tasks().Counts() })
	d.Groups = []csgroup.Status{n.global.Status(), n.region.Status()}
	d.Links = n.links.Load().Peers()
	d.Waiting = n.waiters.count()
	d.Process = n.process()
	return d, nil
}

func (n *Node) process() processState {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return processState{
		Incarnation: n.incarnation, Goroutines: runtime.NumGoroutine(), Heap: csmodel.Bytes(memory.HeapAlloc),
		Draining: n.draining.Load(),
	}
}
