package csnode

import (
	"net"
	"testing"
	"time"
)

// Guards against unbounded connections: a connection beyond the limit is accepted only when another one has closed.
func TestLimitedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(inner, 1)
	accepted := make(chan net.Conn, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first := <-accepted
	if got := len(l.slots); got != 1 {
		t.Errorf("got %d places in use, want 1", got)
	}
	select {
	case <-accepted:
		t.Fatal("got a second connection while the first is open")
	case <-time.After(20 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close() // a second close must not free another place
	<-accepted
	_ = l.Close()
	<-done
}
