package csfake

import (
	"sync"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Ledger counts executions of requests and tasks by the identity in their body. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	started  map[string]int
	finished map[csmodel.TaskID]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{started: map[string]int{}, finished: map[csmodel.TaskID]int{}}
}

func (l *Ledger) start(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started[id]++
}

func (l *Ledger) finish(id csmodel.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished[id]++
}

// Executions returns how often a request was started.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[id]
}

// Total returns the number of started requests, repetitions included.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.started {
		total += n
	}
	return total
}

// Duplicates returns the ids that were started more than once, in order.
func (l *Ledger) Duplicates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var duplicates []string
	for _, id := range csmodel.SortedKeys(l.started) {
		if l.started[id] > 1 {
			duplicates = append(duplicates, id)
		}
	}
	return duplicates
}

// Finished returns how often a task finished.
func (l *Ledger) Finished(id csmodel.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[id]
}
