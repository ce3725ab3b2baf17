package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Guards against exit statuses that a script takes for another result.
func TestExitStatus(t *testing.T) {
	t.Setenv(tokenVariable, "")
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitDone},
		{[]string{"drain", "--help"}, exitDone},
		{[]string{"version"}, exitDone},
		{[]string{"version", "--json"}, exitDone},
		{nil, exitUsage},
		{[]string{"explode"}, exitUsage},
		{[]string{"check"}, exitUsage},
		{[]string{"check", "testdata/absent.yaml"}, exitUsage},
		{[]string{"status"}, exitUsage},
		{[]string{"status", "--node", "127.0.0.1:1"}, exitUsage},
		{[]string{"status", "--token", "t0ken", "--node", "127.0.0.1:1"}, exitUsage},
		{[]string{"drain", "--node", "127.0.0.1:1", "rack", "r1"}, exitUsage},
		{[]string{"wave", "--node", "127.0.0.1:1", "stop", "kernel"}, exitUsage},
		{[]string{"submit", "--node", "127.0.0.1:1", "--team", "lab", "study", "testdata/empty.yaml"}, exitUsage},
		{[]string{"serve", "--settings", "testdata/short-secret.yaml"}, exitUsage},
	}
	for _, tt := range tests {
		if got, _, stderr := execute(t, tt.args...); got != tt.want {
			t.Errorf("%v: got %d (%s), want %d", tt.args, got, stderr, tt.want)
		}
	}
}

// Guards against an apply that succeeds without its revision being active on every node, and a token in the output.
func TestApply(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		verdict     csapi.Verdict
		unreachable []csmodel.NodeID
		want        int
		output      string
	}{
		{"accepted", http.StatusCreated, csapi.Verdict{Result: csapi.Accepted, Revision: 4}, nil, exitDone, "revision 4 accepted\nactive on 1 nodes"},
		{"unreachable", http.StatusCreated, csapi.Verdict{Result: csapi.Accepted, Revision: 4}, []csmodel.NodeID{"b"}, exitFailure, "unreachable: b"},
		{"conflict", http.StatusConflict, csapi.Verdict{Result: csapi.Conflict, Revision: 4, Winner: &csapi.Winner{Operator: "ines"}}, nil, exitFailure, "of ines won"},
		{"invalid", http.StatusUnprocessableEntity, csapi.Verdict{Result: csapi.Invalid, Faults: []csapi.Fault{{Line: 3, Column: 11, Reason: "no such region"}}}, nil, exitUsage, ":3:11: no such region"},
	}
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t0ken-of-ines\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc(csapi.ReadRevision, func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(csapi.Revision{Revision: 3, Active: []csmodel.NodeID{"a"}, Unreachable: tt.unreachable})
			})
			mux.HandleFunc(csapi.SubmitRevision, func(w http.ResponseWriter, r *http.Request) {
				var s csapi.Submission
				if err := json.NewDecoder(r.Body).Decode(&s); err != nil || s.Base != 3 || r.Header.Get("Authorization") != "Bearer t0ken-of-ines" {
					t.Errorf("got submission %+v with token %q, %v", s, r.Header.Get("Authorization"), err)
				}
				w.Header().Set(csapi.TypeHeader, csapi.JSONType)
				w.WriteHeader(tt.status)
				_ = json.NewEncoder(w).Encode(tt.verdict)
			})
			node := httptest.NewServer(mux)
			defer node.Close()
			got, stdout, stderr := execute(t, "apply", "--node", node.Listener.Addr().String(), "--token-file", token, "--wait",
				"testdata/valid-configuration.yaml")
			if got != tt.want || !strings.Contains(stdout+stderr, tt.output) {
				t.Errorf("got exit %d with %q, want exit %d with %q", got, stdout+stderr, tt.want, tt.output)
			}
			if strings.Contains(stdout+stderr, "t0ken") {
				t.Error("the output holds the token")
			}
		})
	}
}
