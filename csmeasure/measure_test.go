package csmeasure

import (
	"runtime/debug"
	"sync"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	debug.SetGCPercent(400)
	p := Profiles()[0]
	var g sync.WaitGroup
	for _, name := range Policies() {
		g.Go(func() {
			begin := time.Now()
			r := Run(p, name, 1, false)
			t.Logf("%s %+v in %s", name, r, time.Since(begin))
		})
	}
	g.Wait()
}
