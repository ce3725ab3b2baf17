package csconfig

import (
	"fmt"
	"math"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csyaml"
)

// Bounds of values. They are far above any installation and keep sums and products in range.
const (
	maxSize    = 100_000
	maxShare   = 1_000_000
	maxTimeout = time.Hour
	maxRuntime = 30 * 24 * time.Hour
	maxPeriod  = 366 * 24 * time.Hour
)

// MaintenanceTime is how long one VM is assumed to be in maintenance (drain and reboot) when the period of a wave is
// checked.
const MaintenanceTime = 5 * time.Minute

// Validate returns nil or a *csyaml.InvalidError with the path, reason and fix of every fault.
func (c Configuration) Validate() error {
	return c.check().faults.Err()
}

type validator struct {
	Configuration
	faults csyaml.Faults
	pools  map[csmodel.PoolID]Pool
}

func (c Configuration) check() *validator {
	v := &validator{Configuration: c, pools: map[csmodel.PoolID]Pool{}}
	v.checkNames()
	for _, p := range c.Pools {
		v.pools[p.Name] = p
	}
	for i, p := range c.Pools {
		v.checkPool(p, fmt.Sprintf("pools[%d]", i))
	}
	for i, j := range c.Jobs {
		v.checkJob(j, fmt.Sprintf("jobs[%d]", i))
	}
	for i, t := range c.Teams {
		v.checkTeam(t, fmt.Sprintf("teams[%d]", i))
	}
	for i, w := range c.Waves {
		v.checkWave(w, fmt.Sprintf("waves[%d]", i))
	}
	return v
}

func (v *validator) checkNames() {
	checkList(v, "pools", "pool", v.Pools, func(p Pool) csmodel.PoolID { return p.Name })
	checkList(v, "jobs", "job", v.Jobs, func(j Job) csmodel.JobID { return j.Name })
	checkList(v, "teams", "team", v.Teams, func(t Team) csmodel.TeamID { return t.Name })
	checkList(v, "waves", "wave", v.Waves, func(w Wave) csmodel.WaveID { return w.Name })
}

func checkList[E any, N ~string](v *validator, list, noun string, entries []E, name func(E) N) {
	first := map[N]int{}
	for i, e := range entries {
		n := name(e)
		path := fmt.Sprintf("%s[%d].name", list, i)
		if !csyaml.CheckName(&v.faults, path, n) {
			continue
		}
		if k, ok := first[n]; ok {
			v.faults.Add(csyaml.Duplicate, path, fmt.Sprintf("%s %s is already defined as %s[%d]", noun, n, list, k),
				"rename or remove one of the two")
			continue
		}
		first[n] = i
	}
}

func (v *validator) checkPool(p Pool, path string) {
	csyaml.CheckName(&v.faults, path+".region", p.Region)
	v.checkRange(path+".size", "size", p.Size, 0, maxSize)
	v.checkRange(path+".budget", "budget", p.Budget, 0, maxSize)
	if p.Budget > p.Size && p.Size >= 0 {
		v.faults.Add(csyaml.Conflict, path+".budget", fmt.Sprintf("budget %d is larger than size %d", p.Budget, p.Size),
			fmt.Sprintf("set budget to %d or less", p.Size))
	}
	if p.Spare && p.Size > 0 && p.Budget < 1 {
		v.faults.Add(csyaml.Conflict, path+".budget",
			"a spare pool lends VMs and a budget below 1 lends none", "set budget to 1 or more")
	}
	seen := csmodel.NewSet[csmodel.AvailabilityZone]()
	for i, zone := range p.Zones {
		at := fmt.Sprintf("%s.zones[%d]", path, i)
		if csyaml.CheckName(&v.faults, at, zone) && seen.Has(zone) {
			v.faults.Add(csyaml.Duplicate, at, fmt.Sprintf("availability zone %s is listed twice", zone), "remove one")
		}
		seen.Add(zone)
	}
}

func (v *validator) checkJob(j Job, path string) {
	v.checkReference(path+".pool", j.Pool)
	v.checkDuration(path+".timeout", "timeout", j.Timeout, maxTimeout)
	v.checkDuration(path+".runtime", "runtime", j.Runtime, maxRuntime)
	if j.CPU < 0 {
		v.faults.Add(csyaml.Range, path+".cpu", "cpu is negative", "set cpu to 0 or more")
	}
	if j.Memory < 0 {
		v.faults.Add(csyaml.Range, path+".memory", "memory is negative", "set memory to 0 or more")
	}
	switch j.Class {
	case Urgent:
		if j.Timeout == 0 {
			v.faults.Add(csyaml.Missing, path+".timeout", fmt.Sprintf("urgent job %s has no timeout", j.Name),
				"add timeout, for example 2s")
		}
	case Deferred:
		if j.Runtime == 0 {
			v.faults.Add(csyaml.Missing, path+".runtime", fmt.Sprintf("deferred job %s has no runtime", j.Name),
				"add runtime, for example 10m")
		}
	case "":
		v.faults.Add(csyaml.Missing, path+".class", "the class is missing", "add class: urgent or class: deferred")
	default:
		v.faults.Add(csyaml.Range, path+".class", fmt.Sprintf("unknown class %q", string(j.Class)),
			nearest(j.Class, []Class{Urgent, Deferred}, "write one of"))
	}
}

