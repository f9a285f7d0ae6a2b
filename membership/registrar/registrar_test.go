package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func valid() registrar.Announcement {
	return registrar.Announcement{Address: "127.0.0.1:80", Service: "board", Slots: 10, Connections: 130, State: "ready"}
}

func TestAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		change func(a *registrar.Announcement)
		faults int
	}{
		{"valid", func(*registrar.Announcement) {}, 0},
		{"another service", func(a *registrar.Announcement) { a.Service = "other" }, 1},
		{"host name instead of a number", func(a *registrar.Announcement) { a.Address = "localhost:80" }, 1},
		{"unknown state", func(a *registrar.Announcement) { a.State = "fine" }, 1},
		{"state in capitals", func(a *registrar.Announcement) { a.State = "READY" }, 1},
		{"every fault is listed", func(a *registrar.Announcement) { *a = registrar.Announcement{} }, 5},
		{"slots out of range", func(a *registrar.Announcement) { a.Slots = registrar.MaxSlots + 1 }, 1},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board")
			a := valid()
			tc.change(&a)
			require.Len(t, c.Announce(0, a), tc.faults)
		})
	}
}

func TestLeaseAndOwnObservation(t *testing.T) {
	c := registrar.New("board")
	require.Equal(t, wire.BackendState_BACKEND_STATE_NONE, c.Backend(0).State)
	require.Empty(t, c.Announce(0, valid()))
	require.Equal(t, wire.BackendState_BACKEND_STATE_READY, c.Backend(registrar.Lease-1).State)
	require.Equal(t, wire.BackendState_BACKEND_STATE_GONE, c.Backend(registrar.Lease).State, "the lease ran out")

	require.Empty(t, c.Announce(registrar.Lease, valid()))
	c.Refused(registrar.Lease)
	require.Equal(t, wire.BackendState_BACKEND_STATE_GONE, c.Backend(registrar.Lease+1).State, "a refused connection weighs more")

	bad := valid()
	bad.Slots = 0
	require.NotEmpty(t, c.Announce(registrar.Lease, bad))
	require.Equal(t, 10, c.Backend(registrar.Lease+1).Slots, "a bad announcement changes nothing")
}
