package csclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cowslipstream.example/cowslipstream/csapi"
	"cowslipstream.example/cowslipstream/csclient"
)

// action is what the fake node does with one attempt.
type action string

const (
	answers       action = "answers"
	refuses       action = "refuses"
	refusesInput  action = "refuses input"
	isUnsure      action = "is unsure"
	resetsBefore  action = "resets before it runs"
	resetsAfter   action = "resets after it runs"
	truncates     action = "truncates"
	mixesBodies   action = "mixes bodies"
	mixesKeys     action = "mixes keys"
	omitsDigest   action = "omits the digest"
	omitsLength   action = "omits the length"
	omitsOutcome  action = "omits the outcome"
	targetRefuses action = "target answers 503"
)

var actions = []action{
	answers, refuses, refusesInput, isUnsure, resetsBefore, resetsAfter, truncates, mixesBodies, mixesKeys, omitsDigest,
	omitsLength, omitsOutcome, targetRefuses,
}

// fakeNode follows a script of actions, then answers. It runs each key once.
type fakeNode struct {
	*httptest.Server
	mu       sync.Mutex
	script   []action
	runs     map[string]int
	keys     []string
	issued   int
	fetches  int
	received chan struct{}
}

func newFakeNode(t interface{ Cleanup(func()) }, script ...action) *fakeNode {
	f := &fakeNode{script: script, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc(csapi.IssueKeys, f.issueKeys)
	mux.HandleFunc(csapi.SendRequest, f.serve)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeNode) address() string { return f.Listener.Addr().String() }

func (f *fakeNode) issueKeys(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, _ := strconv.Atoi(r.FormValue(csapi.CountParameter))
	keys := csapi.Keys{}
	for range count {
		f.issued++
		keys = append(keys, csapi.Key("key-"+strconv.Itoa(f.issued)))
	}
	f.fetches++
	_ = json.NewEncoder(w).Encode(keys)
}

func (f *fakeNode) serve(w http.ResponseWriter, r *http.Request) {
	// The server notices a closed connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received != nil {
		close(f.received)
		<-r.Context().Done()
		return
	}
	next := answers
	if len(f.script) > 0 {
		next, f.script = f.script[0], f.script[1:]
	}
	key := r.Header.Get(csapi.KeyHeader)
	f.keys = append(f.keys, key)
	switch next {
	case refuses, refusesInput, isUnsure, resetsBefore:
	default: // every other action runs the request
		if key == "" || f.runs[key] == 0 {
			f.runs[key]++
		}
	}
	f.respond(w, next, key)
}

const (
	ownBody   = "the answer to this request"
	otherBody = "the answer to some request"
)

func (f *fakeNode) respond(w http.ResponseWriter, next action, key string) {
	h := w.Header()
	h.Set(csapi.OutcomeHeader, string(csapi.Answer))
	h.Set(csapi.DigestHeader, csapi.Digest([]byte(ownBody)))
	h.Set(csapi.KeyHeader, key)
	status, body := http.StatusOK, ownBody
	switch next {
	case answers:
	case refuses:
		h.Set(csapi.OutcomeHeader, string(csapi.NotRun))
		status = http.StatusServiceUnavailable
	case refusesInput:
		h.Set(csapi.OutcomeHeader, string(csapi.NotRun))
		status = http.StatusBadRequest
	case isUnsure:
		h.Set(csapi.OutcomeHeader, string(csapi.Unknown))
		status = http.StatusGatewayTimeout
	case resetsBefore, resetsAfter:
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	case truncates:
		h.Set("Content-Length", strconv.Itoa(len(ownBody)))
		body = ownBody[:10]
	case mixesBodies:
		body = otherBody
	case mixesKeys:
		h.Set(csapi.KeyHeader, "key-of-another-request")
	case omitsDigest:
		h.Del(csapi.DigestHeader)
	case omitsLength:
		w.WriteHeader(status)
		_ = http.NewResponseController(w).Flush()
		_, _ = w.Write([]byte(body))
		return
	case omitsOutcome:
		h.Del(csapi.OutcomeHeader)
	case targetRefuses:
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

func noDelay() backoff.BackOff { return &backoff.ZeroBackOff{} }

func once() backoff.BackOff { return &backoff.StopBackOff{} }

// Guards against a response that is taken for another outcome than it has, or for the answer where it is cut off,
// altered or belongs to another request.
func TestRequestOutcomes(t *testing.T) {
	tests := []struct {
		action action
		want   error
		status int
	}{
		{answers, nil, http.StatusOK},
		{targetRefuses, nil, http.StatusServiceUnavailable},
		{refuses, csclient.ErrNotRun, 0},
		{refusesInput, csclient.ErrNotRun, 0},
		{isUnsure, csclient.ErrUnknown, 0},
		{resetsBefore, csclient.ErrUnknown, 0},
		{resetsAfter, csclient.ErrUnknown, 0},
		{truncates, csclient.ErrUnknown, 0},
		{mixesBodies, csclient.ErrUnknown, 0},
		{mixesKeys, csclient.ErrUnknown, 0},
		{omitsDigest, csclient.ErrUnknown, 0},
		{omitsLength, csclient.ErrUnknown, 0},
		{omitsOutcome, csclient.ErrUnknown, 0},
	}
	for _, tt := range tests {
		t.Run(string(tt.action), func(t *testing.T) {
			node := newFakeNode(t, tt.action)
			c := csclient.New(csclient.Options{Nodes: []string{node.address()}, Team: "desk", Backoff: once})
			defer c.Close()
			got, err := c.Request(t.Context(), csclient.Request{Job: "quote"})
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if tt.want == nil && (got.Status != tt.status || string(got.Body) != ownBody) {
				t.Errorf("got %d %q, want %d %q", got.Status, got.Body, tt.status, ownBody)
			}
		})
	}
}

// Guards against not-run reported for a request that ran, a second run of a keyed request and a foreign answer, under
// every sequence of faults at two nodes.
func TestRequestRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(actions), 0, 6).Draw(rt, "script")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		node := newFakeNode(rt, script...)
		c := csclient.New(csclient.Options{Nodes: []string{node.address(), node.address()}, Backoff: noDelay})
		defer c.Close()
		got, err := c.Request(context.Background(), csclient.Request{Job: "quote", Idempotent: idempotent})
		node.mu.Lock()
		defer node.mu.Unlock()
		runs := 0
		for _, n := range node.runs {
			runs += n
		}
		switch {
		case err == nil && string(got.Body) != ownBody:
			rt.Fatalf("got foreign answer %q", got.Body)
		case err == nil && runs == 0:
			rt.Fatalf("got an answer without a run")
		case errors.Is(err, csclient.ErrNotRun) && runs > 0:
			rt.Fatalf("got %v, but it ran", err)
		case !idempotent && (runs > 1 || len(node.runs) > 1):
			rt.Fatalf("ran %d times with keys %v", runs, node.keys)
		case err != nil && !errors.Is(err, csclient.ErrNotRun) && !errors.Is(err, csclient.ErrUnknown):
			rt.Fatalf("got %v without an outcome", err)
		}
	})
}

