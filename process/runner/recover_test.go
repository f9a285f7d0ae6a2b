package runner_test

import (
	"bufio"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

// failWhere panics with the given value unless it is nil, and returns its error otherwise.
func failWhere(value any, failure error) (err error) {
	defer runner.Recover(&err)

	if value != nil {
		panic(value)
	}

	return failure
}

// TestRecoveredPanicNamesItsOriginInTheLog checks that the text of the error stays short, as operators read it, and that the log has the stack.
func TestRecoveredPanicNamesItsOriginInTheLog(t *testing.T) {
	err := failWhere("a fault", nil)
	require.EqualError(t, err, "panic: a fault")

	in, out := io.Pipe()
	logger, _ := launcher.NewLogTo(out, false)
	logger.Error(err, "an input was dropped")

	line, err := bufio.NewReader(in).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, `"errorVerbose":"panic: a fault`)
	require.Contains(t, line, "failWhere")
}

func TestErrorsWithoutAPanicAreKept(t *testing.T) {
	failure := errors.New("a failure")
	require.ErrorIs(t, failWhere(nil, failure), failure)
	require.NoError(t, failWhere(nil, nil))
}
