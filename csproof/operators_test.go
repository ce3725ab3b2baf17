package csproof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csmodel"
)

// call is an operation on the revisions: a submission, or a read where the id is empty.
type call struct {
	id   csmodel.SubmissionID
	base csmodel.Revision
}

// result is the response to a call.
type result struct {
	accepted bool
	revision csmodel.Revision
	// head is the id of the newest revision for a read, and of the winner for a conflict.
	head csmodel.SubmissionID
}

// revisions is the sequential model: the winner of each base.
func revisions(first csmodel.SubmissionID) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return []csmodel.SubmissionID{first} },
		Step: func(state, input, output any) (bool, any) {
			winners, c := state.([]csmodel.SubmissionID), input.(call)
			head := csmodel.Revision(len(winners))
			switch {
			case c.id == "":
				return output == result{revision: head, head: winners[head-1]}, winners
			case c.base == head:
				return output == result{accepted: true, revision: head + 1}, append(slices.Clone(winners), c.id)
			default:
				return c.base < head && output == result{revision: head, head: winners[c.base]}, winners
			}
		},
		Equal: func(a, b any) bool { return slices.Equal(a.([]csmodel.SubmissionID), b.([]csmodel.SubmissionID)) },
	}
}

// history records operations. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) add(client int, c call, begin time.Time, out result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: c, Call: begin.Sub(h.start).Nanoseconds(), Output: out,
		Return: time.Since(h.start).Nanoseconds(),
	})
}

// execute sends a call and returns the response, or false where there is none or its value is marked as stale.
func execute(n *node, c call, limit time.Duration) (out result, ok bool) {
	headers := map[string]string{"Authorization": "Bearer " + token}
	if c.id == "" {
		r, err := sendWithin(limit, n.Listen, http.MethodGet, csapi.RevisionPath(0), headers, nil)
		var read csapi.Revision
		if err != nil || r.status != http.StatusOK || json.Unmarshal(r.body, &read) != nil || read.Stale {
			return result{}, false
		}
		return result{revision: read.Revision, head: read.ID}, true
	}
	body, _ := json.Marshal(csapi.Submission{ID: c.id, Base: c.base, Text: text(int(c.base%7) + len(c.id))})
	r, err := sendWithin(limit, n.Listen, http.MethodPost, csapi.RevisionsPath, headers, body)
	var v csapi.Verdict
	if err != nil || r.status >= http.StatusInternalServerError || json.Unmarshal(r.body, &v) != nil {
		return result{}, false
	}
	out = result{accepted: v.Result == csapi.Accepted, revision: v.Revision}
	if v.Winner != nil {
		out.head = v.Winner.ID
	}
	return out, true
}

// operate submits configurations, each on the newest revision that the operator reads. A submission is sent to one node
// after the other until a verdict arrives, and then once more. It is one operation of the history, from the first attempt
// to the first verdict. Every third submission loses its first response.
func (h *history) operate(t *testing.T, c *cluster, client, rounds int) {
	random := rand.New(rand.NewPCG(uint64(client), 1))
	attempt := func(c2 call, limit time.Duration) (result, bool) {
		return execute(c.nodes[random.IntN(len(c.nodes))], c2, limit)
	}
	for round := range rounds {
		var read, verdict, again result
		begin, ok := time.Now(), false
		eventually(t, ample, "read", func() bool {
			begin = time.Now()
			read, ok = attempt(call{}, time.Second)
			return ok
		})
		h.add(client, call{}, begin, read)
		submission := call{csmodel.SubmissionID(fmt.Sprintf("operator-%d-%d", client, round)), read.revision}
		begin, ok = time.Now(), false
		if round%3 == 0 {
			verdict, ok = attempt(submission, time.Duration(random.IntN(8))*time.Millisecond)
		}
		eventually(t, ample, "verdict", func() bool {
			if !ok {
				verdict, ok = attempt(submission, time.Second)
			}
			return ok
		})
		h.add(client, submission, begin, verdict)
		eventually(t, ample, "verdict on a resent submission", func() bool {
			again, ok = attempt(submission, time.Second)
			return ok
		})
		if again != verdict {
			t.Errorf("%s: got %+v, then %+v", submission.id, verdict, again)
		}
	}
}