// Guards against a hang, or a wrong outcome, where a node accepts a request and never responds.
func TestRequestSilence(t *testing.T) {
	node := newFakeNode(t)
	node.received = make(chan struct{})
	c := csclient.New(csclient.Options{Nodes: []string{node.address()}})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-node.received
		cancel()
	}()
	_, err := c.Request(ctx, csclient.Request{Job: "quote", Idempotent: true})
	if !errors.Is(err, csclient.ErrUnknown) {
		t.Errorf("got %v, want %v", err, csclient.ErrUnknown)
	}
}

// Guards against an unknown outcome for a request that was never sent.
func TestRequestEnded(t *testing.T) {
	node := newFakeNode(t)
	c := csclient.New(csclient.Options{Nodes: []string{node.address()}})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, idempotent := range []bool{false, true} {
		_, err := c.Request(ctx, csclient.Request{Job: "quote", Idempotent: idempotent})
		if !errors.Is(err, csclient.ErrNotRun) || !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, csclient.ErrNotRun)
		}
	}
}

// Guards against a dead node in the list that fails requests while another node serves.
func TestRequestDeadNode(t *testing.T) {
	dead := newFakeNode(t)
	dead.Close()
	node := newFakeNode(t)
	c := csclient.New(csclient.Options{Nodes: []string{dead.address(), node.address()}, Backoff: noDelay})
	defer c.Close()
	for range 4 {
		if _, err := c.Request(t.Context(), csclient.Request{Job: "quote"}); err != nil {
			t.Fatalf("got %v, want an answer of the other node", err)
		}
	}
	c = csclient.New(csclient.Options{Nodes: []string{dead.address()}, Backoff: once})
	if _, err := c.Request(t.Context(), csclient.Request{Job: "quote", Idempotent: true}); !errors.Is(err, csclient.ErrNotRun) {
		t.Errorf("got %v, want %v", err, csclient.ErrNotRun)
	}
}

// Guards against sleeping through the deadline of a caller who could still act on the refusal.
func TestRequestRetryAfterBeyondDeadline(t *testing.T) {
	h := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(csapi.OutcomeHeader, string(csapi.NotRun))
		w.Header().Set(csapi.RetryHeader, "7200")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	node := httptest.NewServer(http.HandlerFunc(h))
	defer node.Close()
	c := csclient.New(csclient.Options{Nodes: []string{node.Listener.Addr().String()}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	_, err := c.Request(ctx, csclient.Request{Job: "quote", Idempotent: true})
	var refused *csclient.NotRunError
	if !errors.As(err, &refused) || refused.RetryAfter != 2*time.Hour {
		t.Errorf("got %v, want not run with a delay of 2h", err)
	}
}

// Guards against a key that two requests share, one call per key, and keys kept until nodes refuse them.
func TestKeyBatches(t *testing.T) {
	node := newFakeNode(t)
	clock := clockwork.NewFakeClock()
	c := csclient.New(csclient.Options{Nodes: []string{node.address()}, Batch: 10, Clock: clock})
	defer c.Close()
	var group sync.WaitGroup
	for range 95 {
		group.Go(func() {
			if _, err := c.Request(t.Context(), csclient.Request{Job: "quote"}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if len(node.runs) != 95 || node.fetches != 10 {
		t.Errorf("got %d keys in %d batches, want 95 in 10", len(node.runs), node.fetches)
	}
	clock.Advance(13 * time.Hour)
	if _, err := c.Request(t.Context(), csclient.Request{Job: "quote"}); err != nil {
		t.Fatal(err)
	}
	if node.fetches != 11 {
		t.Errorf("got %d batches after 13 h, want 11", node.fetches)
	}
}
