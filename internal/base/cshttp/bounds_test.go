package cshttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// bounded is a server with bounds whose handler reads a body and answers with its size.
type bounded struct {
	t       *testing.T
	pool    *Pool
	clock   *clockwork.FakeClock
	address string
	read    atomic.Int64 // bodies that were read whole
}

const bodyLimit = 100_000

func newBounded(t *testing.T, l Limits) *bounded {
	v := &bounded{t: t, clock: clockwork.NewFakeClock()}
	v.pool = NewPool(PoolOptions{Limits: l, Clock: v.clock})
	s := v.pool.Server(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unknown" {
			http.NotFound(w, r)
			return
		}
		b, err := ReadBody(r, bodyLimit)
		if err != nil {
			Refuse(w, r, err)
			return
		}
		v.read.Add(1)
		fmt.Fprint(w, len(b))
	})}, clockwork.NewRealClock(), 0)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.address = n.Addr().String()
	go func() { _ = s.Serve(n) }()
	t.Cleanup(func() { _ = s.Shutdown(t.Context(), 0) })
	return v
}

// send opens a connection and writes to it.
func (v *bounded) send(text string) net.Conn {
	v.t.Helper()
	c, err := net.Dial("tcp", v.address)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(bodyIdle - 5*time.Second)) // a refusal must not wait for the body
	_, _ = io.WriteString(c, text)                              // the server may have closed it already
	return c
}

// answer reads the status and the Retry-After of an answer; 0 means that the connection ended without one.
func (v *bounded) answer(c net.Conn) (status int, retry string) {
	v.t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	return r.StatusCode, r.Header.Get("Retry-After")
}

// eventually waits until a value of the pool is reached.
func (v *bounded) eventually(name string, want int64, value func() int64) {
	v.t.Helper()
	var got int64
	for range 2000 {
		v.pool.mu.Lock()
		got = value()
		v.pool.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	v.t.Errorf("%s: got %d, want %d", name, got, want)
}

func announce(size, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
}

func inChunks(size, chunk int) string {
	part := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(part, size/chunk)
}

// Guards against a refusal that does not arrive or waits for a body that never comes, a refused body that counts as read, a body within
// the limits that is refused, and memory that is never returned.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name, text string
		limits     Limits
		want       int
		retry      string
	}{
		{"within the limit", announce(bodyLimit, bodyLimit), LimitsOf(64<<20, 0), http.StatusOK, ""},
		{"within the limit, in small chunks", inChunks(99_968, 64) + "0\r\n\r\n", LimitsOf(64<<20, 0), http.StatusOK, ""},
		{"no bounds", announce(bodyLimit, bodyLimit), Limits{}, http.StatusOK, ""},
		{"announced above the limit", announce(bodyLimit+1, bodyLimit+1), LimitsOf(64<<20, 0), http.StatusRequestEntityTooLarge, ""},
		{"announced above the limit, not sent", announce(9_000_000, 10), LimitsOf(64<<20, 0), http.StatusRequestEntityTooLarge, ""},
		{"announced a little above the limit, not sent", announce(bodyLimit+1, 10), LimitsOf(64<<20, 0), http.StatusRequestEntityTooLarge, ""},
		{"announced above the limit, last request", strings.Replace(announce(2*bodyLimit, 2*bodyLimit), "Host", "Connection: close\r\nHost", 1),
			LimitsOf(64<<20, 0), http.StatusRequestEntityTooLarge, ""},
		{"sent above the limit", inChunks(bodyLimit+64, 64), LimitsOf(64<<20, 0), http.StatusRequestEntityTooLarge, ""},
		{"never any memory", announce(bodyLimit, bodyLimit), Limits{Bodies: 200_000, Large: 100_000}, http.StatusRequestEntityTooLarge, ""},
		{"with Expect", strings.Replace(announce(bodyLimit+1, 0), "Host", "Expect: 100-continue\r\nHost", 1), Limits{}, http.StatusRequestEntityTooLarge, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newBounded(t, c.limits)
			if got, retry := v.answer(v.send(c.text)); got != c.want || retry != c.retry {
				t.Errorf("got status %d and Retry-After %q, want %d and %q", got, retry, c.want, c.retry)
			}
			if got := v.read.Load(); (got > 0) != (c.want == http.StatusOK) {
				t.Errorf("got %d bodies read with status %d", got, c.want)
			}
			v.eventually("reserved memory", 0, func() int64 { return v.pool.budget.used })
		})
	}
}

