package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with the seconds since the start of the traffic.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &recorder{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// begin sets the time zero of the record.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.start = time.Now()
}

func (r *recorder) seconds(at time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return at.Sub(r.start).Seconds()
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// note writes a line to the record and to standard output.
func (r *recorder) note(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.out.Flush()
	r.file.Close()
}
