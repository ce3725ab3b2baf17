package csfake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/cstarget"
)

const (
	replyTimeout = time.Second // for the reply to an announcement
	retryPause   = time.Second // after a missed reply, however long the interval is
	maxMissed    = 2           // missed replies before the target turns to the next node
	maxReply     = 64 << 10
)

// announceLoop announces the target until it is closed.
func (t *Target) announceLoop() {
	missed := 0
	for {
		pause := retryPause
		reply, err := t.announceOnce()
		if err == nil {
			missed = 0
			pause = max(reply.Interval, time.Millisecond)
		} else if missed++; missed >= maxMissed {
			missed = 0
			t.failover()
			pause = 0
		}
		select {
		case <-t.config.Clock.After(pause):
		case <-t.wake:
		}
		t.mu.Lock()
		closed := t.closed
		t.mu.Unlock()
		if closed {
			return
		}
	}
}

// failover turns to the next entry node. The target does not know what the previous node received, so it says that it has
// moved until the new one replies.
func (t *Target) failover() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.nodes) < 2 {
		return
	}
	t.node = (t.node + 1) % len(t.nodes)
	t.life.moved = true
}

// announceOnce sends one announcement and applies the reply.
func (t *Target) announceOnce() (cstarget.AnnounceReply, error) {
	var reply cstarget.AnnounceReply
	t.mu.Lock()
	l := t.life
	if t.down || len(t.nodes) == 0 {
		t.mu.Unlock()
		return reply, trace.ConnectionProblem(nil, "target %s cannot announce", t.config.ID)
	}
	address := t.nodes[t.node]
	body, err := json.Marshal(t.announcement(l))
	t.mu.Unlock()
	if err != nil {
		return reply, trace.Wrap(err)
	}
	if reply, err = t.post(l.ctx, address, body); err != nil {
		if transport, ok := t.config.Transport.(*http.Transport); ok {
			transport.CloseIdleConnections()
		}
		return reply, trace.Wrap(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.life == l {
		t.apply(l, address, reply)
	}
	return reply, nil
}

// announcement describes the present state. The caller holds the lock.
func (t *Target) announcement(l *life) cstarget.Announcement {
	l.sequence++
	a := cstarget.Announcement{
		ID:          t.config.ID,
		Incarnation: l.incarnation,
		Sequence:    l.sequence,
		Address:     t.Address(),
		Zone:        t.config.Zone,
		Rack:        t.config.Rack,
		Pool:        t.pool,
		Fence:       t.fence,
		Slots:       t.config.Slots,
		Connections: t.config.Connections,
		Cores:       t.config.Cores,
		Memory:      t.config.Memory,
		Leaving:     l.leaving,
		Moved:       l.moved,
		Running:     l.busy,
	}
	for _, id := range csmodel.SortedKeys(l.tasks) {
		a.Tasks = append(a.Tasks, l.tasks[id].report)
	}
	return a
}

func (t *Target) post(ctx context.Context, address string, body []byte) (cstarget.AnnounceReply, error) {
	var reply cstarget.AnnounceReply
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return reply, trace.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := t.config.Transport.RoundTrip(r)
	if err != nil {
		return reply, trace.ConnectionProblem(err, "announcing to %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, trace.Errorf("announcing to %s: status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return reply, trace.Wrap(err)
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, trace.Wrap(err, fmt.Sprintf("reply of %s", address))
	}
	return reply, nil
}

// apply takes over what the home node says. The caller holds the lock.
func (t *Target) apply(l *life, address string, reply cstarget.AnnounceReply) {
	l.moved = false
	if i := slices.Index(reply.Nodes, address); i >= 0 {
		t.nodes = reply.Nodes
		t.node = i
	}
	if reply.Pool != "" && reply.Fence >= t.fence && (reply.Pool != t.pool || reply.Fence != t.fence) {
		t.pool = reply.Pool
		t.fence = reply.Fence
		t.announceNow()
	}
	for _, ack := range reply.Acks {
		if k, ok := l.tasks[ack.ID]; ok && k.report.Fence == ack.Fence && k.report.State != cstarget.TaskRunning {
			delete(l.tasks, ack.ID)
		}
	}
}
