package soak_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	controlPort = "7100"
	callPort    = "7101"
	backendPort = "7102"

	dataCentres  = 3
	heartbeatMs  = 100
	noticeMs     = 300
	drainMs      = 4000
	callerPause  = 20 * time.Millisecond
	callers      = 12
	slots        = 6
	restartDelay = 300 * time.Millisecond
	serviceTime  = 15 * time.Millisecond
)

// fleet is the system under test: controllers and nodes as separate processes, each behind a proxy, with stand-ins for backend servers and
// callers.
type fleet struct {
	folder      string
	controllers []*process
	nodes       []*process
	backends    []*standin.Backend
	proxies     []*proxy
	runLog      *standin.RunLog
	tally       *standin.Tally
	client      *editor.Client
	wait        sync.WaitGroup
	// departed counts the departures of servers that were acknowledged.
	departed atomic.Int64
}

// build compiles the programs of controllers and nodes into a folder.
func build(folder string) error {
	out, err := exec.Command("go", "build", "-o", folder+string(os.PathSeparator),
		"gitlab.com/sycamoretiller/sycamoretiller/cmd/controller", "gitlab.com/sycamoretiller/sycamoretiller/cmd/node").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}

	return nil
}

// advertisedHost returns the host to which others send, on which the proxy of a process listens.
func advertisedHost(dc, octet int) string { return fmt.Sprintf("127.%d.%d.%d", *network, dc, octet) }

// bindHost returns the host on which a process itself listens.
func bindHost(dc, octet int) string { return fmt.Sprintf("127.%d.%d.%d", *network+1, dc, octet) }

// controllerOctet is the last octet of the controllers' addresses, above those of the nodes.
const controllerOctet = 200

func controllerAddresses() []string {
	var out []string
	for dc := 1; dc <= dataCentres; dc++ {
		out = append(out, advertisedHost(dc, controllerOctet)+":"+controlPort)
	}

	return out
}

// newFleet writes the settings and opens the proxies of three controllers and a number of nodes, but starts no process.
func newFleet(programs, folder string, nodes int) (*fleet, error) {
	f := &fleet{folder: folder, runLog: standin.NewRunLog()}
	f.tally = standin.NewTally(f.runLog)

	var bind []tiller.Address

	for dc := 1; dc <= dataCentres; dc++ {
		settings := map[string]any{
			"name": fmt.Sprintf("controller-%d", dc), "data_centre": fmt.Sprintf("dc-%d", dc),
			"address":   advertisedHost(dc, controllerOctet) + ":" + controlPort,
			"bind_host": bindHost(dc, controllerOctet), "peers": controllerAddresses(), "initial_voters": controllerAddresses(),
			"data_folder": filepath.Join(folder, fmt.Sprintf("data-%d", dc)), "heartbeat_ms": heartbeatMs,
		}

		p, err := f.addProcess(filepath.Join(programs, "controller"), settings, dc, controllerOctet, controlPort)
		if err != nil {
			return f, err
		}

		f.controllers = append(f.controllers, p)
		bind = append(bind, tiller.Address(bindHost(dc, controllerOctet)+":"+controlPort))
	}

	f.client = editor.New(bind)

	for i := range nodes {
		if err := f.addNode(programs, i); err != nil {
			return f, err
		}
	}

	return f, nil
}

// nodePosition returns the number of a node's data centre and the node's number in it, which are the last two octets of its address. Both
// start at 1.
func nodePosition(i int) (dc, octet int) { return i%dataCentres + 1, i/dataCentres + 1 }

func (f *fleet) addNode(programs string, i int) error {
	dc, octet := nodePosition(i)
	service := []string{"casting-board", "talent-index"}[octet%2]

	p, err := f.addProcess(filepath.Join(programs, "node"), map[string]any{
		"name": fmt.Sprintf("node-%d-%d", dc, octet), "data_centre": fmt.Sprintf("dc-%d", dc), "service": service,
		"address": advertisedHost(dc, octet) + ":" + controlPort, "call_address": advertisedHost(dc, octet) + ":" + callPort,
		"bind_host": bindHost(dc, octet), "controllers": controllerAddresses(),
		"seeds":           []string{advertisedHost(1, 1) + ":" + controlPort, advertisedHost(2, 1) + ":" + controlPort},
		"leave_notice_ms": noticeMs, "drain_ms": drainMs,
	}, dc, octet, controlPort, callPort)
	if err != nil {
		return err
	}

	f.nodes = append(f.nodes, p)
	f.backends = append(f.backends, standin.NewBackend(standin.BackendOptions{
		Worker: tiller.Worker(p.name), Service: tiller.Service(service), Address: bindHost(dc, octet) + ":" + backendPort,
		NodeControlAddress: bindHost(dc, octet) + ":" + controlPort, Slots: slots, Connections: 10 * slots, ServiceTime: serviceTime,
		RestartDelay: restartDelay, RunLog: f.runLog,
	}))

	return nil
}

