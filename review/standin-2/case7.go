//go:build review

package main

import (
	"net/http"
	"time"
)

func init() { cases[7] = foreignHeartbeat }

// foreignHeartbeat: while a job runs, a heartbeat of another writer names a service that no configuration has, and the address
// of an executor. It names no executor to use, and the others hold.
func foreignHeartbeat(w *world, trouble bool) int {
	const work = 10 * time.Second
	if err := w.open(8, 3); err != nil {
		w.notef("%v", err)
		return unable
	}
	job, accepted := w.submit(step{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: work.Milliseconds()})
	if !accepted || !until(5*time.Second, func() bool { return w.runningOf(job) == 4 }) {
		w.notef("the job does not begin")
		return unable
	}
	time.Sleep(time.Second)
	if trouble {
		e := w.runsOf(job)[0].on
		body := map[string]any{
			"Service": "other-agent", "Address": e.address, "Zone": e.zone, "Version": "v0", "Slots": 8, "State": "ready", "ColdMs": 0,
			"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMemory, "Gpus": 0}, "Labels": []string{"a", "r1-1"},
			"ClockMs": 1000, "Seq": 1, "born": time.Now().UnixMilli(),
		}
		status, _ := w.call(http.MethodPost, "http://"+w.stores[0].control()+"/cowslipstream/Instances.Heartbeat/agent-0001", "", body, time.Second)
		w.notef("another writer: heartbeat agent-0001 %s -> %s: %d", mustJSON(body), w.stores[0].name, status)
	}
	state := w.await(job, work+longestLease+finishTime, "completed", "failed")
	w.notef("state %q", state)
	twice := 0
	runs := w.runsOf(job)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && (a.to.IsZero() || b.from.Before(a.to)) {
				twice++
				w.notef("TWICE: %s attempt %d on %s while attempt %d runs on %s", b.task, b.attempt, b.on.id, a.attempt, a.on.id)
			}
		}
	}
	if twice > 0 {
		return broken
	}
	return held
}
