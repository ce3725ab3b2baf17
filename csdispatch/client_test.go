package csdispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchange is one request that a scriptedServer received.
type exchange struct {
	conn       net.Conn
	connNumber int // order in which the connection was accepted, from 1
	header     http.Header
}

// respond writes a response with the headers that the client verifies. Each change "Name: value" replaces a header; an
// empty value removes it.
func (x exchange) respond(status int, body string, changes ...string) {
	headers := map[string]string{
		HeaderAttempt:     x.header.Get(HeaderAttempt),
		HeaderIncarnation: x.header.Get(HeaderIncarnation),
		HeaderDigest:      Digest([]byte(body)),
		"Content-Length":  fmt.Sprint(len(body)),
	}
	for _, c := range changes {
		name, value, _ := strings.Cut(c, ": ")
		headers[name] = value
	}
	fmt.Fprintf(x.conn, "HTTP/1.1 %d x\r\n", status)
	for name, value := range headers {
		if value != "" {
			fmt.Fprintf(x.conn, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(x.conn, "\r\n%s", body)
}

// respondWith returns a script that writes a response and keeps the connection open.
func respondWith(status int, body string, changes ...string) func(exchange) bool {
	return func(x exchange) bool {
		x.respond(status, body, changes...)
		return true
	}
}

// scriptedServer accepts connections and calls a script for each request. The connection is closed when the script returns
// false.
type scriptedServer struct {
	net.Listener
	wg sync.WaitGroup
}

func serve(t testing.TB, script func(exchange) bool) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{Listener: listener}
	s.wg.Go(func() {
		for connNumber := 1; ; connNumber++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { serveConn(conn, connNumber, script) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.wg.Wait()
	})
	return s
}

// serveConn serves a connection until the script returns false or the client closes it.
func serveConn(conn net.Conn, connNumber int, script func(exchange) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !script(exchange{conn, connNumber, r.Header}) {
			return
		}
	}
}

const longTimeout = 30 * time.Second // time limit of attempts that must not time out

func newDispatch(address, id string, limit time.Duration) csrequest.Dispatch {
	return csrequest.Dispatch{
		Attempt: csmodel.AttemptID("a.1." + id), Incarnation: 3, Job: "j", Address: address, Timeout: limit, Limit: limit,
	}
}

// Guards against accepting a response that is incomplete, altered or belongs to another attempt, and against confusing
// refusals with answers.
func TestResponses(t *testing.T) {
	const answered, refused, full, failed = "answered", "refused", "full", "failed after sending"
	tests := []struct {
		name   string
		script func(exchange) bool
		want   string
	}{
		{"answer", respondWith(200, "ok"), answered},
		{"empty answer", respondWith(200, ""), answered},
		{"the target's own 503", respondWith(503, "busy"), answered},
		{"redirect is an answer", respondWith(302, "", "Location: /"), answered},
		{"several digests", respondWith(200, "ok", HeaderDigest+": md5=:AA==:, "+Digest([]byte("ok"))), answered},
		{"refused", respondWith(503, "", HeaderStarted+": false"), refused},
		{"wrong incarnation", respondWith(409, "", HeaderStarted+": false", HeaderIncarnation+": 4"), refused},
		{"no slot", respondWith(429, "", HeaderStarted+": false"), full},
		{"refusal with another status", respondWith(500, "", HeaderStarted+": false", HeaderDigest+": "), failed},
		{"refusal of another attempt", respondWith(503, "", HeaderStarted+": false", HeaderAttempt+": a.1.z"), failed},
		{"answer to another attempt", respondWith(200, "ok", HeaderAttempt+": a.1.z"), failed},
		{"answer of another incarnation", respondWith(200, "ok", HeaderIncarnation+": 4"), failed},
		{"no digest", respondWith(200, "ok", HeaderDigest+": "), failed},
		{"wrong digest", respondWith(200, "ok", HeaderDigest+": "+Digest(nil)), failed},
		{"no length", func(x exchange) bool { x.respond(200, "ok", "Content-Length: "); return false }, failed},
		{"chunked", respondWith(200, "2\r\nok\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"), failed},
		{"too long", respondWith(200, strings.Repeat("x", maxBodyBytes+1)), failed},
		{"truncated", func(x exchange) bool { x.respond(200, "ok", "Content-Length: 3"); return false }, failed},
		{"truncated header", func(x exchange) bool { fmt.Fprint(x.conn, "HTTP/1.1 200 x\r\nCo"); return false }, failed},
		{"closed", func(exchange) bool { return false }, failed},
		{"reset", func(x exchange) bool { x.conn.(*net.TCPConn).SetLinger(0); return false }, failed},
		{"no HTTP", func(x exchange) bool { fmt.Fprint(x.conn, "hello\r\n\r\n"); return false }, failed},
	}
	for _, tt := range tests {
		s := serve(t, tt.script)
		c := NewClient(Config{})
		got := describe(c.Do(context.Background(), newDispatch(s.Addr().String(), "1", longTimeout), []byte("body")))
		if got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
		c.Close()
	}
}

func describe(e csrequest.Event) string {
	switch e := e.(type) {
	case csrequest.AttemptAnswered:
		return "answered"
	case csrequest.AttemptRefused:
		if e.NoSlot {
			return "full"
		}
		return "refused"
	case csrequest.AttemptFailed:
		if e.Sent {
			return "failed after sending"
		}
		return "failed before sending"
	default:
		return fmt.Sprintf("%T", e)
	}
}

// Guards against reporting an attempt as sent when nothing was sent. A request that is not idempotent would end with an
// unknown outcome instead of going to another target.
func TestNotSent(t *testing.T) {
	s := serve(t, func(exchange) bool { return false })
	address := s.Addr().String()
	s.Close()
	c := NewClient(Config{})
	defer c.Close()
	if got := describe(c.Do(context.Background(), newDispatch(address, "1", longTimeout), nil)); got != "failed before sending" {
		t.Errorf("refused connection: got %s", got)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if got := describe(c.Do(ended, newDispatch(address, "2", longTimeout), nil)); got != "failed before sending" {
		t.Errorf("ended context: got %s", got)
	}
}

// Guards against a failed attempt, and thus an unknown outcome, because the target closed an idle connection.
func TestStaleConnection(t *testing.T) {
	s := serve(t, func(x exchange) bool {
		x.respond(200, "ok", "Connection: close")
		return false
	})
	c := NewClient(Config{})
	defer c.Close()
	for i := range 3 {
		if got := describe(c.Do(context.Background(), newDispatch(s.Addr().String(), fmt.Sprint(i), longTimeout), nil)); got != "answered" {
			t.Errorf("attempt %d: got %s", i, got)
		}
	}
}

// Guards against reusing a connection on which an attempt timed out, and against accepting a late response from it.
func TestSilentConnection(t *testing.T) {
	var requests atomic.Int32
	s := serve(t, func(x exchange) bool {
		requests.Add(1)
		if x.connNumber == 1 && requests.Load() > 1 {
			return true // no response from the second request on
		}
		x.respond(200, fmt.Sprint("connection ", x.connNumber))
		return true
	})
	c := NewClient(Config{})
	defer c.Close()
	address := s.Addr().String()
	if got := describe(c.Do(context.Background(), newDispatch(address, "1", longTimeout), nil)); got != "answered" {
		t.Fatalf("got %s", got)
	}
	silent := c.Do(context.Background(), newDispatch(address, "2", 100*time.Millisecond), nil)
	if got := describe(silent); got != "failed after sending" {
		t.Errorf("silent connection: got %s", got)
	}
	for i := range 3 {
		e := c.Do(context.Background(), newDispatch(address, fmt.Sprint(3+i), longTimeout), nil)
		a, ok := e.(csrequest.AttemptAnswered)
		if !ok || string(a.Answer.Body) != "connection 2" {
			t.Errorf("attempt %d after the timeout: got %+v", i, e)
		}
	}
}

// Guards against matching a response with the next attempt on the connection when the target responds twice.
func TestTwoResponses(t *testing.T) {
	s := serve(t, func(x exchange) bool {
		x.respond(200, "first "+x.header.Get(HeaderAttempt))
		x.respond(200, "second "+x.header.Get(HeaderAttempt))
		return true
	})
	c := NewClient(Config{})
	defer c.Close()
	answered := 0
	for i := range 50 {
		d := newDispatch(s.Addr().String(), fmt.Sprint(i), longTimeout)
		if a, ok := c.Do(context.Background(), d, nil).(csrequest.AttemptAnswered); ok {
			answered++
			if got, want := string(a.Answer.Body), "first "+string(d.Attempt); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	}
	if answered == 0 {
		t.Error("no attempt was answered")
	}
}

// Guards against mixing up the answers of concurrent attempts while some attempts are aborted.
func TestConcurrentAttempts(t *testing.T) {
	s := serve(t, func(x exchange) bool {
		x.respond(200, x.header.Get(HeaderAttempt))
		return true
	})
	c := NewClient(Config{})
	defer c.Close()
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			for k := range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+k)%5 == 0 {
					go cancel()
				}
				d := newDispatch(s.Addr().String(), fmt.Sprint(i, "x", k), longTimeout)
				a, ok := c.Do(ctx, d, nil).(csrequest.AttemptAnswered)
				if ok && string(a.Answer.Body) != string(d.Attempt) {
					t.Errorf("got %q, want %q", a.Answer.Body, d.Attempt)
				}
				cancel()
			}
		})
	}
	all.Wait()
}

// Guards against a write that reaches the target after closeAll reported the request as not sent.
func TestNoWriteAfterClose(t *testing.T) {
	for range 200 {
		near, far := net.Pipe()
		received := make(chan int, 1)
		go func() {
			n, _ := far.Read(make([]byte, 8))
			received <- n
		}()
		conn := &countingConn{Conn: near}
		used := usedConns{conns: []usedConn{{conn: conn}}}
		var writer sync.WaitGroup
		writer.Go(func() { conn.Write([]byte("request")) })
		sent := used.closeAll()
		writer.Wait()
		far.Close()
		if n := <-received; n > 0 && !sent {
			t.Fatal("data was written after closeAll returned false")
		}
	}
}

func BenchmarkDo(b *testing.B) {
	s := serve(b, respondWith(200, "ok"))
	c := NewClient(Config{})
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if got := describe(c.Do(context.Background(), newDispatch(s.Addr().String(), "1", longTimeout), nil)); got != "answered" {
			b.Fatal(got)
		}
	}
}
