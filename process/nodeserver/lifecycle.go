package nodeserver

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (s *Server) listen() error {
	transport, err := transporter.New(
		tiller.Address(s.settings.Address), s.settings.BindHost, s.hybrid, s.options.Filter, s.options.Metrics, s.link.RecordSent,
		s.options.Log,
	)
	if err != nil {
		return err
	}

	s.transport = transport
	transport.SetReceiver(tiller.ReceiverFunc(func(e *wire.Envelope) {
		s.step(node.Receive{Wall: s.hybrid.Wall(), Envelope: e})
	}))

	for _, address := range []string{
		s.settings.Address, s.settings.CallAddress, s.settings.CallerAddress, s.settings.MonitorAddress, s.settings.MetricsAddress,
	} {
		if address == "" {
			continue
		}

		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", transporter.ListenAddress(address, s.settings.BindHost))
		if err != nil {
			return errors.Join(eris.Wrap(err, "listen"), s.closeSockets())
		}

		s.listeners[address] = l
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

// Parts returns the parts of the node for runner.Run, which stops them in reverse order.
func (s *Server) Parts() []runner.Part {
	parts := []runner.Part{
		runner.NewPart("datagrams", s.transport.Run, s.transport.Close),
		runner.NewHTTP("control", s.control, s.listeners[s.settings.Address]),
	}

	for _, address := range []string{s.settings.MonitorAddress, s.settings.MetricsAddress} {
		if address != "" {
			parts = append(parts, runner.NewHTTP("monitor", s.monitor, s.listeners[address]))
		}
	}

	parts = append(parts,
		runner.NewPart("timer", runner.Every(tickPeriod, s.tick), nil),
		runner.NewPart("vitals", runner.Every(vitalsPeriod, s.reportVitals), nil),
		runner.NewPart("calls", serveCalls(s.calls, s.listeners[s.settings.CallAddress]), s.stopCalls),
	)

	if s.callers != nil {
		parts = append(parts, runner.NewPart("callers", serveCalls(s.callers, s.listeners[s.settings.CallerAddress]), s.stopCallers))
	}

	return append(parts, runner.NewPart("membership", s.waitForStop, s.leave))
}

func serveCalls(a *acceptor.Acceptor, l net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := a.Serve(l); !errors.Is(err, acceptor.ErrClosed) {
			return eris.Wrap(err, "accept")
		}

		return nil
	}
}

// waitForStop records the start of the node and waits until the node is to stop.
func (s *Server) waitForStop(ctx context.Context) error {
	s.ring.Record(tiller.NewEvent(tiller.EventStarted, "node of "+s.settings.Service))
	<-ctx.Done()

	return nil
}

// leave stops serving in two steps. Callers are notified first, while the worker still takes calls from other nodes; the other nodes are
// notified next. At the end of the notice period the node refuses new calls, except those of callers that are sure to end in time.
func (s *Server) leave(ctx context.Context) error {
	s.leaving.Store(true)

	if s.callers != nil {
		s.callers.Drain()
	}

	notice := time.Duration(s.settings.LeaveNoticeMs) * time.Millisecond
	s.forwarder.BeginStop(s.beginStop())

	pause(ctx, notice-peerNoticePeriod)

	s.mu.Lock()
	s.drained = true
	s.mu.Unlock()

	s.tick()

	if notice == 0 {
		s.forwarder.Drain()
	}

	pause(ctx, peerNoticePeriod)
	s.forwarder.Drain()

	return nil
}

// beginStop sets and returns the time at which connections are closed: the drain time after the end of the notice.
func (s *Server) beginStop() tiller.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()

	notice := max(tiller.Millis(s.settings.LeaveNoticeMs), tiller.Millis(peerNoticePeriod.Milliseconds()))
	s.stopAt = s.clock.Now() + notice + s.drainTime()

	return s.stopAt
}

// peerNoticePeriod is the time for other nodes to learn that the worker is draining; membership entries spread in tenths of a second.
const peerNoticePeriod = 500 * time.Millisecond

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// drainTime returns the wait for calls in flight: the shorter of that in the settings file, which is chosen to end before the process is killed,
// and that in the document.
func (s *Server) drainTime() tiller.Millis {
	span := tiller.Millis(s.settings.DrainMs)
	if t := s.table.Load(); t != nil {
		span = min(span, t.OwnSettings().Seconds(tiller.SettingDrainSeconds))
	}

	return span
}

// minStopTime is the time for closing idle connections where no drain time is left.
const minStopTime tiller.Millis = 100

// untilStop returns a context that ends when the connections of callers and other nodes are to be closed.
func (s *Server) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	span := max(s.stopAt-s.clock.Now(), minStopTime)
	s.mu.Unlock()

	return context.WithTimeout(ctx, span.Duration())
}

// stopCallers stops the separate caller address and waits for its calls in flight until the node's stop time.
func (s *Server) stopCallers(ctx context.Context) error {
	bounded, cancel := s.untilStop(ctx)
	defer cancel()

	return eris.Wrap(s.callers.Shutdown(bounded), "calls of callers still in flight at the end of the drain time")
}

// stopCalls stops the call address, waits for its calls in flight until the node's stop time, and leaves the membership.
func (s *Server) stopCalls(ctx context.Context) error {
	bounded, cancel := s.untilStop(ctx)
	defer cancel()

	err := s.calls.Shutdown(bounded)

	s.step(node.Leave{})
	s.ring.Record(tiller.NewEvent(tiller.EventStopped, "node left"))
	s.nodeExchanger.Close()
	s.backendExchanger.Close()

	return eris.Wrap(err, "calls still in flight at the end of the drain time")
}

// Kill closes the sockets immediately, as if the process had crashed.
func (s *Server) Kill() error {
	errs := []error{s.calls.Close(), s.control.Close(), s.monitor.Close(), s.transport.Close(context.Background())}
	if s.callers != nil {
		errs = append(errs, s.callers.Close())
	}

	return errors.Join(errs...)
}
