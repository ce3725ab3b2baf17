package cslog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslog"
)

// Guards against events that spread over several lines, durations without unit and secrets in the log.
func TestOneLine(t *testing.T) {
	var out bytes.Buffer
	l, err := cslog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	failed := trace.Wrap(errors.New("disk full"), "append\nto log")
	const secret = cslog.Secret("hunter2")
	tests := []struct {
		log  func()
		want string
	}{
		{func() { l.Info("started", zap.Duration("took", 1500*time.Millisecond)) }, "took=1.5s"},
		{func() { l.Error("failed", zap.Error(failed)) }, `error="append\nto log`},
		{func() { l.Info("joined", zap.Any("secret", secret), zap.Stringer("again", secret)) }, "secret=[redacted] again=[redacted]"},
		{func() { cslog.Slog(l).Error("child failed", "error", failed, "secret", secret) }, `level=error event="child failed"`},
	}
	for _, tt := range tests {
		out.Reset()
		tt.log()
		got := out.String()
		if strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n") || !strings.Contains(got, tt.want) {
			t.Errorf("got %q, want one line with %q", got, tt.want)
		}
		if strings.Contains(got, "hunter2") {
			t.Errorf("got %q with a secret", got)
		}
		stamp, _, _ := strings.Cut(strings.TrimPrefix(got, "time="), " ")
		if _, err := time.Parse(time.RFC3339, stamp); err != nil {
			t.Errorf("got time %q: %v", stamp, err)
		}
	}
}

// Guards against debug events at a higher level, and against a level that is silently ignored.
func TestLevel(t *testing.T) {
	var out bytes.Buffer
	l, _ := cslog.New("warn", &out)
	l.Info("routine")
	cslog.Slog(l).Info("routine")
	if out.Len() > 0 {
		t.Errorf("got %q below the level", out.String())
	}
	if _, err := cslog.New("verbose", &out); err == nil {
		t.Error("got no error for an unknown level")
	}
}

// Guards against a formatting verb or an encoding that prints the value of a secret.
func TestSecret(t *testing.T) {
	value := struct{ Token cslog.Secret }{"hunter2"}
	encoded, _ := json.Marshal(value)
	for _, got := range []string{fmt.Sprintf("%v %+v %#v %s %q %x", value, value, value, value, value, value), string(encoded)} {
		if strings.Contains(got, "hunter2") || strings.Contains(got, fmt.Sprintf("%x", "hunter2")) {
			t.Errorf("got %q with the secret", got)
		}
	}
}

// Guards against an actor system that writes its own format to standard error.
func TestActors(t *testing.T) {
	var out bytes.Buffer
	l, _ := cslog.New("debug", &out)
	system := actor.NewActorSystem(cslog.Actors(l))
	system.Logger().Info("ready", "kind", "root")
	system.Shutdown()
	if !strings.Contains(out.String(), "event=ready kind=root") {
		t.Errorf("got %q, want the event of the actor system", out.String())
	}
}
