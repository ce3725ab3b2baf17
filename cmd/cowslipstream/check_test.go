package main

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs one command line in-process.
func execute(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	status = run(t.Context(), args, strings.NewReader(""), &out, &errs)
	return status, out.String(), errs.String()
}

// Guards against faults that are missed, reported at another place, or reported with advice that does not help.
func TestCheckFaults(t *testing.T) {
	const indentation = "check indentation, quotes and brackets at this line and the one before"
	const addresses = "write the IP address of entry-b rather than its name"
	tests := []struct {
		file         string
		line, column int
		fix          string
	}{
		{"anchor", 1, 8, "write the value out"},
		{"budget-above-size", 5, 11, "set budget to 10 or less"},
		{"cores", 11, 8, "write cores: 2.5"},
		{"days", 10, 11, "write hours: 1008h"},
		{"duplicate-address", 14, 51, "give each its own address or port"},
		{"duplicate-field", 6, 3, "remove one of the two"},
		{"duplicate-name", 6, 9, "rename or remove one of the two"},
		{"duration-unit", 10, 12, "add a unit: 2s for seconds"},
		{"empty", 1, 1, "write at least one field"},
		{"even-voters", 13, 27, "set voter: true on 1, 3 or 5 nodes of the region"},
		{"foreign-node", 2, 7, "write entry-a"},
		{"host-name", 14, 51, addresses},
		{"level", 8, 6, "write one of debug, info, warn, error"},
		{"memory-unit", 11, 11, "write 16GiB"},
		{"memory", 7, 9, "write an amount in this range, for example 32MiB"},
		{"misspelt-secret", 6, 1, "write secret"},
		{"negative-size", 4, 9, "set size to 0 or more"},
		{"nested", 1, 24, "use at most 16 levels"},
		{"no-folder", 1, 1, "add folder, or remove voter and global from the node"},
		{"no-runtime", 7, 3, "add runtime, for example 10m"},
		{"no-timeout", 7, 3, "add timeout, for example 2s"},
		{"number-name", 2, 9, "put the value in quotes"},
		{"open-quote", 13, 52, indentation},
		{"other-zone", 4, 7, "write the same availability zone in both places"},
		{"secret-list", 6, 9, "write a text"},
		{"share", 8, 10, "set share to 1 or more"},
		{"short-secret", 6, 9, "use 32 or more random characters, the same on every node"},
		{"spare-budget", 10, 11, "set budget to 1 or more"},
		{"syntax", 4, 3, indentation},
		{"tab", 3, 1, "indent with spaces rather than tabs"},
		{"time", 9, 10, "write RFC 3339, for example 2026-03-01T04:00:00Z"},
		{"token-text", 9, 9, `start each entry with "- "`},
		{"two-documents", 7, 1, "remove the --- line"},
		{"unknown-class", 9, 10, "write urgent"},
		{"unknown-field", 5, 3, "write budget"},
		{"unknown-pool", 8, 9, "write web"},
		{"unknown-region", 3, 11, "write north"},
		{"unknown-zone", 6, 14, "its availability zones are a, b, c"},
		{"wave-budget", 8, 11, "set the budget of pool web to 1 or more, or remove it from the wave"},
		{"wave-period", 10, 11, "set period to 25m or more, or raise parallel and the budgets"},
		{"wrong-type", 4, 9, "write decimal digits without quotes or unit"},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			args := []string{"check", "--json", filepath.Join("testdata", tt.file+".yaml")}
			if strings.HasPrefix(tt.file, "unknown-region") || strings.HasPrefix(tt.file, "unknown-zone") {
				args = append(args, "--settings", filepath.Join("testdata", "valid-settings.yaml"))
			}
			status, stdout, _ := execute(t, args...)
			var got checkReport
			if err := json.Unmarshal([]byte(stdout), &got); err != nil {
				t.Fatal(err)
			}
			if status != exitUsage || got.Valid || len(got.Faults) != 1 {
				t.Fatalf("got exit %d and %+v, want exit %d and one fault", status, got, exitUsage)
			}
			fault := got.Faults[0]
			if fault.Line != tt.line || fault.Column != tt.column || fault.Fix != tt.fix {
				t.Errorf("got %d:%d %q, want %d:%d %q", fault.Line, fault.Column, fault.Fix, tt.line, tt.column, tt.fix)
			}
		})
	}
}

// Guards against a valid file that is refused, and against settings checked as a configuration.
func TestCheckValid(t *testing.T) {
	for _, kind := range []fileKind{settingsFile, configurationFile} {
		status, stdout, stderr := execute(t, "check", filepath.Join("testdata", "valid-"+string(kind)+".yaml"))
		if status != exitDone || !strings.HasSuffix(stdout, "valid "+string(kind)+"\n") {
			t.Errorf("%s: got exit %d, %q, %q", kind, status, stdout, stderr)
		}
	}
}

// Guards against secrets in the output. Every secret in the test files but the valid ones is hunter2.
func TestCheckHidesSecrets(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files, %v", len(files), err)
	}
	for _, file := range files {
		for _, args := range [][]string{{"check", file}, {"check", "--json", file}, {"serve", "--settings", file}} {
			_, stdout, stderr := execute(t, args...)
			if strings.Contains(stdout+stderr, "hunter2") || strings.Contains(stdout+stderr, "0123456789abcdef") {
				t.Errorf("%v: the output holds a secret:\n%s%s", args, stdout, stderr)
			}
		}
	}
}
