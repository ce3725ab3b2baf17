package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csmeasure"
)

// Guards against exit statuses that a script takes for another result.
func TestExitStatus(t *testing.T) {
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitDone},
		{[]string{"policies", "--help"}, exitDone},
		{nil, exitUsage},
		{[]string{"explode"}, exitUsage},
		{[]string{"policies", "--profile", "moon"}, exitUsage},
		{[]string{"policies", "--compare", "absent.json"}, exitFailure},
		{[]string{"slopes", "--compare", "absent.json"}, exitFailure},
	}
	for _, tt := range tests {
		var out, errs bytes.Buffer
		if got := run(tt.args, &out, &errs); got != tt.want {
			t.Errorf("%v: got %d, want %d: %s", tt.args, got, tt.want, errs.String())
		}
	}
}

// Guards against a comparison with the row of another policy or of a run with other faults.
func TestCompare(t *testing.T) {
	row := func(p csmeasure.PolicyName, faults bool, mean float64) csmeasure.Row {
		return csmeasure.Row{Profile: "p", Faults: faults, Policy: p, Figures: map[string]csmeasure.Figure{"p50": {Mean: mean}}}
	}
	name := filepath.Join(t.TempDir(), "figures.json")
	saved := []csmeasure.Row{row("a", false, 1), row("b", true, 2), row("b", false, 3)}
	if err := writeJSON(name, saved); err != nil {
		t.Fatal(err)
	}
	var before []csmeasure.Row
	if err := readJSON(name, &before); err != nil {
		t.Fatal(err)
	}
	if got := cell(row("b", false, 5), "p50", before); !strings.HasSuffix(got, " +2") {
		t.Errorf("got %q, want a change of +2", got)
	}
	if got := cell(row("c", false, 5), "p50", before); strings.Contains(got, "+") {
		t.Errorf("got %q, want no change", got)
	}
}
