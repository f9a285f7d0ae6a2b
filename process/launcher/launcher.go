// Package launcher starts the programs: command line, log, exit codes and signals.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Version is the programs' version.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

// ExitError is an error with the exit code of the program.
type ExitError struct {
	code int
	err  error
}

// Exit returns an error that ends the program with a code.
func Exit(code int, err error) error { return &ExitError{code: code, err: err} }

// Exitf returns a formatted error that ends the program with a code.
func Exitf(code int, format string, args ...any) error {
	return Exit(code, eris.Errorf(format, args...))
}

// Error formats the cause.
func (e *ExitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.err }

// Code returns the exit code.
func (e *ExitError) Code() int { return e.code }

// Main runs a command until it ends or a signal asks it to stop, and exits.
func Main(command *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := Run(ctx, command, os.Args)

	stop()
	os.Exit(code)
}

// Run runs a command and returns its exit code.
func Run(ctx context.Context, command *cli.Command, args []string) int {
	command.Version = Version
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	setUsageError(command)

	err := command.Run(ctx, args)
	if err == nil {
		return ExitOK
	}

	fmt.Fprintln(os.Stderr, command.Name+": "+err.Error())

	if e, ok := errors.AsType[*ExitError](err); ok {
		return e.code
	}

	return ExitFailed
}

// setUsageError gives wrong usage of a command and of all below it the exit code for bad input.
func setUsageError(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return Exit(ExitBadInput, err)
	}

	for _, c := range command.Commands {
		setUsageError(c)
	}
}
