package csproof

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
)

// call is an operation on the revisions: a submission, or a read where the id is empty.
type call struct {
	id   csmodel.SubmissionID
	base csmodel.Revision
}

// result is the response to a call. It is open where there was none.
type result struct {
	open     bool
	accepted bool
	revision csmodel.Revision
	// head is the id of the newest revision for a read, and of the winner for a conflict.
	head csmodel.SubmissionID
}

// revisions is the sequential model: the winner of each base, and the revision at the first refusal of each loser.
type revisions struct {
	winners []csmodel.SubmissionID
	losers  map[csmodel.SubmissionID]csmodel.Revision
}

func (s revisions) step(c call) (result, revisions) {
	head := csmodel.Revision(len(s.winners))
	if c.id == "" {
		return result{revision: head, head: s.winners[head-1]}, s
	}
	if i := slices.Index(s.winners, c.id); i >= 0 {
		return result{accepted: true, revision: csmodel.Revision(i + 1)}, s
	}
	if c.base == head {
		return result{accepted: true, revision: head + 1}, revisions{append(slices.Clone(s.winners), c.id), s.losers}
	}
	if at, ok := s.losers[c.id]; ok {
		return result{revision: at, head: s.winners[c.base]}, s
	}
	losers := map[csmodel.SubmissionID]csmodel.Revision{c.id: head}
	for id, at := range s.losers {
		losers[id] = at
	}
	return result{revision: head, head: s.winners[c.base]}, revisions{s.winners, losers}
}

func revisionsModel(first csmodel.SubmissionID) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return revisions{winners: []csmodel.SubmissionID{first}} },
		Step: func(state, input, output any) (bool, any) {
			want, next := state.(revisions).step(input.(call))
			got := output.(result)
			return got.open || got == want, next
		},
		Equal: reflect.DeepEqual,
	}
}

// history records operations. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	verdicts   map[csmodel.SubmissionID]result
	conflicts  []string
}

// do executes a call on a node. A call that was refused as not run is not part of the history: it must have no effect.
func (h *history) do(client int, n *node, c call, limit time.Duration) (result, bool) {
	begin := time.Since(h.start).Nanoseconds()
	out, clear := execute(n, c, limit)
	end := time.Since(h.start).Nanoseconds()
	if out.open {
		end = math.MaxInt64
	}
	if !clear || out.open && c.id == "" {
		return out, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: c, Call: begin, Output: out, Return: end})
	if !out.open && c.id != "" {
		if first, ok := h.verdicts[c.id]; ok && first != out {
			h.conflicts = append(h.conflicts, fmt.Sprintf("%s: %+v, then %+v", c.id, first, out))
		}
		h.verdicts[c.id] = out
	}
	return out, !out.open
}

// execute returns the response, and false where the call had no effect or its value is marked as stale.
func execute(n *node, c call, limit time.Duration) (result, bool) {
	headers := map[string]string{"Authorization": "Bearer " + token}
	method, path, body := http.MethodGet, csapi.RevisionPath(0), []byte(nil)
	if c.id != "" {
		text, _ := csconfig.Print(configuration(int(c.base%7) + len(c.id)))
		method, path = http.MethodPost, csapi.RevisionsPath
		body, _ = json.Marshal(csapi.Submission{ID: c.id, Base: c.base, Text: string(text)})
	}
	r, err := sendWithin(limit, n.Listen, method, path, headers, body)
	switch {
	case outcome(r, err) == csapi.NotRun:
		return result{}, false
	case err != nil || r.status >= 500:
		return result{open: true}, true
	case c.id == "":
		var read csapi.Revision
		err = json.Unmarshal(r.body, &read)
		return result{open: err != nil, revision: read.Revision, head: read.ID}, !read.Stale
	}
	var v csapi.Verdict
	err = json.Unmarshal(r.body, &v)
	out := result{open: err != nil, accepted: v.Result == csapi.Accepted, revision: v.Revision}
	if v.Winner != nil {
		out.head = v.Winner.ID
	}
	return out, true
}

// operate submits configurations, each on the newest revision that the operator reads, and sends one again to another
// node until a verdict arrives. Every third submission loses its first answer.
func (h *history) operate(t *testing.T, c *cluster, client, rounds int) {
	random := rand.New(rand.NewPCG(uint64(client), 1))
	node := func() *node { return c.nodes[random.IntN(len(c.nodes))] }
	for round := range rounds {
		var base csmodel.Revision
		eventually(t, ample, "read", func() bool {
			out, ok := h.do(client, node(), call{}, time.Second)
			base = out.revision
			return ok
		})
		submission := call{csmodel.SubmissionID(fmt.Sprintf("operator-%d-%d", client, round)), base}
		if round%3 == 0 {
			h.do(client, node(), submission, time.Duration(random.IntN(8))*time.Millisecond)
		}
		eventually(t, ample, "verdict", func() bool {
			_, ok := h.do(client, node(), submission, 3*time.Second)
			return ok
		})
	}
}

// watchRevisions reports nodes whose active revision decreases, also over a restart. It ends with the returned function.
func (c *cluster) watchRevisions() func() {
	end := make(chan struct{})
	var watchers sync.WaitGroup
	for _, n := range c.nodes {
		watchers.Go(func() {
			newest := 0.0
			for {
				got := n.metric("configuration_revision")
				if got >= 0 && got < newest {
					c.t.Errorf("%s went from revision %v to %v", n.Name, newest, got)
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
// revision that goes back, while the leader is killed and restarted (I8, F7, F9).
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 1)
	first := c.apply(c.nodes[0], 1)
	waitRevision(t, ample, first, c.nodes...)
	newest, err := c.nodes[0].client.Revision(t.Context(), 0)
	if err != nil || first != 1 {
		t.Fatal(first, err)
	}
	stop := c.watchRevisions()
	h := &history{start: time.Now(), verdicts: map[csmodel.SubmissionID]result{}}
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() { h.operate(t, c, client, 30) })
	}
	for _, after := range []csmodel.Revision{10, 25} {
		leader := c.leader()
		waitRevision(t, ample, after, leader)
		leader.stop(syscall.SIGKILL)
		eventually(t, ample, "submissions without the killed node", func() bool {
			return slices.ContainsFunc(c.nodes, func(n *node) bool { return n.metric("configuration_revision") > float64(after)+5 })
		})
		leader.start()
	}
	operators.Wait()
	h.check(t, newest.ID)
	last := csmodel.Revision(0)
	accepted := 0
	winners := map[csmodel.Revision]csmodel.SubmissionID{}
	for id, v := range h.verdicts {
		if v.accepted {
			accepted++
			if other, ok := winners[v.revision]; ok {
				t.Errorf("%s and %s both won revision %d", id, other, v.revision)
			}
			winners[v.revision] = id
			last = max(last, v.revision)
		}
	}
	if int(last) != accepted+1 {
		t.Errorf("%d submissions accepted, last revision %d", accepted, last)
	}
	waitRevision(t, rolloutTarget, last, c.nodes...)
	stop()
	t.Logf("%d operations, %d submissions, %d accepted", len(h.operations), len(h.verdicts), accepted)
}

func (h *history) check(t *testing.T, first csmodel.SubmissionID) {
	t.Helper()
	for _, conflict := range h.conflicts {
		t.Error("two verdicts on one submission:", conflict)
	}
	if got := porcupine.CheckOperationsTimeout(revisionsModel(first), h.operations, ample); got != porcupine.Ok {
		t.Errorf("linearizability of %d operations: %s", len(h.operations), got)
	}
}

// rolloutTarget is the stated time until an accepted revision is active everywhere.
const rolloutTarget = 6 * time.Second