func (v *validator) checkTeam(t Team, path string) {
	v.checkRange(path+".share", "share", t.Share, 1, maxShare)
	v.checkRange(path+".burst", "burst", t.Burst, 0, maxShare)
	v.checkRange(path+".tasks", "tasks", t.Tasks, 0, math.MaxInt32)
	if t.Rate < 0 || math.IsNaN(t.Rate) || math.IsInf(t.Rate, 0) {
		v.faults.Add(csyaml.Range, path+".rate", "rate is not a number of requests per second from 0",
			"set rate to 0 for no limit, or to a positive number")
	}
	if t.Rate > 0 && t.Burst < 1 {
		v.faults.Add(csyaml.Missing, path+".burst", "a team with a rate and no burst is refused every request",
			"set burst to 1 or more")
	}
}

func (v *validator) checkWave(w Wave, path string) {
	if len(w.Pools) == 0 {
		v.faults.Add(csyaml.Missing, path+".pools", fmt.Sprintf("wave %s has no pools", w.Name), "list one or more pools")
	}
	if w.Start.IsZero() {
		v.faults.Add(csyaml.Missing, path+".start", "the start is missing", "add start, for example 2026-03-01T04:00:00Z")
	}
	v.checkRange(path+".parallel", "parallel", w.Parallel, 1, maxSize)
	v.checkRange(path+".losses", "losses", w.Losses, 0, maxSize)
	v.checkDuration(path+".period", "period", w.Period, maxPeriod)
	seen := csmodel.NewSet[csmodel.PoolID]()
	known := true
	for i, id := range w.Pools {
		at := fmt.Sprintf("%s.pools[%d]", path, i)
		if seen.Has(id) {
			v.faults.Add(csyaml.Duplicate, at, fmt.Sprintf("pool %s is listed twice", id), "remove one")
		}
		seen.Add(id)
		if !v.checkReference(at, id) {
			known = false
			continue
		}
		if p := v.pools[id]; p.Budget < 1 && p.Size > 0 {
			v.faults.Add(csyaml.Conflict, at,
				fmt.Sprintf("the budget of pool %s is %d, so the wave can never take a VM of it", id, p.Budget),
				fmt.Sprintf("set the budget of pool %s to 1 or more, or remove it from the wave", id))
			known = false
		}
	}
	if known {
		v.checkPeriod(w, seen, path)
	}
}

// checkPeriod reports a period that is too short even if every VM takes only MaintenanceTime. A pool is limited by its
// budget and the whole wave by its parallelism.
func (v *validator) checkPeriod(w Wave, ids csmodel.Set[csmodel.PoolID], path string) {
	if w.Period <= 0 || w.Parallel < 1 {
		return
	}
	total := 0
	var needed time.Duration
	for id := range ids {
		p := v.pools[id]
		if p.Size < 1 || p.Size > maxSize {
			continue
		}
		total += p.Size
		needed = max(needed, rounds(p.Size, min(p.Budget, w.Parallel)))
	}
	needed = max(needed, rounds(total, w.Parallel))
	if w.Period >= needed {
		return
	}
	v.faults.Add(csyaml.Conflict, path+".period",
		fmt.Sprintf("%d VMs, %d at once and %s each, take %s, which is longer than the period",
			total, w.Parallel, csyaml.FormatDuration(MaintenanceTime), csyaml.FormatDuration(needed)),
		fmt.Sprintf("set period to %s or more, or raise parallel and the budgets", csyaml.FormatDuration(needed)))
}

func rounds(vms, parallel int) time.Duration {
	return time.Duration((vms+parallel-1)/parallel) * MaintenanceTime
}

func (v *validator) checkReference(path string, id csmodel.PoolID) bool {
	if id == "" {
		v.faults.Add(csyaml.Missing, path, "the pool is missing", "name a pool")
		return false
	}
	if _, ok := v.pools[id]; ok {
		return true
	}
	v.faults.Add(csyaml.Reference, path, fmt.Sprintf("pool %s does not exist", id),
		nearest(id, csmodel.SortedKeys(v.pools), "the pools are"))
	return false
}

func (v *validator) checkRange(path, name string, value, least, most int) {
	if value < least {
		v.faults.Add(csyaml.Range, path, fmt.Sprintf("%s %d is below %d", name, value, least),
			fmt.Sprintf("set %s to %d or more", name, least))
	}
	if value > most {
		v.faults.Add(csyaml.Range, path, fmt.Sprintf("%s %d is above %d", name, value, most),
			fmt.Sprintf("set %s to %d or less", name, most))
	}
}

func (v *validator) checkDuration(path, name string, value, most time.Duration) {
	if value < 0 {
		v.faults.Add(csyaml.Range, path, name+" is negative", "set "+name+" to 0 or more")
	}
	if value > most {
		v.faults.Add(csyaml.Range, path, name+" is longer than "+csyaml.FormatDuration(most),
			"set "+name+" to "+csyaml.FormatDuration(most)+" or less")
	}
}
