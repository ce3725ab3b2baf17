package cscapacity

import "cowslipstream.example/cowslipstream/csmodel"

// market hands out the VMs that pools can give up in one step.
type market struct {
	loads []Load
	given map[csmodel.PoolID]int
}

func newMarket(loads []Load) *market {
	return &market{loads: loads, given: make(map[csmodel.PoolID]int)}
}

// borrow takes missing VMs of the spare pools, or of the others, in addition to those that arrive already. Idle tells how many VMs a pool does not need itself; nil stands
// for all that its budget allows.
func (m *market) borrow(to Load, missing int, spare bool, idle func(Load) int) []Move {
	var moves []Move
	for _, l := range m.loads {
		if l.Pool == to.Pool || l.Spare != spare || missing <= 0 {
			continue
		}
		free := l.Lendable - m.given[l.Pool]
		if idle != nil {
			free = min(free, idle(l)-m.given[l.Pool])
		}
		count := min(missing, free)
		if count <= 0 {
			continue
		}
		m.given[l.Pool] += count
		missing -= count
		moves = append(moves, Move{From: l.Pool, To: to.Pool, VMs: count + to.arrivingFrom(l.Pool)})
	}
	return moves
}

// arrivingFrom is the number of VMs in moves from a pool. The planner counts them against a wanted move.
func (l Load) arrivingFrom(pool csmodel.PoolID) int {
	for _, b := range l.Arriving {
		if b.Home == pool {
			return b.VMs
		}
	}
	return 0
}

// taken is the number of VMs that moves take in addition to those that arrive already.
func taken(to Load, moves []Move) int {
	total := 0
	for _, m := range moves {
		total += m.VMs - to.arrivingFrom(m.From)
	}
	return total
}
