package csvms

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
)

// referenceDonor searches all VMs by the order of preference in the design note.
func referenceDonor(goal capacityGoal, allowed func(*Candidate) bool, to *PoolView, pools map[csmodel.PoolID]*PoolView, left []*Candidate) *Candidate {
	var fit []*Candidate
	for _, c := range left {
		if p := pools[c.Pool]; p != nil && p != to && allowed(c) && canSpare(goal, p, c.CPU) {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return slices.MinFunc(fit, func(c, d *Candidate) int {
		x, y := pools[c.Pool], pools[d.Pool]
		return cmp.Or(
			compareBool(d.Idle, c.Idle), compareBool(y.Standby, x.Standby), cmp.Compare(x.deficit(forecastDesired), y.deficit(forecastDesired)),
			cmp.Compare(c.DrainTime, d.DrainTime), cmp.Compare(c.ID, d.ID),
		)
	})
}

// referenceBalance is Balance without presorted candidates.
func referenceBalance(pools []*PoolView, candidates []Candidate) (out []Transfer) {
	byID := map[csmodel.PoolID]*PoolView{}
	for _, p := range pools {
		byID[p.ID] = p
	}
	var left []*Candidate
	for i := range candidates {
		left = append(left, &candidates[i])
	}
	for _, o := range []struct {
		goal    capacityGoal
		allowed func(*Candidate) bool
	}{{presentMinimum, idleOrDrainable}, {presentDesired, idleOnly}, {forecastMinimum, idleOrDrainable}, {forecastDesired, idleOnly}} {
		for to := largestDeficit(o.goal, pools); to != nil; to = largestDeficit(o.goal, pools) {
			c := referenceDonor(o.goal, o.allowed, to, byID, left)
			if c == nil {
				break
			}
			from := byID[c.Pool]
			from.Supply, from.VMs = from.Supply-c.CPU, from.VMs-1
			to.Supply, to.VMs = to.Supply+c.CPU, to.VMs+1
			left = slices.DeleteFunc(left, func(o *Candidate) bool { return o == c })
			out = append(out, Transfer{VM: c.ID, To: to.ID})
		}
	}
	return out
}

// randomFleet returns the pools and VMs of a large deployment with random demand.
func randomFleet(r *rand.Rand, vms int) (pools []*PoolView, candidates []Candidate) {
	for p := range 5 {
		n := vms / 5
		need := csmodel.MilliCPU(r.Float64() * 2 * float64(n) * float64(vmCPU))
		v := poolView(csmodel.PoolID(fmt.Sprint("pool-", p)), n, need)
		v.ExpectedDemand = csmodel.MilliCPU(r.Float64() * 2 * float64(need))
		v.CertainDemand = csmodel.MilliCPU(r.Float64() * float64(need))
		v.RequiredVMs, v.Standby = r.IntN(n/2), p == 4 && r.IntN(3) > 0
		pools = append(pools, v)
		for i := range n {
			c := Candidate{ID: csmodel.VMID(fmt.Sprintf("%d-%04d", r.IntN(10), 5*i+p)), Pool: v.ID, CPU: vmCPU - csmodel.MilliCPU(r.IntN(3))*4000}
			switch r.IntN(4) {
			case 0:
				c.Idle = true
			case 1:
				c.LongRunning = true
			default:
				c.DrainTime = time.Duration(r.IntN(6)) * 500 * time.Millisecond
			}
			candidates = append(candidates, c)
		}
	}
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return pools, candidates
}

// Pattern: 350 VMs of several sizes in five pools with random demand. Guards against a donor search that is fast and takes other
// VMs than those that the policy prefers.
func TestBalanceMatchesReference(t *testing.T) {
	moves := 0
	for seed := range uint64(300) {
		pools, candidates := randomFleet(rand.New(rand.NewPCG(seed, 1)), 350)
		same, again := randomFleet(rand.New(rand.NewPCG(seed, 1)), 350)
		got, want := Balance(pools, candidates), referenceBalance(same, again)
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
		moves += len(got)
	}
	if moves == 0 {
		t.Error("got no moves, want some")
	}
}

// BenchmarkBalance measures one decision in a large deployment.
func BenchmarkBalance(b *testing.B) {
	for _, c := range []struct {
		name    string
		balance func([]*PoolView, []Candidate) []Transfer
	}{{"reference", referenceBalance}, {"presorted", Balance}} {
		b.Run(c.name, func(b *testing.B) {
			moves := 0
			for n := range b.N {
				b.StopTimer()
				pools, candidates := randomFleet(rand.New(rand.NewPCG(uint64(n%50), 1)), 350)
				b.StartTimer()
				moves += len(c.balance(pools, candidates))
			}
			b.ReportMetric(float64(moves)/float64(b.N), "moves")
		})
	}
}
