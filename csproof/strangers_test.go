package csproof

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csapi"
)

// Stated times until a connection that does not finish its header is closed, and a margin for a busy machine.
const (
	headerTarget    = 5 * time.Second
	handshakeTarget = time.Second
	closeMargin     = time.Second
)

// raw writes bytes to an address, slowly where asked, and returns what arrives until the node closes the connection.
func raw(t *testing.T, address, text string, slow bool, limit time.Duration) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer conn.Close()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(limit))
	var writer sync.WaitGroup
	writer.Go(func() {
		for _, b := range []byte(text) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			if slow {
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
	got, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: connection with %.20q is open after %v", address, text, time.Since(start))
	}
	_ = conn.Close()
	writer.Wait()
	return string(got)
}

// Guards against strangers that join, apply, read the state, or stop a node with malformed, oversize or slow input, and
// against errors that do not say what is wrong.
func TestStrangers(t *testing.T) {
	c := newCluster(t, 1)
	waitRevision(t, ample, c.apply(c.nodes[0], 1), c.nodes...)
	n := c.nodes[0]
	large := bytes.Repeat([]byte{'x'}, csapi.MaxBody+1)
	bearer := func(token string) map[string]string { return map[string]string{"Authorization": "Bearer " + token} }
	deferred := map[string]string{csapi.KeyHeader: "id", csapi.DeadlineHeader: time.Now().Add(time.Minute).Format(time.RFC3339)}
	tests := []struct {
		name, method, path string
		headers            map[string]string
		body               []byte
		status             int
		kind               string
	}{
		{"wrong token", "GET", csapi.StatusPath, bearer(token + "x"), nil, 401, csapi.Unauthorized},
		{"part of the token", "GET", csapi.DumpPath, bearer(token[:20]), nil, 401, csapi.Unauthorized},
		{"no token", "POST", csapi.RevisionsPath, nil, []byte(`{}`), 401, csapi.Unauthorized},
		{"empty token", "POST", csapi.DrainsPath, bearer(""), []byte(`{}`), 401, csapi.Unauthorized},
		{"metrics without token", "GET", "/metrics", nil, nil, 401, csapi.Unauthorized},
		{"oversize request", "POST", "/v1/jobs/quote/requests", nil, large, 413, csapi.BodyTooLarge},
		{"oversize task", "POST", "/v1/jobs/report/tasks", deferred, large, 413, csapi.BodyTooLarge},
		{"oversize announcement", "POST", "/v1/targets", nil, large, 413, csapi.BodyTooLarge},
		{"oversize revision", "POST", csapi.RevisionsPath, bearer(token), large, 413, csapi.BodyTooLarge},
		{"malformed announcement", "POST", "/v1/targets", nil, []byte("garbage"), 400, csapi.BadBody},
		{"malformed revision", "POST", csapi.RevisionsPath, bearer(token), []byte("garbage"), 400, csapi.BadBody},
		{"malformed timeout", "POST", "/v1/jobs/quote/requests", map[string]string{csapi.TimeoutHeader: "soon"}, nil, 400, csapi.BadHeader},
		{"malformed key", "POST", "/v1/jobs/order/requests", map[string]string{csapi.KeyHeader: "garbage"}, nil, 400, csapi.KeyRequired},
		{"unknown job", "POST", "/v1/jobs/none/requests", map[string]string{csapi.KeyHeader: keys(t, n, 1)[0]}, nil, 404, csapi.UnknownJob},
	}
	for _, tt := range tests {
		r, err := send(n.Listen, tt.method, tt.path, tt.headers, tt.body)
		if err != nil || r.status != tt.status || !strings.Contains(string(r.body), tt.kind) {
			t.Errorf("%s: got %d %s, %v; want %d %s", tt.name, r.status, r.body, err, tt.status, tt.kind)
		}
	}
	if v, err := n.client.ApplyConfiguration(t.Context(), configuration(9), 7); err != nil || v.Result != csapi.Invalid {
		t.Errorf("base that does not exist: got %+v, %v", v, err)
	}
	var all sync.WaitGroup
	for _, address := range []string{n.Listen, n.Link} {
		limit := closeMargin + headerTarget
		if address == n.Link {
			limit = closeMargin + handshakeTarget
		}
		for _, text := range []string{"garbage\r\n\r\n", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "GET / HTTP/1.1\r\nHost:", ""} {
			all.Go(func() { raw(t, address, text, false, limit) })
		}
		all.Go(func() { raw(t, address, "GET /link HTTP/1.1\r\n"+strings.Repeat("X: y\r\n", 50), true, limit) })
		all.Go(func() {
			got := raw(t, address, "GET /link HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("y", 64<<10)+"\r\n\r\n", false, limit)
			if got != "" && !strings.Contains(got, " 431 ") && !strings.Contains(got, " 400 ") {
				t.Errorf("%s: oversize header: got %.40q", address, got)
			}
		})
	}
	all.Wait()
	c.checkWrongSecret(t)
	for _, n := range c.nodes {
		if log := n.log(); strings.Contains(log, secret) || strings.Contains(log, token) {
			t.Errorf("the log of %s holds a secret", n.Name)
		}
	}
	waitRevision(t, rolloutTarget, c.apply(n, 2), c.nodes...)
}

// checkWrongSecret starts a node with another cluster secret, which must not join, and then with the right one.
func (c *cluster) checkWrongSecret(t *testing.T) {
	t.Helper()
	stranger, peer := c.nodes[2], c.nodes[0]
	stranger.stop(syscall.SIGKILL)
	c.writeSettings(stranger, "another-secret-"+secret)
	begin := len(peer.log())
	stranger.start()
	eventually(t, ample, "refusal in the log of the peer", func() bool {
		return strings.Contains(peer.log()[begin:], "does not prove knowledge of the cluster secret")
	})
	if got := c.apply(peer, 5); got != 2 {
		t.Errorf("accepted as revision %d, want 2", got)
	}
	// The roll-out to the others takes less than the time in which the stranger is refused again.
	waitRevision(t, rolloutTarget, 2, c.nodes[:2]...)
	if got := stranger.metric("configuration_revision"); got > 1 {
		t.Errorf("the stranger has revision %v", got)
	}
	i := slices.IndexFunc(peer.status().Nodes, func(p csapi.Node) bool { return p.Name == stranger.Name })
	if i < 0 || peer.status().Nodes[i].State != csapi.Unreachable {
		t.Error("the peer lists the stranger as reachable")
	}
	r, err := send(stranger.Listen, http.MethodPost, "/v1/jobs/report/tasks", map[string]string{
		csapi.KeyHeader: "stranger", csapi.DeadlineHeader: time.Now().Add(time.Minute).Format(time.RFC3339),
	}, []byte("body"))
	if outcome(r, err) == csapi.Answer {
		t.Errorf("task on the stranger: got %d %s", r.status, r.body)
	}
	stranger.stop(syscall.SIGKILL)
	c.writeSettings(stranger, secret)
	stranger.start()
	c.waitLeaders()
}
