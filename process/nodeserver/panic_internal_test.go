package nodeserver

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestPanicOfTheCoreDropsOneMessage guards against a message that ends the process, or that leaves the lock of the core held.
func TestPanicOfTheCoreDropsOneMessage(t *testing.T) {
	config := node.Config{Name: "n0", DataCentre: "kigali-1", Address: "n0", CallAddress: "n0", Service: "board"}
	s := &Server{clock: tiller.SteadyClock(), core: node.New(config, 1, quarantiner.NewRegistry(), rand.New(rand.NewPCG(1, 1)))}

	// No message on the wire decodes to a body without content.
	_, err := s.advance(func() node.Input { return node.Receive{Envelope: &wire.Envelope{Body: (*wire.Envelope_Strike)(nil)}} })
	require.ErrorContains(t, err, "panic")

	_, err = s.advance(func() node.Input { return node.Tick{} })
	require.NoError(t, err)
}
