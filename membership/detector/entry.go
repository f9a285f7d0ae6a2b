package detector

import (
	"slices"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// maxVersion bounds the incarnation and the sequence of an entry, so that its owner can always issue a newer one. Incarnations are Unix
	// times in milliseconds.
	maxVersion = 1 << 53
	// MaxTextBytes bounds each text in an entry.
	MaxTextBytes = 256
	// maxSlots and maxConnections bound what a backend server is said to accept.
	maxSlots       = 1_000_000
	maxConnections = 1_000_000
	// refusalEventPeriod limits the events about refused entries.
	refusalEventPeriod = tiller.Second
)

// Option changes a Core.
type Option func(*Core)

// WithAddressCheck refuses entries with an address for which the check returns an error.
func WithAddressCheck(check func(address string) error) Option {
	return func(c *Core) { c.checkAddress = check }
}

// checkEntry returns why an entry cannot come from a node, nil if it can.
func (c *Core) checkEntry(e *wire.NodeEntry) error {
	tooLong := func(text string) bool { return len(text) > MaxTextBytes }
	texts := []string{e.GetName(), e.GetDataCentre(), e.GetAddress(), e.GetCallAddress(), e.GetService(), e.GetInstance()}
	ofLongInstance := func(w *wire.Withdrawal) bool { return tooLong(w.GetInstance()) }

	switch {
	case e.GetName() == "" || e.GetDataCentre() == "":
		return eris.New("no name or data centre")
	case slices.ContainsFunc(texts, tooLong) || slices.ContainsFunc(e.GetWithdrawals(), ofLongInstance):
		return eris.Errorf("a text of more than %d bytes", MaxTextBytes)
	case e.GetIncarnation() > maxVersion || e.GetSequence() > maxVersion:
		return eris.Errorf("incarnation %d, sequence %d; the maximum is %d", e.GetIncarnation(), e.GetSequence(), uint64(maxVersion))
	case wire.Liveness_name[int32(e.GetLiveness())] == "" || wire.BackendState_name[int32(e.GetState())] == "":
		return eris.Errorf("liveness %d, state %d", e.GetLiveness(), e.GetState())
	case e.GetSlots() > maxSlots || e.GetConnections() > maxConnections:
		return eris.Errorf("%d slots, %d connections", e.GetSlots(), e.GetConnections())
	case len(e.GetWithdrawals()) > 2*MaxWithdrawals:
		return eris.Errorf("%d withdrawals", len(e.GetWithdrawals()))
	}

	for _, address := range []string{e.GetAddress(), e.GetCallAddress()} {
		if c.checkAddress == nil || address == "" {
			continue
		}

		if err := c.checkAddress(address); err != nil {
			return err
		}
	}

	return nil
}

// refuseEntry records that an entry was ignored.
func (c *Core) refuseEntry(e *wire.NodeEntry, err error) {
	if c.now < c.refusalEventAt {
		return
	}

	c.refusalEventAt = c.now + refusalEventPeriod
	name := e.GetName()
	c.emit(tiller.EventEntryRefused, err.Error(), tiller.WithCause(name[:min(len(name), MaxTextBytes)]))
}
