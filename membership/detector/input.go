package detector

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Input is an input of Core.Step.
type Input interface{ input() }

// Tick advances time.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Envelope *wire.Envelope }

// Announce updates the node's entry with the state of its backend server.
type Announce struct{ Backend Backend }

// Introduce gives addresses of nodes that may be unknown here.
type Introduce struct{ Addresses []string }

// Leave marks the node as having left and notifies its peers.
type Leave struct{}

// Replicate sends the node's entry to peers until enough of them store it. The result is in Effects.Replicated.
type Replicate struct{ Token uint64 }

// Restore adds withdrawals that controllers remember from the node's previous process.
type Restore struct{ Withdrawals []Withdrawal }

func (Tick) input()      {}
func (Receive) input()   {}
func (Announce) input()  {}
func (Introduce) input() {}
func (Leave) input()     {}
func (Replicate) input() {}
func (Restore) input()   {}

// Backend is the state of a backend server that its node shares with other nodes.
type Backend struct {
	Service     tiller.Service
	State       wire.BackendState
	Slots       int
	Connections int
	// Instance identifies one start of the server, empty if not reported.
	Instance string
	// ColdUntil is when the server's cold start ends, by its own node's clock.
	ColdUntil tiller.Millis
	// Withdrawals are the starts of servers on this VM that are leaving, oldest first.
	Withdrawals []Withdrawal
}
