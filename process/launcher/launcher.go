// Package launcher provides what the commands share: command line, log, exit codes and signal handling.
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

// Version is the version of all commands.
const Version = "0.1.0"

// Exit codes of all commands.
const (
	ExitOK = 0
	// ExitFailed is for failures without a code of their own.
	ExitFailed = 1
	// ExitBadInput is for wrong usage and for invalid files or values.
	ExitBadInput = 2
	// ExitConflict is for a request that the current state of the fleet rules out, such as an edit of a version that is no longer in force.
	ExitConflict = 3
	// ExitUnknown is for an edit whose outcome is unknown.
	ExitUnknown = 4
	// ExitUnreachable is for a fleet or controllers that cannot be reached.
	ExitUnreachable = 5
)

// ExitError is an error that determines the exit code of the command.
type ExitError struct {
	code int
	err  error
}

// Exit returns an error that makes the command exit with a code.
func Exit(code int, err error) error { return &ExitError{code: code, err: err} }

// Exitf returns a formatted error that makes the command exit with a code.
func Exitf(code int, format string, args ...any) error {
	return Exit(code, eris.Errorf(format, args...))
}

// Error returns the text of the cause.
func (e *ExitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.err }

// Code returns the exit code.
func (e *ExitError) Code() int { return e.code }

// Main runs a command with the process's arguments and exits with its code. SIGTERM and SIGINT cancel the command's context.
func Main(command *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := Run(ctx, command, os.Args)

	stop()
	os.Exit(code)
}

// Run runs a command, writes its error to standard error, and returns its exit code: that of an ExitError, else ExitFailed.
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

// setUsageError makes usage errors of a command and its subcommands exit with ExitBadInput.
func setUsageError(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return Exit(ExitBadInput, err)
	}

	for _, c := range command.Commands {
		setUsageError(c)
	}
}
