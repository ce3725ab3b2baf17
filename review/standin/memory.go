//go:build review

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

const (
	memoryInterval = 50 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// allowedEnds is how often processes of a machine may end by themselves in a day, memory over the limit included.
const allowedEnds = 2

// guardMemory ends each store that uses more memory than its machine has, as the platform does, and starts it again. It returns
// how often it has ended each of them.
func (w *world) guardMemory(stop chan struct{}) map[string]int {
	kills := map[string]int{}
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(memoryInterval):
		}
		for _, p := range w.stores {
			used := w.memory(p)
			if used <= memoryLimit<<20 {
				continue
			}
			kills[p.name]++
			w.logf("%s uses %d MiB of %d and is ended", p.name, used>>20, memoryLimit)
			w.kill(p)
			time.AfterFunc(restartDelay, func() {
				select {
				case <-stop:
				default:
					if err := w.start(p); err != nil {
						w.logf("%s: %v", p.name, err)
					}
				}
			})
		}
	}
}

// memory returns the resident memory of a process in bytes, and 0 where it does not run.
func (w *world) memory(p *process) int {
	w.mu.Lock()
	c, exited := p.cmd, p.exited
	w.mu.Unlock()
	select {
	case <-exited:
		return 0
	default:
	}
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(c.Process.Pid), "statm"))
	fields := bytes.Fields(b)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
