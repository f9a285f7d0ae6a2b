package soak_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
)

// process is a controller or node that runs as a separate operating system process, with its settings file and its proxy.
type process struct {
	name    string
	program string
	folder  string
	values  map[string]any
	proxy   *proxy

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	err     error
	// starts counts the starts. Checks use it to avoid comparing the state of one start with that of the next.
	starts int
	// disturbances are the times of signals and starts.
	disturbances []time.Time
	// killed is set once SIGKILL has been sent since the last start.
	killed bool
	// logBytes is the size of the log at the last start.
	logBytes int64
}

// newProcess writes the settings file of a program.
func newProcess(name, program, folder string, settings map[string]any) (*process, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, err
	}

	p := &process{name: name, program: program, folder: folder, values: settings}

	return p, os.WriteFile(p.settings(), data, 0o600)
}

// removeSetting removes a key from the settings file.
func (p *process) removeSetting(key string) error {
	delete(p.values, key)

	data, err := yaml.Marshal(p.values)
	if err != nil {
		return err
	}

	return os.WriteFile(p.settings(), data, 0o600)
}

func (p *process) settings() string { return filepath.Join(p.folder, p.name+".yaml") }

func (p *process) log() string { return filepath.Join(p.folder, p.name+".log") }

// start runs the program unless it runs already. Its output is appended to the log of earlier starts.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command != nil {
		return nil
	}

	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	info, err := log.Stat()
	if err != nil {
		return errors.Join(err, log.Close())
	}

	command := exec.Command(p.program, "run", "--settings", p.settings())
	command.Dir = p.folder
	command.Stdout, command.Stderr = log, log

	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}

	ended := make(chan struct{})
	p.command, p.ended = command, ended
	p.killed, p.logBytes = false, info.Size()
	p.starts++
	p.disturbances = append(p.disturbances, time.Now())

	go func() {
		err := errors.Join(command.Wait(), log.Close())

		p.mu.Lock()
		p.err = err
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()

	return nil
}

// signal sends a signal if the process runs, and returns a channel that is closed when the process has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command == nil {
		closed := make(chan struct{})
		close(closed)

		return closed
	}

	p.killed = p.killed || s == syscall.SIGKILL
	p.disturbances = append(p.disturbances, time.Now())

	// The process may have exited in the meantime.
	_ = p.command.Process.Signal(s)

	return p.ended
}

// disturbedBefore reports whether a signal or a start disturbed the process within a span before a time.
func (p *process) disturbedBefore(at time.Time, span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.ContainsFunc(p.disturbances, func(d time.Time) bool { return !d.After(at) && at.Sub(d) < span })
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// terminate stops the process gracefully. It returns an error if the process fails or takes longer than the bound, after which it is killed.
func (p *process) terminate(bound time.Duration) error {
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(bound):
		p.kill()

		return fmt.Errorf("%s did not stop within %s", p.name, bound)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	// If a kill overlapped the stop, the exit status is that of the kill.
	if p.err != nil && !p.killed && !p.terminatedBeforeMain() {
		return fmt.Errorf("%s failed during its graceful stop: %w", p.name, p.err)
	}

	return nil
}

// terminatedBeforeMain reports whether SIGTERM has ended the process before it could handle signals, which it does before it writes its first log
// line. The lock is held.
func (p *process) terminatedBeforeMain() bool {
	var exit *exec.ExitError
	if !errors.As(p.err, &exit) {
		return false
	}

	status, ok := exit.Sys().(syscall.WaitStatus)
	info, err := os.Stat(p.log())

	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && err == nil && info.Size() == p.logBytes
}

// pause suspends the process for a while.
func (p *process) pause(span time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
}

// currentStart returns the number of the current start, from 1, or zero if the process does not run.
func (p *process) currentStart() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command == nil {
		return 0
	}

	return p.starts
}
