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
	// logQueueLines is the number of lines that may wait for a slow standard output.
	logQueueLines = 1024
	// maxLinesPerSecond bounds the lines with the same message and level; lines above it are only counted.
	maxLinesPerSecond = 50
	// dropReportPeriod is how often dropped lines are reported.
	dropReportPeriod = 5 * time.Second
)

// Log writes JSON lines without blocking its callers: lines above a rate limit, or that a slow output has no room for, are dropped and counted.
type Log struct {
	queue   chan []byte
	out     io.Writer
	limited atomic.Int64
	lost    atomic.Int64
}

// NewLog returns a logger that writes JSON lines to standard output; verbose includes debug lines.
func NewLog(verbose bool) (logr.Logger, error) {
	logger, _ := NewLogTo(os.Stdout, verbose)

	return logger, nil
}

// NewLogTo returns a logger that writes JSON lines to a writer, and the Log that counts the dropped ones. Only the log's own goroutine uses the
// writer; it runs until the process ends.
func NewLogTo(out io.Writer, verbose bool) (logr.Logger, *Log) {
	l := &Log{queue: make(chan []byte, logQueueLines), out: out}

	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}

	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, zapcore.SamplerHook(l.sampled))
	logger := zapr.NewLogger(zap.New(sampled))

	go l.write(logger)

	return logger, l
}

func (l *Log) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.limited.Add(1)
	}
}

// Write queues a line, or drops it if the queue is full.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.lost.Add(1)
	}

	return len(line), nil
}

// Sync does nothing: lines are written as soon as the output accepts them.
func (l *Log) Sync() error { return nil }

// Dropped returns how many lines were dropped by the rate limit, and how many by a slow output.
func (l *Log) Dropped() (limited, lost int64) { return l.limited.Load(), l.lost.Load() }

// write writes queued lines to the output and reports dropped ones periodically.
func (l *Log) write(logger logr.Logger) {
	t := time.NewTicker(dropReportPeriod)
	defer t.Stop()

	var reported int64

	for {
		select {
		case line := <-l.queue:
			// The error is ignored: there is nowhere to report that the log's own output fails.
			_, _ = l.out.Write(line)
		case <-t.C:
			limited, lost := l.Dropped()
			if limited+lost > reported {
				reported = limited + lost
				logger.Info("log lines dropped", "over_rate", limited, "output_too_slow", lost)
			}
		}
	}
}
