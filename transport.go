package sycamoretiller

import "gitlab.com/sycamoretiller/sycamoretiller/wire"

// Transport sends messages to other processes; it may lose, delay, duplicate or reorder them.
type Transport interface {
	Send(envelopes ...*wire.Envelope)
}

// TransportFunc adapts a function to a Transport.
type TransportFunc func(envelopes ...*wire.Envelope)

// Send calls the function.
func (f TransportFunc) Send(envelopes ...*wire.Envelope) { f(envelopes...) }

var _ Transport = TransportFunc(nil)

// Receiver handles a message from another process.
type Receiver interface {
	Receive(envelope *wire.Envelope)
}

// ReceiverFunc adapts a function to a Receiver.
type ReceiverFunc func(envelope *wire.Envelope)

// Receive calls the function.
func (f ReceiverFunc) Receive(envelope *wire.Envelope) { f(envelope) }

var _ Receiver = ReceiverFunc(nil)
