package csproof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csfake"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
)

// state is the part of a dump that the tests read.
type state struct {
	Groups []csgroup.Status    `json:"groups"`
	Links  []cslink.PeerStatus `json:"links"`
}

func (n *node) dump() state {
	var s state
	if raw, err := n.client.Dump(n.t.Context()); err != nil || json.Unmarshal(raw, &s) != nil {
		return state{}
	}
	return s
}

// votes tells whether a peer is a voter of both groups with the incarnation that it says it has, which is not an old one.
func (s state) votes(peer csmodel.NodeID, own, old []csgroup.Status) bool {
	if len(s.Groups) != 2 || len(own) != 2 {
		return false
	}
	for i, g := range s.Groups {
		if own[i].Incarnation == old[i].Incarnation || !slices.ContainsFunc(g.Members, func(m csgroup.MemberStatus) bool {
			return m.Node == peer && m.Voter && m.Incarnation == own[i].Incarnation
		}) {
			return false
		}
	}
	return true
}

func (c *cluster) submit(n *node, id csmodel.TaskID) {
	c.t.Helper()
	_, err := n.client.Submit(c.t.Context(), csclient.Task{
		ID: id, Job: "report", Deadline: time.Now().Add(time.Minute), Body: []byte("body"),
	})
	if err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a voter without its disk that votes again under its old identity, a repair that is counted before it is
// complete, accepted work that is lost with the second voter, and a node that takes its ignorance of the configuration for
// a final answer (F8, F9).
func TestVoterReplaced(t *testing.T) {
	c := newCluster(t, 1)
	waitRevision(t, ample, c.apply(c.nodes[0], 1), c.nodes...)
	ledger := csfake.NewLedger()
	c.addTargets(ledger, time.Millisecond)
	second := c.leader()
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == second })
	first, third := others[0], others[1]
	stop := watchRevisions(t, []*node{second, third})
	var tasks []csmodel.TaskID
	accept := func(n *node) {
		tasks = append(tasks, csmodel.TaskID(fmt.Sprintf("task-%d", len(tasks))))
		c.submit(n, tasks[len(tasks)-1])
	}
	for range 20 {
		accept(second)
	}
	old := first.dump().Groups
	first.stop(syscall.SIGKILL)
	if err := os.RemoveAll(first.folder + "/data"); err != nil {
		t.Fatal(err)
	}
	revision := c.apply(second, 2)
	c.cutZone(first.Zone, true, true)
	first.start()
	eventually(t, ample, "response of the node without a configuration", func() bool {
		r, err := request(first, "quote", "quote", "")
		if err == nil && (r.status != http.StatusServiceUnavailable || outcome(r, err) != csapi.NotRun) {
			t.Errorf("a node that does not know the configuration yet responded %d %s", r.status, r.body)
		}
		return err == nil
	})
	start := time.Now()
	c.heal()
	eventually(t, ample, "new incarnation votes in both groups", func() bool {
		accept(second)
		own := first.dump()
		return own.votes(first.Name, own.Groups, old) && third.dump().votes(first.Name, own.Groups, old)
	})
	t.Logf("voter replaced after %v", time.Since(start))
	second.stop(syscall.SIGKILL)
	start = time.Now()
	c.submit(third, "after-the-loss")
	t.Logf("next task accepted %v after the second loss", time.Since(start))
	if got := c.apply(third, 3); got != revision+1 {
		t.Errorf("accepted as revision %d, want %d", got, revision+1)
	}
	second.start()
	waitRevision(t, ample, revision+1, c.nodes...)
	for _, id := range append(tasks, "after-the-loss") {
		eventually(t, ample, string(id)+" finished", func() bool {
			task, err := first.client.Task(t.Context(), id)
			if csclient.IsProblem(err, http.StatusNotFound) {
				t.Fatalf("accepted task %s is lost", id)
			}
			return err == nil && task.State == csapi.Finished
		})
		if ledger.Finished(id) == 0 {
			t.Errorf("%s is reported as finished and did not run", id)
		}
	}
	stop()
	t.Logf("%d accepted tasks finished", len(tasks)+1)
}

// Guards against a restart that loses revisions or results, or takes longer than stated after many changes (I8, F9).
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 1000
	c := newCluster(t, 1)
	revision := c.apply(c.nodes[0], 0)
	leader := c.leader()
	first := csapi.Submission{ID: "first", Base: revision}
	start := time.Now()
	for i := range changes {
		s := first
		if i > 0 {
			s = csapi.Submission{ID: csmodel.SubmissionID(fmt.Sprintf("submission-%d", i)), Base: revision}
		}
		s.Text = text(i + 1)
		v, err := leader.client.Apply(t.Context(), s)
		if err != nil || v.Result != csapi.Accepted {
			t.Fatalf("change %d: %+v, %v", i, v, err)
		}
		revision = v.Revision
	}
	t.Logf("%d changes in %v", changes, time.Since(start))
	waitRevision(t, rolloutTarget, revision, c.nodes...)
	want, err := leader.client.Revision(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range c.nodes {
		n.stop(syscall.SIGKILL)
	}
	start = time.Now()
	for _, n := range c.nodes {
		n.start()
	}
	waitRevision(t, rolloutTarget, revision, c.nodes...)
	t.Logf("active on all nodes %v after the restart", time.Since(start))
	for _, n := range c.nodes {
		var got csapi.Revision
		eventually(t, rolloutTarget, "read with a quorum", func() bool {
			got, err = n.client.Revision(t.Context(), 0)
			return err == nil && !got.Stale
		})
		if got.Revision != want.Revision || got.ID != want.ID || got.Text != want.Text || !got.At.Equal(want.At) {
			t.Errorf("%s: got %+v, want %+v", n.Name, got, want)
		}
	}
	t.Logf("read with a quorum %v after the restart", time.Since(start))
	first.Text = text(1)
	if v, err := leader.client.Apply(t.Context(), first); err != nil || v.Result != csapi.Accepted || v.Revision != 2 {
		t.Errorf("first submission again: got %+v, %v", v, err)
	}
}
