package nodeserver

import (
	"fmt"

	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

// step advances the core by one input and carries out the resulting effects.
func (s *Server) step(input node.Input) {
	s.stepWith(func() node.Input { return input })
}

// stepWith is step for an input that depends on state which the lock guards.
func (s *Server) stepWith(input func() node.Input) {
	var in node.Input

	effects, err := s.advance(func() node.Input {
		in = input()

		return in
	})
	if err != nil {
		s.options.Log.Error(err, "an input was dropped because the node's core panicked", "input", fmt.Sprintf("%T", in))

		return
	}

	for _, w := range effects.Restored {
		s.options.Log.Info("withdrawal restored", "instance", w.Instance, "born", w.StartedAtMs, "sequence", w.Sequence)
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

	for _, r := range effects.Replicated {
		s.replications.resolve(r.Token, r)
	}
}

// advance advances the core and renews the routing table. A panic is returned as an error with its stack, so that one malformed message does
// not end the process or leave the lock held; what the core knows of the fleet is renewed by later messages.
func (s *Server) advance(input func() node.Input) (effects node.Effects, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer runner.Recover(&err)

	now := s.clock.Now()
	effects = s.core.Step(now, input())

	if len(effects.Restored) > 0 {
		s.registrar.Restore(now, effects.Restored)
	}

	if effects.TableChanged {
		s.rebuild()
	}

	return effects, nil
}
