// Package wire holds the messages between the processes of the system and between operators and the system.
package wire

// ReplyOverStream returns the messages that follow from a received one. If that one came over a stream, the replies to its sender are sent
// over a stream too, since datagrams between the two are lost. Acknowledgements of probes are sent over both, since they are awaited and
// only one direction may be lossy.
func ReplyOverStream(received *Envelope, messages []*Envelope) []*Envelope {
	if !received.GetStream() {
		return messages
	}

	for _, m := range messages {
		if m.GetTo() != received.GetFrom() || m.GetStream() {
			continue
		}

		if m.GetProbeAck() != nil {
			messages = append(messages, &Envelope{From: m.GetFrom(), To: m.GetTo(), Body: m.GetBody()})
		}

		m.Stream = true
	}

	return messages
}
