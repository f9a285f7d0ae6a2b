// Package wire holds the messages between the processes of the system and between operators and the system.
package wire

// AnswerAlike returns messages with those that answer one that came over a stream going the same way, since datagrams between the two
// are lost. Acknowledgements of probes also go as datagrams, since they are waited for and only one direction may be lossy.
func AnswerAlike(asked *Envelope, messages []*Envelope) []*Envelope {
	if !asked.GetStream() {
		return messages
	}

	for _, m := range messages {
		if m.GetTo() != asked.GetFrom() || m.GetStream() {
			continue
		}

		if m.GetProbeAck() != nil {
			messages = append(messages, &Envelope{From: m.GetFrom(), To: m.GetTo(), Body: m.GetBody()})
		}

		m.Stream = true
	}

	return messages
}
