package cslog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"cowslipstream.example/cowslipstream/cslog"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(b)
}

func TestRingNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	r := cslog.NewRing(g, 10)
	const lines = 100
	for range lines {
		if _, err := r.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(g.open)
	r.Close()
	written := strings.Count(g.out.String(), "line\n")
	if got, want := uint64(written)+r.Dropped(), uint64(lines); got != want {
		t.Errorf("got %d lines written or counted as dropped, want %d", got, want)
	}
	if !strings.Contains(g.out.String(), `event="log lines dropped"`) {
		t.Error("the log does not tell that lines were dropped")
	}
	if _, err := r.Write([]byte("late\n")); err != nil {
		t.Errorf("got error %v after Close, want none", err)
	}
}
