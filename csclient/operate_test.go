package csclient_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
	"cowslipstream.example/cowslipstream/csmodel"
)

func serve(t *testing.T, pattern string, h http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set(csapi.TypeHeader, csapi.JSONType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Guards against a lost response that makes the operator apply a second submission.
func TestApplyResend(t *testing.T) {
	var ids []csmodel.SubmissionID
	var tokens []string
	address := serve(t, csapi.SubmitRevision, func(w http.ResponseWriter, r *http.Request) {
		var s csapi.Submission
		_ = json.NewDecoder(r.Body).Decode(&s)
		ids = append(ids, s.ID)
		tokens = append(tokens, r.Header.Get(csapi.AuthorizationHeader))
		if len(ids) < 3 {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
			return
		}
		writeJSON(w, http.StatusCreated, csapi.Verdict{Result: csapi.Accepted, Revision: s.Base + 1})
	})
	c := csclient.New(csclient.Options{Nodes: []string{address}, Token: "t0ken", Backoff: noDelay})
	defer c.Close()
	got, err := c.Apply(t.Context(), csapi.Submission{Base: 4, Text: "pools: []"})
	if err != nil || got.Result != csapi.Accepted || got.Revision != 5 {
		t.Fatalf("got %+v, %v, want revision 5 accepted", got, err)
	}
	if len(ids) != 3 || ids[0] == "" || ids[0] != ids[2] || tokens[2] != "Bearer t0ken" {
		t.Errorf("got ids %v and tokens %v, want one id and the token three times", ids, tokens)
	}
}

// Guards against a conflict or an invalid configuration reported as a failure of the connection, and against a refused
// token that is retried.
func TestApplyVerdicts(t *testing.T) {
	tests := []struct {
		status int
		result csapi.SubmissionResult
	}{
		{http.StatusCreated, csapi.Accepted},
		{http.StatusConflict, csapi.Conflict},
		{http.StatusUnprocessableEntity, csapi.Invalid},
		{http.StatusUnauthorized, ""},
	}
	for _, tt := range tests {
		calls := 0
		address := serve(t, csapi.SubmitRevision, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			if tt.result == "" {
				w.Header().Set(csapi.TypeHeader, csapi.ProblemType)
				w.WriteHeader(tt.status)
				_ = json.NewEncoder(w).Encode(csapi.NewProblem(tt.status, csapi.Unauthorized, "unknown token"))
				return
			}
			writeJSON(w, tt.status, csapi.Verdict{Result: tt.result})
		})
		c := csclient.New(csclient.Options{Nodes: []string{address}, Backoff: noDelay})
		got, err := c.Apply(t.Context(), csapi.Submission{Text: "pools: []"})
		if got.Result != tt.result || calls != 1 {
			t.Errorf("status %d: got %q after %d calls, want %q after 1", tt.status, got.Result, calls, tt.result)
		}
		if (tt.result == "") != csclient.IsProblem(err, tt.status) {
			t.Errorf("status %d: got error %v", tt.status, err)
		}
		c.Close()
	}
}

// Guards against an apply --wait that ends before the last reachable node has the revision.
func TestAwait(t *testing.T) {
	polls := 0
	address := serve(t, csapi.ReadRevision, func(w http.ResponseWriter, _ *http.Request) {
		polls++
		r := csapi.Revision{Revision: 7, Active: []csmodel.NodeID{"a"}, Unreachable: []csmodel.NodeID{"c"}}
		if polls < 3 {
			r.Pending = []csmodel.NodeID{"b"}
		}
		writeJSON(w, http.StatusOK, r)
	})
	clock := clockwork.NewFakeClock()
	c := csclient.New(csclient.Options{Nodes: []string{address}, Clock: clock})
	defer c.Close()
	go func() {
		for range 2 {
			_ = clock.BlockUntilContext(t.Context(), 1)
			clock.Advance(time.Second)
		}
	}()
	got, err := c.Await(t.Context(), 7)
	if err != nil || polls != 3 || len(got.Pending) != 0 || len(got.Unreachable) != 1 {
		t.Errorf("got %+v, %v after %d polls, want unreachable c after 3", got, err, polls)
	}
}

// Guards against a task that is accepted twice, or reported as not run after a response was lost.
func TestSubmit(t *testing.T) {
	tests := []struct {
		name   string
		lost   int
		status int
		want   error
	}{
		{"accepted", 0, http.StatusAccepted, nil},
		{"accepted after lost responses", 2, http.StatusAccepted, nil},
		{"refused", 0, http.StatusBadRequest, csclient.ErrNotRun},
		{"refused after a lost response", 1, http.StatusBadRequest, csclient.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ids := csmodel.NewSet[string]()
			calls := 0
			address := serve(t, csapi.SubmitTask, func(w http.ResponseWriter, r *http.Request) {
				calls++
				id := r.Header.Get(csapi.KeyHeader)
				ids.Add(id)
				if calls <= tt.lost {
					conn, _, _ := w.(http.Hijacker).Hijack()
					conn.Close()
					return
				}
				outcome := csapi.Answer
				if tt.status != http.StatusAccepted {
					outcome = csapi.NotRun
				}
				w.Header().Set(csapi.OutcomeHeader, string(outcome))
				writeJSON(w, tt.status, csapi.Task{ID: csmodel.TaskID(id), State: csapi.Waiting})
			})
			c := csclient.New(csclient.Options{Nodes: []string{address}, Backoff: noDelay})
			defer c.Close()
			got, err := c.Submit(t.Context(), csclient.Task{Job: "study", Deadline: time.Unix(1, 0)})
			if !errors.Is(err, tt.want) || len(ids) != 1 || !ids.Has(string(got.ID)) {
				t.Errorf("got %+v, %v with ids %v, want %v with one id", got, err, ids, tt.want)
			}
		})
	}
}
