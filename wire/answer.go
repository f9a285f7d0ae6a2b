// Package wire holds the messages between the processes of the system and between operators and the system.
package wire

// AnswerAlike makes the messages that answer one that came over a stream go the same way, since datagrams between the two are lost.
func AnswerAlike(asked *Envelope, messages []*Envelope) {
	if !asked.GetStream() {
		return
	}

	for _, m := range messages {
		m.Stream = m.GetStream() || m.GetTo() == asked.GetFrom()
	}
}
