//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases[9] = lateSubmission }

// lateSubmission: an entry is cut off from the stores while a client hands a job in there. The client gets no clear answer, gives
// the job up and cancels it at another entry, which knows of no such job. The job must not run when the cut is over.
func lateSubmission(w *world, trouble bool) int {
	const cut, cancelLimit = 5400 * time.Millisecond, 3 * time.Second
	if err := w.interpose(w.entries[0]); err != nil {
		w.notef("%v", err)
		return unable
	}
	if err := w.open(8, 3); err != nil {
		w.notef("%v", err)
		return unable
	}
	steps := []step{{Count: 2, Cpu: 1000, MemMb: 256, EstimateMs: 10000}}
	id := fmt.Sprintf("%016x", rand.Uint64())
	w.mu.Lock()
	w.gangsOf(id, steps)
	w.mu.Unlock()
	if trouble {
		w.notef("%s is cut off from the stores", w.entries[0].name)
		for _, p := range w.proxies {
			p.cut()
		}
		time.AfterFunc(cut, func() {
			w.notef("the cut is over")
			for _, p := range w.proxies {
				p.heal()
			}
		})
	}
	began := time.Now()
	body := map[string]any{"Spec": "spec of " + id, "Phases": steps}
	status, _ := w.call(http.MethodPost, "http://"+w.entries[0].front()+queue+id, queueHost, body, 3*time.Second)
	w.notef("client: POST %s -> %s: %d", id, w.entries[0].name, status)
	cancelled := time.Time{}
	for range 20 {
		status, _ := w.call(http.MethodDelete, "http://"+w.entries[1].front()+queue+id, queueHost, nil, 3*time.Second)
		w.notef("client: DELETE %s -> %s: %d", id, w.entries[1].name, status)
		if status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if cancelled.IsZero() {
		return unable
	}
	time.Sleep(time.Until(began.Add(cut + 10*time.Second)))
	w.notef("client: GET %s -> %q", id, w.state(id))
	result := held
	for _, r := range w.runsOf(id) {
		if late := r.from.Sub(cancelled); late > cancelLimit {
			w.notef("UNASKED: %s starts %.1f s after the cancelling was acknowledged", r.task, late.Seconds())
			result = broken
		}
	}
	return result
}
