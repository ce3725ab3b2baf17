package csrpc_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/node/csrpc"
)

// wire hands messages of one caller to another one.
type wire struct {
	self csmodel.NodeID
	to   *csrpc.Caller
	lose bool
}

func (w *wire) Send(_ csmodel.NodeID, _ cslink.Channel, kind cslink.Kind, payload []byte, _ string) error {
	if w.lose {
		return nil
	}
	go func() { _, _ = w.to.Receive(w.self, kind, payload) }()
	return nil
}

func (w *wire) Withdraw(csmodel.NodeID, cslink.Channel, string) {}

func pair(h csrpc.Handler) (caller *csrpc.Caller, there, back *wire) {
	there, back = &wire{self: "caller"}, &wire{self: "server"}
	caller = csrpc.New(there, nil)
	there.to, back.to = csrpc.New(back, h), caller
	return caller, there, back
}

func TestCall(t *testing.T) {
	echo := func(_ csmodel.NodeID, m csrpc.Method, b []byte) []byte { return append([]byte{byte(m)}, b...) }
	cases := []struct {
		name       string
		up         bool
		loseCall   bool
		loseAnswer bool
		want       error
	}{
		{"answered", true, false, false, nil},
		{"not connected", false, false, false, csrpc.ErrUnsent},
		{"call lost", true, true, false, csrpc.ErrNoAnswer},
		{"answer lost", true, false, true, csrpc.ErrNoAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caller, there, back := pair(echo)
			there.lose, back.lose = c.loseCall, c.loseAnswer
			if c.up {
				caller.Up("server")
			}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			got, err := caller.Call(ctx, "server", csrpc.MethodJob, []byte("x"))
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if err == nil && string(got) != "\x01x" {
				t.Errorf("got answer %q", got)
			}
		})
	}
}

func TestMessages(t *testing.T) {
	want := csrpc.JobRequest{
		Action: csrpc.ActionSubmit, Host: "h", Path: "/p/1", Size: 9,
		Job: &csjob.Submission{Spec: "s", First: time.Unix(5, 6000).UTC(), Repeats: 2, Steps: []csjob.Step{{Tasks: 3, After: []int{0}}}},
	}
	got, err := csrpc.Decode[csrpc.JobRequest](csrpc.Encode(want))
	if err != nil {
		t.Fatal(err)
	}
	if !got.Job.First.Equal(want.Job.First) || got.Job.Steps[0].Tasks != 3 || got.Path != want.Path || got.Job.Repeats != 2 {
		t.Errorf("got %+v, want %+v", got.Job, want.Job)
	}
	if _, err := csrpc.Decode[csrpc.JobRequest]([]byte("x")); !errors.Is(err, csrpc.ErrCodec) {
		t.Errorf("got error %v, want %v", err, csrpc.ErrCodec)
	}
}

// Pattern: the peer's connection is lost while calls wait for their answers. They end at once, so that they can be sent to
// another peer.
func TestCallsEndWithTheConnection(t *testing.T) {
	caller, there, _ := pair(func(csmodel.NodeID, csrpc.Method, []byte) []byte { return nil })
	there.lose = true
	caller.Up("server")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := caller.Call(ctx, "server", csrpc.MethodJob, nil)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	caller.Down("server")
	select {
	case err := <-ended:
		if !errors.Is(err, csrpc.ErrNoAnswer) {
			t.Errorf("got error %v, want %v", err, csrpc.ErrNoAnswer)
		}
	case <-time.After(2 * time.Second):
		t.Error("the call still waits")
	}
}

// recorder keeps the messages of a caller, and the keys of those that are queued.
type recorder struct {
	payloads [][]byte
	queued   csmodel.Set[string]
}

func (r *recorder) Send(_ csmodel.NodeID, _ cslink.Channel, _ cslink.Kind, payload []byte, key string) error {
	r.payloads = append(r.payloads, payload)
	if r.queued == nil {
		r.queued = csmodel.NewSet[string]()
	}
	r.queued.Add(key)
	return nil
}

func (r *recorder) Withdraw(_ csmodel.NodeID, _ cslink.Channel, key string) { r.queued.Delete(key) }

// Guards against calls that are carried out when nobody waits for them any more: the link delivers what it has queued on its next connection.
func TestCallWithoutAnswerIsWithdrawn(t *testing.T) {
	cases := []struct {
		name string
		down bool // the connection is lost before the caller gives up
	}{
		{"caller gives up", false},
		{"connection lost", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := &recorder{}
			caller := csrpc.New(sent, nil)
			caller.Up("server")
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if c.down {
				time.AfterFunc(20*time.Millisecond, func() { caller.Down("server") })
			}
			if _, err := caller.Call(ctx, "server", csrpc.MethodJob, []byte("x")); !errors.Is(err, csrpc.ErrNoAnswer) {
				t.Errorf("got error %v, want %v", err, csrpc.ErrNoAnswer)
			}
			if len(sent.payloads) != 1 || len(sent.queued) != 0 {
				t.Errorf("got %d messages sent and %d queued, want 1 and 0", len(sent.payloads), len(sent.queued))
			}
		})
	}
}

// Guards against an answer to an earlier process that ends a call of the process that has followed it at its address.
func TestAnswerToEarlierProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	sent := &recorder{}
	earlier := csrpc.New(sent, nil)
	earlier.Up("server")
	_, _ = earlier.Call(ctx, "server", csrpc.MethodJob, []byte("x"))
	answer := sent.payloads[0] // an answer has the number and the form of its call
	c := csrpc.New(&recorder{}, nil)
	c.Up("server")
	ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	time.AfterFunc(20*time.Millisecond, func() { _, _ = c.Receive("server", csrpc.KindAnswer, answer) })
	if got, err := c.Call(ctx, "server", csrpc.MethodJob, []byte("y")); !errors.Is(err, csrpc.ErrNoAnswer) {
		t.Errorf("got answer %q and error %v, want %v", got, err, csrpc.ErrNoAnswer)
	}
}

// Pattern: clients at many entries send more requests than a leader can answer, for example because it waits for a quorum. Guards against
// messages of the group that wait behind a call of a store, which waits for the requests, so that the leader is lost.
func TestCallsOfStoresPassThoseOfEntries(t *testing.T) {
	const calls = 1024
	full, answered, release := make(chan struct{}, calls), make(chan struct{}), make(chan struct{})
	server := csrpc.New(&wire{lose: true}, func(from csmodel.NodeID, _ csrpc.Method, _ []byte) []byte {
		if !csrpc.IsEntry(from) {
			close(answered)
			return nil
		}
		full <- struct{}{}
		<-release
		return nil
	})
	defer close(release)
	sent := &recorder{}
	caller := csrpc.New(sent, nil)
	caller.Up("server")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = caller.Call(ctx, "server", csrpc.MethodJob, []byte("x"))
	for i := range calls {
		_, _ = server.Receive(csrpc.EntryNode(strconv.Itoa(i%10)), csrpc.KindCall, sent.payloads[0])
	}
	for range calls {
		<-full
	}
	go func() { _, _ = server.Receive(csrpc.StoreNode("1"), csrpc.KindCall, sent.payloads[0]) }()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Errorf("got no answer for a store beside %d calls of entries, want one", calls)
	}
}