func (f *fleet) addProcess(program string, settings map[string]any, dc, octet int, ports ...string) (*process, error) {
	name, ok := settings["name"].(string)
	if !ok {
		return nil, errors.New("settings of a process lack a name")
	}

	p, err := newProcess(name, program, f.folder, settings)
	if err != nil {
		return nil, err
	}

	p.proxy, err = newProxy(advertisedHost(dc, octet), bindHost(dc, octet), ports...)
	if err != nil {
		return nil, err
	}

	f.proxies = append(f.proxies, p.proxy)

	return p, nil
}

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.controllers...), f.nodes...)
}

// start starts all processes and backend servers, and applies the first document.
func (f *fleet) start(ctx context.Context) error {
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}

	for _, b := range f.backends {
		f.wait.Go(func() { _ = b.Run(ctx) })
	}

	return f.applyFirstDocument(ctx)
}

// applyFirstDocument retries the first edit until it is accepted.
func (f *fleet) applyFirstDocument(ctx context.Context) error {
	edit, err := editor.NewEdit(document(1000), tiller.Version{}, "soak", "first document of the run")
	if err != nil {
		return err
	}

	for ctx.Err() == nil {
		if r, err := f.client.Apply(ctx, edit); err == nil && r.GetOutcome().GetAccepted() {
			return nil
		}
	}

	return ctx.Err()
}

// startCallers starts callers that send calls through all nodes until the context ends.
func (f *fleet) startCallers(ctx context.Context) {
	var targets []standin.Target

	for i := range f.nodes {
		dc, octet := nodePosition(i)
		targets = append(targets, standin.Target{
			DataCentre: tiller.DataCentre(fmt.Sprintf("dc-%d", dc)), Address: tiller.Address(advertisedHost(dc, octet) + ":" + callPort),
		})
	}

	callKinds := []standin.CallKind{
		{Name: "browse", Method: "GET", Path: "/calls/open", Weight: 5},
		{Name: "submit", Method: "POST", Path: "/auditions", Keyed: true, Weight: 3},
		{Name: "profile", Method: "GET", Path: "/profiles/7", Weight: 2},
	}
	c := standin.NewCallers(callKinds, targets, f.tally)

	for range callers {
		f.wait.Go(func() { c.Run(ctx, callerPause) })
	}
}

// document returns the document that operators apply. Its versions differ in the timeout.
func document(timeoutMs int64) tiller.DocumentSpec {
	return tiller.DocumentSpec{
		Defaults: map[string]int64{"call_timeout_ms": timeoutMs, "slow_start_ms": 500},
		Services: []tiller.ServiceSpec{{Name: "casting-board"}, {Name: "talent-index"}},
		Routes: []tiller.RouteSpec{
			{Name: "browse", Method: "GET", PathPrefix: "/calls", Service: "casting-board", Class: "interactive", Idempotent: true},
			{Name: "submit", Method: "POST", PathPrefix: "/auditions", Service: "casting-board", Class: "interactive", AtMostOnce: true},
			{Name: "profile", Method: "GET", PathPrefix: "/profiles", Service: "talent-index", Class: "patient", Idempotent: true},
		},
	}
}

// timeoutOf returns the timeout that identifies a version of the document, zero if the items cannot be decoded.
func timeoutOf(items []*wire.Item) int64 {
	spec, err := encoder.Decode(items)
	if err != nil {
		return 0
	}

	return spec.Defaults["call_timeout_ms"]
}

// stop kills all processes and closes the proxies. The backend servers must have been stopped through their context.
func (f *fleet) stop() error {
	for _, p := range f.processes() {
		p.kill()
	}

	f.wait.Wait()

	var errs []error
	for _, p := range f.proxies {
		errs = append(errs, p.close())
	}

	return errors.Join(errs...)
}
