package nodeserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (s *Server) listen() error {
	transport, err := transporter.New(tiller.Address(s.settings.Address), s.hybrid, s.options.Filter, s.options.Metrics, s.options.Log)
	if err != nil {
		return err
	}

	s.transport = transport
	transport.Attach(tiller.ReceiverFunc(func(e *wire.Envelope) {
		s.step(node.Receive{Wall: s.hybrid.Wall(), Envelope: e})
	}))

	for _, a := range []string{s.settings.Address, s.settings.CallAddress} {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a)
		if err != nil {
			return errors.Join(eris.Wrap(err, "listen"), s.closeSockets())
		}

		s.listeners = append(s.listeners, l)
	}

	return nil
}

func (s *Server) closeSockets() error {
	errs := make([]error, 0, len(s.listeners)+1)
	errs = append(errs, s.transport.Close(context.Background()))

	for _, l := range s.listeners {
		errs = append(errs, l.Close())
	}

	return errors.Join(errs...)
}

// Parts returns what runs until the node stops.
func (s *Server) Parts() []runner.Part {
	return []runner.Part{
		runner.NewPart("datagrams", s.transport.Run, s.transport.Close),
		runner.NewPart("control", serve(s.control, s.listeners[0]), s.control.Shutdown),
		runner.NewPart("timer", runner.Every(tickPeriod, s.tick), nil),
		runner.NewPart("calls", serve(s.calls, s.listeners[1]), s.stopCalls),
		runner.NewPart("membership", s.join, s.leave),
	}
}

func serve(server *http.Server, l net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}

		return nil
	}
}

func (s *Server) join(ctx context.Context) error {
	s.ring.Record(tiller.NewEvent(tiller.EventStarted, "node of "+s.settings.Service))
	<-ctx.Done()

	return nil
}

// leave drains: peers hear of it first, then the gate refuses late work.
func (s *Server) leave(ctx context.Context) error {
	s.mu.Lock()
	s.drained = true
	s.mu.Unlock()

	s.forwarder.Drain()
	s.tick()

	select {
	case <-ctx.Done():
	case <-time.After(leaveLinger):
	}

	return nil
}

// stopCalls waits for the calls in flight and leaves the membership.
func (s *Server) stopCalls(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(s.settings.DrainMs)*time.Millisecond)
	defer cancel()

	err := s.calls.Shutdown(bounded)

	s.step(node.Leave{})
	s.ring.Record(tiller.NewEvent(tiller.EventStopped, "node left"))
	s.hops.Close()
	s.backends.Close()

	return eris.Wrap(err, "calls in flight at the end of the drain time")
}

// Kill closes the sockets at once, like the death of the process.
func (s *Server) Kill() error {
	return errors.Join(s.calls.Close(), s.control.Close(), s.transport.Close(context.Background()))
}
