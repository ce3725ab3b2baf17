// Package cslog makes the logger of the program: one key=value line for each event.
package cslog

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events from a level (debug, info, warn or error) upwards. Structs and maps are not
// logged, because the fields of a struct could hold a secret.
func New(level string, out io.Writer) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "part",
		MessageKey:     "event",
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), lowest)
	return zap.New(core), nil
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format(timeFormat))
}

// noStack is above every level, so that errors of libraries stay on one short line.
const noStack = slog.Level(math.MaxInt32)

// Slog returns a logger for libraries that use log/slog. It writes to the same output.
func Slog(l *zap.Logger) *slog.Logger {
	return slog.New(zapslog.NewHandler(l.Core(), zapslog.AddStacktraceAt(noStack)))
}

// Actors is the option that makes an actor system log to a logger.
func Actors(l *zap.Logger) actor.ConfigOption {
	logger := Slog(l)
	return actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger })
}
