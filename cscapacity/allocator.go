package cscapacity

import "cowslipstream.example/cowslipstream/csmodel"

// vmAllocator allocates the VMs that pools can give up in one step.
type vmAllocator struct {
	loads     []Load
	allocated map[csmodel.PoolID]int
}

func newVMAllocator(loads []Load) *vmAllocator {
	return &vmAllocator{loads: loads, allocated: make(map[csmodel.PoolID]int)}
}

// borrow moves up to missing VMs from the spare pools, or from the others, in addition to those that already arrive.
// idle returns how many VMs a pool does not need itself; nil means all that its budget allows.
func (a *vmAllocator) borrow(to Load, missing int, spare bool, idle func(Load) int) []Move {
	var moves []Move
	for _, l := range a.loads {
		if l.Pool == to.Pool || l.Spare != spare || missing <= 0 {
			continue
		}
		free := l.Lendable - a.allocated[l.Pool]
		if idle != nil {
			free = min(free, idle(l)-a.allocated[l.Pool])
		}
		count := min(missing, free)
		if count <= 0 {
			continue
		}
		a.allocated[l.Pool] += count
		missing -= count
		moves = append(moves, Move{From: l.Pool, To: to.Pool, VMs: count + to.arrivingFrom(l.Pool)})
	}
	return moves
}

// arrivingFrom returns the number of VMs in moves from a pool. The planner counts them towards a wanted move, so a Move
// includes them.
func (l Load) arrivingFrom(pool csmodel.PoolID) int {
	for _, b := range l.Arriving {
		if b.Home == pool {
			return b.VMs
		}
	}
	return 0
}

// additionalVMs returns the number of VMs in moves in addition to those that already arrive.
func additionalVMs(to Load, moves []Move) int {
	total := 0
	for _, m := range moves {
		total += m.VMs - to.arrivingFrom(m.From)
	}
	return total
}