// Guards against a connection that is reset while its client still sends a refused body: such a client may lose the answer.
func TestRefusedBodiesAreReadOn(t *testing.T) {
	v := newBounded(t, LimitsOf(64<<20, 0))
	v.pool.drainTime = bodyIdle // longer than the test, however slow the machine is
	conn := v.send(strings.Replace(announce(2*bodyLimit, 10), "Host", "Connection: close\r\nHost", 1))
	if got, _ := v.answer(conn); got != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d, want 413", got)
	}
	for i := range 10 {
		time.Sleep(10 * time.Millisecond) // a reset would have arrived
		if _, err := io.WriteString(conn, strings.Repeat("x", 10_000)); err != nil {
			t.Fatalf("got error %v at part %d of a refused body, want it read", err, i)
		}
	}
}

// Load: large bodies that stop one byte short take all memory. Guards against small bodies that find none, a large one that waits, and
// stalled ones that keep their memory although another one needs it.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const size = 50_000
	v := newBounded(t, Limits{Bodies: 3 * Cost(size), Large: 2 * Cost(size)})
	var stalled []net.Conn
	for range 2 {
		stalled = append(stalled, v.send(announce(size, size-1)))
		v.eventually("reserved memory", int64(len(stalled))*Cost(size), func() int64 { return v.pool.budget.used })
	}
	if got, retry := v.answer(v.send(announce(size, size))); got != http.StatusServiceUnavailable || retry != "1" {
		t.Errorf("got status %d and Retry-After %q at a large body without memory, want 503 and 1", got, retry)
	}
	if got, _ := v.answer(v.send(announce(SmallBody, SmallBody))); got != http.StatusOK {
		t.Errorf("got status %d at a small body, want 200", got)
	}
	v.clock.Advance(stalledTime)
	if got, _ := v.answer(v.send(announce(size, size))); got != http.StatusOK {
		t.Errorf("got status %d at a large body beside stalled ones, want 200", got)
	}
	if got, _ := v.answer(stalled[0]); got == http.StatusOK {
		t.Error("the body without progress for the longest time was served, want it closed")
	}
	_, _ = io.WriteString(stalled[1], "x")
	if got, _ := v.answer(stalled[1]); got != http.StatusOK {
		t.Errorf("got status %d at the other stalled body, want it kept and served", got)
	}
}

// Load: more connections than the bound, silent, idle or dripping. Guards against a process without descriptors, and against new
// clients that are turned away while connections do nothing.
func TestConnectionsMakeRoom(t *testing.T) {
	const bound = 4
	v := newBounded(t, Limits{Connections: bound})
	open := func() int64 { return int64(v.pool.shared.open) }
	idleConn := v.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, _ := v.answer(idleConn); got != http.StatusOK {
		t.Fatalf("got status %d, want 200", got)
	}
	v.eventually("idle connections", 1, func() int64 {
		if v.pool.shared.order.first[idle] == nil {
			return 0
		}
		return 1
	})
	silent := []net.Conn{v.send(""), v.send("GET / HTTP/1.1\r\nX: "), v.send("")}
	v.eventually("open connections", bound, open)
	for i, closing := range append([]net.Conn{idleConn}, silent...) {
		c := v.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if got, _ := v.answer(c); got != http.StatusOK {
			t.Errorf("got status %d at request %d beyond the bound, want 200", got, i)
		}
		if _, err := closing.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("connection %d: got error %v, want it closed: the idle one first, then the oldest", i, err)
		}
		v.eventually("open connections", bound-1, open)
		v.send("") // takes the place that was left
		v.eventually("open connections", bound, open)
	}
}

