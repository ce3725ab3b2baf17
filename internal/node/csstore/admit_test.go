package csstore

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
)

// Guards against a refusal of a job that runs nevertheless (rule NOTRUN): its submission is on its way from an earlier leader, or in
// another call.
func TestJobThatMayBeAcceptedIsNotRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := newAdmission(prometheus.NewRegistry(), limits{})
	if a.begin(now, "a") {
		t.Error("got a refusable job before this store leads, want none")
	}
	a.end("a")
	a.lead(now)
	if a.begin(now.Add(jobTimeout), "a") {
		t.Error("got a refusable job while a call of an earlier leader may go on, want none")
	}
	a.end("a")
	later := now.Add(refusalGrace)
	if !a.begin(later, "a") {
		t.Error("got no refusable job, want one")
	}
	if a.begin(later, "a") {
		t.Error("got a refusable job that another call commits, want none")
	}
	a.end("a")
	if !a.begin(later, "b") {
		t.Error("got no refusable job beside another one, want one")
	}
	a.end("a")
	if !a.begin(later, "a") {
		t.Error("got no refusable job after the other call has ended, want one")
	}
}

// Guards against a log line per refusal in an overload.
func TestRefusalsAreLoggedOncePerPool(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	a := newAdmission(registry, limits{})
	for range 500 {
		a.record(zap.New(core), "p", "0123456789abcdef", csadmit.Decision{Reason: csadmit.TooLong})
		a.record(zap.New(core), "q", "0123456789abcdef", csadmit.Decision{Reason: csadmit.NoValue})
	}
	if got, want := lines.Len(), 2; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				counts[l.GetValue()] = m.GetCounter().GetValue()
			}
		}
	}
	if counts["backlog"] != 500 || counts["no_value"] != 500 || counts["memory"] != 0 {
		t.Errorf("got refusals %v, want 500 for the backlog, 500 without value and none for memory", counts)
	}
}
