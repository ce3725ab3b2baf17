package cshttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// body1k is an ordinary body.
var body1k = bytes.Repeat([]byte("x"), 1<<10)

// bufferedBody yields its bytes with the end, like a body of net/http that came with its header.
type bufferedBody struct{ bytes.Reader }

func (b *bufferedBody) Close() error { return nil }

func (b *bufferedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == nil && b.Len() == 0 {
		err = io.EOF
	}
	return n, err
}

// loopback returns both ends of a connection.
func loopback(tb testing.TB) (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

// BenchmarkOrdinaryRequest shows what the bounds add to a request of 1 KiB that comes with its header: less than 2 µs and no
// allocation. "unbounded" is the same body read without them.
func BenchmarkOrdinaryRequest(b *testing.B) {
	b.Run("unbounded", func(b *testing.B) {
		var body bufferedBody
		b.ReportAllocs()
		for b.Loop() {
			body.Reset(body1k)
			if _, err := io.ReadAll(&body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("bounded", func(b *testing.B) {
		p := NewPool(PoolOptions{Limits: LimitsOf(184<<20, 4100), Clock: clockwork.NewRealClock()})
		_, server := loopback(b)
		c := &conn{Conn: server, pool: p, share: &p.shared}
		p.admit(c)
		var body bufferedBody
		r := (&http.Request{Method: http.MethodPost, Body: &body, ContentLength: int64(len(body1k))}).WithContext(withConn(context.Background(), c))
		b.ReportAllocs()
		for b.Loop() {
			body.Reset(body1k)
			c.account(body1k)
			c.startRequest(r)
			if _, err := ReadBody(r, 1<<20); err != nil {
				b.Fatal(err)
			}
			if err := Reserve(r, len(body1k), 4096); err != nil {
				b.Fatal(err)
			}
			p.finish(c)
			p.connState(c, http.StateIdle)
		}
	})
}

// BenchmarkConnectionMemory reports what a connection holds in a server, for connectionCost, with its client's end of about 1 KiB.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 1000
	head := "POST / HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"
	cases := []struct{ name, sent string }{
		{"silent", ""},
		{"unfinished header", head},
		{"unfinished body", head + "Content-Length: 100\r\n\r\n{"},
		{"in handler", head + "Content-Length: 1\r\n\r\n1"},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(memoryOf(b, connections, c.sent))/connections, "B/connection")
			}
		})
	}
}

func memoryOf(b *testing.B, connections int, sent string) uint64 {
	p := NewPool(PoolOptions{Clock: clockwork.NewRealClock()})
	proceed := make(chan struct{})
	s := p.Server(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, 1<<20); err != nil {
			Refuse(w, r, err)
		}
		<-proceed
	})}, clockwork.NewRealClock(), 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	before := used()
	clients := make([]net.Conn, connections)
	for i := range clients {
		if clients[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
			b.Fatal(err)
		}
		fmt.Fprint(clients[i], sent)
	}
	time.Sleep(500 * time.Millisecond)
	after := used()
	close(proceed)
	for _, c := range clients {
		_ = c.Close()
	}
	_ = s.Shutdown(context.Background(), 0)
	return after - min(before, after)
}

// used returns the bytes of heap and stacks in use.
func used() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