// read reads from one node until the end. The node may be down, isolated or stale.
func (h *history) read(client int, n *node, end <-chan struct{}) {
	for {
		begin := time.Now()
		if out, ok := execute(n, call{}, callTimeout); ok {
			h.add(client, call{}, begin, out)
		}
		select {
		case <-end:
			return
		case <-time.After(2 * poll):
		}
	}
}

// watchRevisions reports nodes whose active revision decreases, also over a restart. It ends with the returned function.
func watchRevisions(t *testing.T, nodes []*node) func() {
	end := make(chan struct{})
	var watchers sync.WaitGroup
	for _, n := range nodes {
		watchers.Go(func() {
			newest := 0.0
			for {
				got := n.metric("configuration_revision")
				if got >= 0 && got < newest {
					t.Errorf("%s went from revision %v to %v", n.Name, newest, got)
				}
				newest = max(newest, got)
				select {
				case <-end:
					return
				case <-time.After(poll):
				}
			}
		})
	}
	return func() {
		close(end)
		watchers.Wait()
	}
}

// Guards against two winners on one base, a resent submission that is decided anew, a read of an old revision, and a
// revision that goes back, while leaders are killed and restarted, isolated, or stopped for a while (I8, F6, F7, F9).
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 1)
	first := c.apply(c.nodes[0], 1)
	waitRevision(t, ample, first, c.nodes...)
	newest, err := c.nodes[0].client.Revision(t.Context(), 0)
	if err != nil || first != 1 {
		t.Fatal(first, err)
	}
	stop := watchRevisions(t, c.nodes)
	h := &history{start: time.Now()}
	end := make(chan struct{})
	var operators, readers sync.WaitGroup
	for client := range operatorCount {
		operators.Go(func() { h.operate(t, c, client, 30) })
	}
	for i, n := range c.nodes {
		readers.Go(func() { h.read(operatorCount+i, n, end) })
	}
	faults := []struct {
		after          csmodel.Revision
		strike, repair func(leader *node)
	}{
		{10, func(l *node) { l.stop(syscall.SIGKILL) }, (*node).start},
		{20, func(l *node) { c.cutZone(l.Zone, true, true) }, func(l *node) {
			eventually(t, ample, "stale mark", func() bool { return l.metric("configuration_stale") == 1 })
			c.heal()
		}},
		{30, func(l *node) { l.signal(syscall.SIGSTOP) }, func(l *node) { l.signal(syscall.SIGCONT) }},
	}
	for _, f := range faults {
		leader := c.leader()
		waitRevision(t, ample, f.after, leader)
		f.strike(leader)
		eventually(t, ample, "submissions without the leader", func() bool {
			return slices.ContainsFunc(c.nodes, func(n *node) bool {
				return n != leader && n.metric("configuration_revision") > float64(f.after)+5
			})
		})
		f.repair(leader)
	}
	operators.Wait()
	close(end)
	readers.Wait()
	if got := porcupine.CheckOperationsTimeout(revisions(newest.ID), h.operations, ample); got != porcupine.Ok {
		t.Errorf("linearizability of %d operations: %s", len(h.operations), got)
	}
	last, accepted := first, first
	for _, operation := range h.operations {
		if out := operation.Output.(result); out.accepted {
			accepted++
			last = max(last, out.revision)
		}
	}
	if last != accepted {
		t.Errorf("%d submissions accepted, last revision %d", accepted, last)
	}
	waitRevision(t, rolloutTarget, last, c.nodes...)
	stop()
	t.Logf("%d operations, %d of %d submissions accepted", len(h.operations), accepted-first, operatorCount*30)
}

const operatorCount = 4

// rolloutTarget is the stated time until an accepted revision is active everywhere.
const rolloutTarget = 6 * time.Second
