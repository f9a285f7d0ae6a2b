package launcher

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueue is how many lines may wait for a slow standard output.
	logQueue = 1024
	// linesPerSecond bounds the lines of one kind and level; further ones are counted.
	linesPerSecond = 50
	// dropReportPeriod is how often lost lines are told.
	dropReportPeriod = 5 * time.Second
)

// Log writes JSON lines without ever making its callers wait: lines beyond a rate, or beyond what a slow output takes, are
// counted and left out.
type Log struct {
	queue   chan []byte
	out     io.Writer
	limited atomic.Int64
	lost    atomic.Int64
}

// NewLog returns a structured log on standard output.
func NewLog(verbose bool) (logr.Logger, error) {
	logger, _ := NewLogTo(os.Stdout, verbose)

	return logger, nil
}

// NewLogTo returns a structured log on a writer, which one goroutine uses alone.
func NewLogTo(out io.Writer, verbose bool) (logr.Logger, *Log) {
	l := &Log{queue: make(chan []byte, logQueue), out: out}

	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}

	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(l.sampled))
	logger := zapr.NewLogger(zap.New(sampled))

	go l.write(logger)

	return logger, l
}

func (l *Log) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.limited.Add(1)
	}
}

// Write queues a line; a full queue loses it.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.lost.Add(1)
	}

	return len(line), nil
}

// Sync does nothing, since lines are written as soon as the output takes them.
func (l *Log) Sync() error { return nil }

// Dropped returns how many lines were left out by their rate, and how many were lost by a slow output.
func (l *Log) Dropped() (limited, lost int64) { return l.limited.Load(), l.lost.Load() }

// write hands lines to the output and tells now and then how many were left out.
func (l *Log) write(logger logr.Logger) {
	t := time.NewTicker(dropReportPeriod)
	defer t.Stop()

	var told int64

	for {
		select {
		case line := <-l.queue:
			// There is no place to report that the log's own output fails.
			_, _ = l.out.Write(line)
		case <-t.C:
			limited, lost := l.Dropped()
			if limited+lost > told {
				told = limited + lost
				logger.Info("log lines dropped", "over_rate", limited, "output_too_slow", lost)
			}
		}
	}
}
