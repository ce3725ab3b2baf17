package csmeasure

import (
	"fmt"
	"time"

	"cowslipstream.example/cowslipstream/csconfig"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
	"cowslipstream.example/cowslipstream/csrequest"
	"cowslipstream.example/cowslipstream/csrollout"
)

// designTeams is the number of teams with quotas at the design size.
const designTeams = 630

// designConfiguration is a configuration of the design size.
func designConfiguration() csconfig.Configuration {
	var c csconfig.Configuration
	wave := csconfig.Wave{Name: "wave", Start: epoch, Period: 6 * 7 * 24 * time.Hour, Parallel: 64, Losses: 20}
	for i := range designPools {
		name := poolName(i)
		c.Pools = append(c.Pools, csconfig.Pool{
			Name: name, Region: region, Size: designVMs / designPools, Budget: 3, Spare: i == designPools-1,
		})
		c.Jobs = append(c.Jobs, csconfig.Job{
			Name: urgentJob(name), Pool: name, Class: csconfig.Urgent, Idempotent: true, Timeout: timeout,
		})
		wave.Pools = append(wave.Pools, name)
	}
	for i := range designTeams {
		c.Teams = append(c.Teams, csconfig.Team{Name: csmodel.TeamID(fmt.Sprintf("team%03d", i)), Share: 1, Rate: 100, Burst: 100})
	}
	c.Waves = []csconfig.Wave{wave}
	return c
}

// configurationSlopes measures a change of one team in a configuration of the design size: its log entry, the decision of
// a replica and the activation on a node.
func configurationSlopes() []Slope {
	m := csrollout.NewMachine(func(c csconfig.Configuration) error { return c.Validate() })
	c := designConfiguration()
	revision := csmodel.Revision(0)
	var entry []byte
	submit := func(i int) {
		changed := c
		changed.Teams = append([]csconfig.Team(nil), c.Teams...)
		changed.Teams[i%designTeams].Share = 2 + i/designTeams
		s := csrollout.Submission{ID: csmodel.SubmissionID(fmt.Sprint("s", i)), Base: revision, Operator: "operator"}
		s.Delta = new(csconfig.Diff(m.Head().Configuration, changed))
		entry, _ = csrollout.EncodeSubmission(s)
		// A day of changes fits the table of results, so each change has its own day.
		m.Apply(csraft.Entry{At: epoch.Add(time.Duration(i) * 48 * time.Hour), Data: entry})
		revision = m.Head().Revision
		c = changed
	}
	submit(0)
	decision := loop(func(i int) { submit(i + 1) })
	r := csrequest.NewRouter(csrequest.Config{Node: "n", Incarnation: 1, Zone: "0"})
	activation := loop(func(i int) {
		r.Step(epoch.Add(time.Duration(i)*time.Second), csrequest.Configure{Configuration: c, Share: 0.05})
	})
	return []Slope{
		{Name: "log entry of a configuration change", Bytes: float64(len(entry))},
		{Name: "configuration change, difference and decision", Nanoseconds: decision},
		{Name: "configuration change, activation in the router", Nanoseconds: activation},
	}
}

// requestSlopes measures the router for requests that are answered at once, with the targets of one pool.
func requestSlopes() []Slope {
	const targets = 32
	keys := csrequest.NewKeys(csrequest.KeysConfig{Node: "n", Incarnation: 1})
	r := csrequest.NewRouter(csrequest.Config{Node: "n", Incarnation: 1, Zone: "0", Keys: keys})
	pool := poolName(0)
	c := csconfig.Configuration{Jobs: []csconfig.Job{
		{Name: "idempotent", Pool: pool, Class: csconfig.Urgent, Idempotent: true},
		{Name: "once", Pool: pool, Class: csconfig.Urgent},
	}}
	r.Step(epoch, csrequest.Configure{Configuration: c})
	var leases []csmodel.SlotLease
	for i := range targets {
		leases = append(leases, csmodel.SlotLease{
			Target: vmName(i), Incarnation: 1, Pool: pool, Zone: "0", Slots: slotsPerVM, Connections: 64,
			Until: epoch.Add(time.Hour),
		})
	}
	r.Step(epoch, csrequest.SlotsChanged{Leases: leases})
	serve := func(i int, e csrequest.RequestArrived) {
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		e.ID = csrequest.RequestID(i + 1)
		finish(r, now, r.Step(now, e))
		if i%designVMs == 0 {
			r.Step(now, csrequest.Tick{})
		}
	}
	plain := loop(func(i int) { serve(i, csrequest.RequestArrived{Job: "idempotent", Idempotent: true}) })
	offset := 1 << 30 // later than all requests before
	var record int
	keyed := loop(func(i int) {
		now := epoch.Add(time.Duration(i+offset) * time.Microsecond)
		key := keys.Issue(now, 1)[0].String()
		commands := r.Step(now, csrequest.RequestArrived{ID: csrequest.RequestID(i + offset), Job: "once", Key: key})
		for _, command := range commands {
			if rec, ok := command.(csrequest.Record); ok {
				record = len(rec.Data)
			}
		}
		finish(r, now, r.Step(now, csrequest.Recorded{ID: csrequest.RequestID(i + offset)}))
	})
	return []Slope{
		{Name: "idempotent request, arrival to reply", Nanoseconds: plain},
		{Name: "request with a key, issue to reply", Nanoseconds: keyed},
		{Name: "log record of a started key", Bytes: float64(record)},
	}
}

// finish answers the attempts of a request.
func finish(r *csrequest.Router, now time.Time, commands []csrequest.Command) {
	for _, command := range commands {
		if d, ok := command.(csrequest.Dispatch); ok {
			r.Step(now.Add(time.Microsecond), csrequest.AttemptAnswered{Attempt: d.Attempt, Answer: csrequest.Answer{Status: 200}})
		}
	}
}
