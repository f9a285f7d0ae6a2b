package retrier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
)

func TestRetry(t *testing.T) {
	const (
		ran    = tiller.VerdictRan
		maybe  = tiller.VerdictMayHaveRun
		notRun = tiller.VerdictNotRun
	)

	cases := []struct {
		name        string
		idempotent  bool
		verdict     tiller.Verdict
		reason      tiller.Reason
		retriesLeft int
		want        int
	}{
		{"not run: retried up to the limit", false, notRun, tiller.ReasonOverload, 2, 2},
		{"may have run and not idempotent", false, maybe, tiller.ReasonBackendFailed, 2, 0},
		{"may have run and idempotent", true, maybe, tiller.ReasonBackendFailed, 2, 2},
		{"ran", true, ran, tiller.ReasonAnswerTooLarge, 2, 0},
		{"the chain allows one retry", true, maybe, tiller.ReasonBackendFailed, 1, 1},
		{"the chain allows no retry", true, notRun, tiller.ReasonOverload, 0, 0},
		{"refusal by a draining worker is not charged", false, notRun, tiller.ReasonDraining, 0, 2},
		{"quarantined", true, notRun, tiller.ReasonQuarantined, 2, 0},
		{"key reused", false, notRun, tiller.ReasonKeyReused, 2, 0},
		{"cancelled by the caller", true, maybe, tiller.ReasonCancelled, 2, 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := retrier.NewCall(tc.idempotent, 3, tc.retriesLeft, func() bool { return true })
			err := tiller.NewCallError(tc.verdict, tc.reason, "")
			retries := 0

			for c.Begin(); c.AllowRetry(err); c.Begin() {
				retries++
			}

			require.Equal(t, tc.want, retries)
		})
	}
}