// Load: bodies that stop short, sent to a path that nobody serves. Guards against connections that can't be closed for new clients
// because net/http waits for the rest of a body that no handler has read.
func TestUnreadBodiesMakeRoom(t *testing.T) {
	v := newBounded(t, Limits{Connections: 1})
	stalled := v.send(strings.Replace(announce(100, 99), " / ", " /unknown ", 1))
	v.eventually("unfinished bodies", 1, func() int64 {
		if v.pool.shared.order.first[unfinished] == nil {
			return 0
		}
		return 1
	})
	time.Sleep(50 * time.Millisecond) // the handler returns meanwhile
	v.clock.Advance(stalledTime)
	if got, _ := v.answer(v.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); got != http.StatusOK {
		t.Errorf("got status %d beside an unread body without progress, want 200", got)
	}
	if got, _ := v.answer(stalled); got != 0 {
		t.Errorf("got status %d for the unread body, want its connection closed", got)
	}
}

// Guards against bodies that take for ever where nothing else is wrong: without progress, and with a little of it.
func TestBodiesEnd(t *testing.T) {
	cases := []struct {
		name       string
		idle, time time.Duration
		pause      time.Duration // between two bytes
	}{
		{"without progress", 50 * time.Millisecond, time.Minute, time.Minute},
		{"too slow", time.Minute, 200 * time.Millisecond, 10 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newBounded(t, Limits{})
			v.pool.bodyIdle, v.pool.bodyTime = c.idle, c.time
			conn := v.send(announce(bodyLimit, 1))
			ended := make(chan struct{})
			go func() {
				for {
					select {
					case <-ended:
						return
					case <-time.After(c.pause):
						_, _ = io.WriteString(conn, "x")
					}
				}
			}()
			if got, _ := v.answer(conn); got != http.StatusRequestTimeout {
				t.Errorf("got status %d, want 408", got)
			}
			close(ended)
		})
	}
}

// Load: headers of many short lines, whose entries take several times their bytes. Guards against their memory, which no length announces.
func TestLargeHeadersAreReserved(t *testing.T) {
	v := newBounded(t, Limits{Bodies: 1 << 20, Large: 300_000})
	var lines strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&lines, "x%x: 1\r\n", i)
	}
	text := "GET / HTTP/1.1\r\nHost: x\r\n" + lines.String()
	v.send(text)
	// Most of the header, so that no second one fits.
	v.eventually("whether a header is reserved", 1, func() int64 { return min(1, v.pool.budget.used/(12*headerStep)) })
	if got, _ := v.answer(v.send(text + "\r\n")); got == http.StatusOK {
		t.Error("got status 200 at a large header without memory, want a refusal")
	}
	if got, _ := v.answer(v.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); got != http.StatusOK {
		t.Errorf("got status %d at an ordinary header, want 200", got)
	}
}

// Load: many refusals at once. Guards against a log line for each, and against refusals that no line tells of.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewFakeClock()
	p := NewPool(PoolOptions{Clock: clock, Log: zap.New(core)})
	want := []int64{1000, 1}
	for i, n := range want {
		p.mu.Lock()
		for range n {
			p.count(ReasonSize)
		}
		p.mu.Unlock()
		clock.Advance(logInterval)
		for range 2000 {
			if logs.Len() > i {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if got := logs.Len(); got != i+1 {
			t.Fatalf("got %d lines after %d refusals, want %d", got, n, i+1)
		}
		if got := logs.All()[i].ContextMap()["size"]; got != uint64(n) {
			t.Errorf("got %v refusals in line %d, want %d", got, i, n)
		}
	}
}

// Guards against limits that a process of the stated size doesn't keep, or that clients inside the limits reach.
func TestLimitsOf(t *testing.T) {
	cases := []struct {
		name  string
		mb    int64
		files int
		want  Limits
	}{
		{"no settings", 0, 0, Limits{}},
		{"an entry", 184, 4100, Limits{Bodies: 38587596, Large: 28940697, Connections: 942}},
		{"a store", 408, 4096, Limits{Bodies: 85563801, Large: 64172851, Connections: 2088}},
		{"few descriptors", 184, 400, Limits{Bodies: 38587596, Large: 28940697, Connections: 200}},
		{"no bound of descriptors", 184, 0, Limits{Bodies: 38587596, Large: 28940697, Connections: 942}},
	}
	for _, c := range cases {
		if got := LimitsOf(c.mb<<20, c.files); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}
