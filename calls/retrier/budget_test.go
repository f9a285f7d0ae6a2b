package retrier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
)

const (
	failing = tiller.Service("talent-index")
	healthy = tiller.Service("casting-board")
	share   = 10
	// allowedShare is the fraction of a service's requests that the users' platform allows as retries, over all nodes and in any window
	// of ten seconds.
	allowedShare = 0.2
)

// fleet is a number of nodes that keep their budgets independently of each other.
type fleet struct {
	budgets []*retrier.Budget
	// retries contains the time of each retry in order.
	retries []tiller.Millis
}

func newFleet(nodes int) *fleet {
	f := &fleet{}
	for range nodes {
		f.budgets = append(f.budgets, retrier.NewBudget())
	}

	return f
}

// call makes a call through one of the nodes; every attempt fails if the service is down.
func (f *fleet) call(now tiller.Millis, n int, s tiller.Service, down bool) {
	b := f.budgets[n%len(f.budgets)]
	b.RecordCall(now, s)

	err := tiller.NewCallError(tiller.VerdictNotRun, tiller.ReasonOverload, "")
	c := retrier.NewCall(true, 3, 2, func() bool { return b.Consume(now, s, share) })

	for c.Begin(); down && c.AllowRetry(err); c.Begin() {
		f.retries = append(f.retries, now)
	}
}

// maxRetriesInWindow returns the largest number of retries in any window of ten seconds.
func (f *fleet) maxRetriesInWindow() int {
	most, first := 0, 0

	for last, at := range f.retries {
		for f.retries[first] <= at-10*tiller.Second {
			first++
		}

		most = max(most, last-first+1)
	}

	return most
}

// TestFleetRetriesStayWithinShareOfFailingService guards against a retry storm: after a minute without retries one service fails completely
// while another one has many more calls. Neither the unused retries nor the calls of the other service may add to its budget.
func TestFleetRetriesStayWithinShareOfFailingService(t *testing.T) {
	cases := map[string]struct {
		nodes, slack     int
		failing, healthy int
	}{
		"11 nodes":   {nodes: 11, slack: 60, failing: 53, healthy: 200},
		"85 nodes":   {nodes: 85, slack: 210, failing: 353, healthy: 1330},
		"few calls":  {nodes: 11, slack: 60, failing: 1, healthy: 200},
		"idle fleet": {nodes: 85, slack: 210, failing: 1, healthy: 0},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.nodes)

			for second := range 120 {
				down := second >= 60

				for i := range tc.failing {
					f.call(tiller.Millis(second*1000+i*1000/tc.failing), second+i, failing, down)
				}

				for i := range tc.healthy {
					f.call(tiller.Millis(second*1000+999), second+i, healthy, false)
				}
			}

			requests := 10 * tc.failing
			require.LessOrEqual(t, f.maxRetriesInWindow(), int(allowedShare*float64(requests))+tc.slack)
			require.NotZero(t, f.maxRetriesInWindow())
		})
	}
}

func TestBudgetBoundsRetriesOfAFailingService(t *testing.T) {
	f := newFleet(1)
	for i := range 1000 {
		f.call(tiller.Millis(i), 0, failing, true)
	}

	require.LessOrEqual(t, len(f.retries), 110)
	require.GreaterOrEqual(t, len(f.retries), 90)
}

func TestBudgetRefillsAfterWindow(t *testing.T) {
	b := retrier.NewBudget()

	for range retrier.ReserveRetries {
		require.True(t, b.Consume(0, failing, share))
	}

	require.False(t, b.Consume(retrier.BudgetWindow/2, failing, share))
	require.True(t, b.Consume(2*retrier.BudgetWindow, failing, share))
	require.True(t, b.Consume(2*retrier.BudgetWindow, healthy, share))

	b.Forget(tiller.NewSet(healthy))
	require.True(t, b.Consume(2*retrier.BudgetWindow, failing, share))
	require.True(t, b.Consume(2*retrier.BudgetWindow, failing, share))
}
