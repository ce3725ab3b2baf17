package cslink

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// unreachable returns an address at which opening packets are dropped: nobody accepts and the queue of connections is full.
func unreachable(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return address
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Pattern: all stores lose power in a busy phase and come back. An attempt to reach one that is still down must not delay the
// next one: it held links back for up to a second after the store had started.
func TestAttemptAtAMachineWithoutPowerIsShort(t *testing.T) {
	n := run(t, Options{Self: "z", Clock: clockwork.NewRealClock()}, "b", unreachable(t)) // b would dial
	started := time.Now()
	_, err := n.peers["b"].links[Control].connect()
	if err == nil {
		t.Fatal("got a connection to a machine that does not answer")
	}
	if took := time.Since(started); took >= handshakeTimeout {
		t.Errorf("got %s for an attempt, want less than %s", took, handshakeTimeout)
	}
}
