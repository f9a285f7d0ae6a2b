package nodeserver

import (
	"fmt"

	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

// step advances the core by one input and carries out the resulting effects.
func (s *Server) step(input node.Input) {
	effects, err := s.advance(input)
	if err != nil {
		s.options.Log.Error(err, "an input was dropped because the node's core panicked", "input", fmt.Sprintf("%T", input))

		return
	}

	s.vitals.record(effects)
	s.ring.Record(effects.Events...)
	s.transport.Send(effects.Messages...)

	for _, r := range effects.Claims {
		s.claims.resolve(r.Attempt(), r)
	}

	for _, token := range effects.FinishedCrashReports {
		s.crashReports.resolve(token, struct{}{})
	}
}

// advance advances the core and renews the routing table. A panic is returned as an error with its stack, so that one malformed message does
// not end the process or leave the lock held; what the core knows of the fleet is renewed by later messages.
func (s *Server) advance(input node.Input) (effects node.Effects, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer runner.Recover(&err)

	effects = s.core.Step(s.clock.Now(), input)
	if effects.TableChanged {
		s.rebuild()
	}

	return effects, nil
}
