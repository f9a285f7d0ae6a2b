package soak_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
)

// process is one program of the system, started, paused and ended from outside.
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
	// starts counts the starts, so that what one process said is not held against the next.
	starts int
	// killed is set once a kill has been sent to the running start.
	killed bool
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

// forget takes a key out of the settings file.
func (p *process) forget(key string) error {
	delete(p.values, key)

	data, err := yaml.Marshal(p.values)
	if err != nil {
		return err
	}

	return os.WriteFile(p.settings(), data, 0o600)
}

func (p *process) settings() string { return filepath.Join(p.folder, p.name+".yaml") }

// start runs the program; its log is appended to that of its earlier starts.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command != nil {
		return nil
	}

	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	command := exec.Command(p.program, "run", "--settings", p.settings())
	command.Dir = p.folder
	command.Stdout, command.Stderr = log, log

	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}

	ended := make(chan struct{})
	p.command, p.ended = command, ended
	p.killed = false
	p.starts++

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

// signal sends a signal if the process runs, and returns what closes when it has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command == nil {
		closed := make(chan struct{})
		close(closed)

		return closed
	}

	p.killed = p.killed || s == syscall.SIGKILL

	// A process that has just ended takes no signal.
	_ = p.command.Process.Signal(s)

	return p.ended
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// terminate stops the process gracefully and returns an error unless it ends well within the bound.
func (p *process) terminate(bound time.Duration) error {
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(bound):
		p.kill()

		return fmt.Errorf("%s did not stop within %s", p.name, bound)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	// A kill that overlaps the stop decides how the process ends.
	if p.err != nil && !p.killed {
		return fmt.Errorf("%s ended badly: %w", p.name, p.err)
	}

	return nil
}

// pause suspends the process for a while.
func (p *process) pause(span time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
}

// alive returns the number of the running start, zero if the process does not run.
func (p *process) alive() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.command == nil {
		return 0
	}

	return p.starts
}
