package csnode

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cssettings"
)

// DrainLimit is the time that a planned stop waits for requests in flight.
const DrainLimit = 30 * time.Second

// Serve runs a node until the context ends, then drains and stops it.
func Serve(ctx context.Context, settings cssettings.Settings, log *zap.Logger) error {
	// net/http reports some faults of peers to the standard logger, with parts of their bytes.
	defer zap.RedirectStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel)))()
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(settings.Memory))
	}
	n, err := New(Options{Settings: settings, Log: log})
	if err != nil {
		return trace.Wrap(err)
	}
	defer n.Close()
	<-ctx.Done()
	log.Info("stop requested")
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), DrainLimit)
	defer cancel()
	return trace.Wrap(n.Drain(drain), "requests in flight after %s", DrainLimit)
}
