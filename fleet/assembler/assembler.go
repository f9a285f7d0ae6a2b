// Package assembler runs a complete fleet of controllers, nodes and stand-in backend servers inside one process, for the quickstart and
// for measurements. Each controller, node and backend server listens on a loopback address of its own.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/nodeserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

// Plan describes a fleet and the scenario that is run on it. It is read from the fleet file of a deployment.
type Plan struct {
	HomeRegion            string             `yaml:"home_region"`
	DataCentres           []string           `yaml:"data_centres"`
	Workers               []WorkerPlan       `yaml:"workers"`
	ServiceTimeMs         int                `yaml:"service_time_ms"`
	ColdStartMs           int                `yaml:"cold_start_ms"`
	RestartMs             int                `yaml:"restart_ms"`
	CallKinds             []standin.CallKind `yaml:"scripts"`
	ShiftedWorker         string             `yaml:"shift_worker"`
	DrainedWorker         string             `yaml:"drain_worker"`
	PartitionedDataCentre string             `yaml:"cut_data_centre"`
	CrashPath             string             `yaml:"crash_path"`
}

// WorkerPlan describes one worker: a node and its backend server.
type WorkerPlan struct {
	Name        string `yaml:"name"`
	DataCentre  string `yaml:"data_centre"`
	Service     string `yaml:"service"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
}

const (
	// The ports are the same everywhere, since every process has a loopback address of its own.
	controlPort = 7100
	callPort    = 7101
	backendPort = 7102

	heartbeatMs = 100
	drainMs     = 10_000
	controllers = 3
	maxSeeds    = 4
)

// process is a part of the fleet that runs in goroutines of its own.
type process struct {
	cancel context.CancelFunc
	// done is closed once the part has ended with err.
	done chan struct{}
	err  error
}

func start(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, done: make(chan struct{})}

	go func() {
		defer close(p.done)

		p.err = run(ctx)
	}()

	return p
}

func (p *process) stop() error {
	p.cancel()
	<-p.done

	return p.err
}

// Node is a running node.
type Node struct {
	plan    WorkerPlan
	server  *nodeserver.Server
	process *process
	metrics metrics.Registry
}

// Controller is a running controller.
type Controller struct {
	settings controlserver.Settings
	server   *controlserver.Server
	process  *process
	metrics  metrics.Registry
}

// Fleet is a complete deployment that runs in one process.
type Fleet struct {
	plan        Plan
	folder      string
	runLog      *standin.RunLog
	mu          sync.Mutex
	partitioned string
	controllers []*Controller
	nodes       map[string]*Node
	backends    map[string]*standin.Backend
	processes   map[string]*process
}

// New returns a fleet that is not started yet. The controllers store their data below the folder.
func New(p Plan, folder string) *Fleet {
	return &Fleet{
		plan: p, folder: folder, runLog: standin.NewRunLog(), nodes: map[string]*Node{},
		backends: map[string]*standin.Backend{}, processes: map[string]*process{},
	}
}

// controllerOctet is the last octet of the first controller's address, above those of the nodes.
const controllerOctet = 200

func (f *Fleet) startControllers(ctx context.Context) error {
	addresses := f.ControllerAddresses()

	for i := range controllers {
		s := controlserver.Settings{
			Name: fmt.Sprintf("controller-%d", i+1), DataCentre: f.plan.DataCentres[i%len(f.plan.DataCentres)], Address: addresses[i],
			Peers:       slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == addresses[i] }),
			DataFolder:  filepath.Join(f.folder, fmt.Sprintf("controller-%d", i+1)),
			HeartbeatMs: heartbeatMs,
		}

		if i == 0 {
			if err := controlserver.Bootstrap(s); err != nil {
				return err
			}
		}

		f.controllers = append(f.controllers, &Controller{settings: s, metrics: metrics.NewRegistry()})

		if err := f.StartController(ctx, i); err != nil {
			return err
		}
	}

	return nil
}

// StartController starts the controller with the given index on the data in its folder.
func (f *Fleet) StartController(ctx context.Context, i int) error {
	c := f.controllers[i]

	server, err := controlserver.New(c.settings, controlserver.Options{Filter: f.allowMessage, Log: logr.Discard(), Metrics: c.metrics})
	if err != nil {
		return err
	}

	c.server = server
	c.process = start(ctx, func(ctx context.Context) error { return runner.Run(ctx, server.Parts()...) })

	return nil
}

func (f *Fleet) nodeSettings(w WorkerPlan) nodeserver.Settings {
	dataCentre, octet := f.position(w)

	var seeds []string

	for _, other := range f.plan.Workers {
		if other.Name != w.Name && len(seeds) < maxSeeds {
			seedDataCentre, seedOctet := f.position(other)
			seeds = append(seeds, address(seedDataCentre, seedOctet, controlPort))
		}
	}

	return nodeserver.Settings{
		Name: w.Name, DataCentre: w.DataCentre, Service: w.Service, Address: address(dataCentre, octet, controlPort),
		CallAddress: address(dataCentre, octet, callPort), Controllers: f.ControllerAddresses(), Seeds: seeds, DrainMs: drainMs,
	}
}

// StartNode starts the node of a worker. It fails if the node's settings are invalid or its addresses are in use.
func (f *Fleet) StartNode(ctx context.Context, w WorkerPlan) error {
	registry := metrics.NewRegistry()

	server, err := nodeserver.New(f.nodeSettings(w), nodeserver.Options{Filter: f.allowMessage, Log: logr.Discard(), Metrics: registry})
	if err != nil {
		return err
	}

	f.nodes[w.Name] = &Node{plan: w, server: server, metrics: registry, process: start(ctx, func(ctx context.Context) error {
		return runner.Run(ctx, server.Parts()...)
	})}

	return nil
}

// StartBackend starts the backend server of a worker.
func (f *Fleet) StartBackend(ctx context.Context, w WorkerPlan) {
	dataCentre, octet := f.position(w)
	b := standin.NewBackend(standin.BackendOptions{
		Worker: tiller.Worker(w.Name), Service: tiller.Service(w.Service), Address: address(dataCentre, octet, backendPort),
		NodeControlAddress: address(dataCentre, octet, controlPort), Slots: w.Slots, Connections: w.Connections, RunLog: f.runLog,
		ServiceTime: time.Duration(f.plan.ServiceTimeMs) * time.Millisecond, ColdStart: time.Duration(f.plan.ColdStartMs) * time.Millisecond,
		RestartDelay: time.Duration(f.plan.RestartMs) * time.Millisecond,
	})
	f.backends[w.Name] = b
	f.processes[w.Name] = start(ctx, b.Run)
}

// Start starts the controllers, nodes and backend servers.
func (f *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return eris.Wrap(err, "create folder")
	}

	if err := f.startControllers(ctx); err != nil {
		return err
	}

	for _, w := range f.plan.Workers {
		if err := f.StartNode(ctx, w); err != nil {
			return err
		}

		f.StartBackend(ctx, w)
	}

	return nil
}

// Stop stops the fleet and returns the errors of all its parts. Nodes stop before backend servers, so that calls in flight can finish.
func (f *Fleet) Stop() error {
	var (
		errs []error
		wait sync.WaitGroup
		mu   sync.Mutex
	)

	for _, n := range f.nodes {
		wait.Go(func() {
			err := n.process.stop()

			mu.Lock()
			defer mu.Unlock()

			errs = append(errs, err)
		})
	}

	wait.Wait()

	for _, p := range f.processes {
		errs = append(errs, p.stop())
	}

	for _, c := range f.controllers {
		errs = append(errs, c.process.stop())
	}

	return errors.Join(errs...)
}

// Targets returns the call addresses of the started nodes, in the order of the plan.
func (f *Fleet) Targets() []standin.Target {
	var out []standin.Target

	for _, w := range f.plan.Workers {
		if n := f.nodes[w.Name]; n != nil {
			out = append(out, standin.Target{DataCentre: tiller.DataCentre(w.DataCentre), Address: n.server.CallAddress()})
		}
	}

	return out
}

// Plan returns the plan of the fleet.
func (f *Fleet) Plan() Plan { return f.plan }

// RunLog returns the record of the requests that the backend servers ran.
func (f *Fleet) RunLog() *standin.RunLog { return f.runLog }

// Nodes returns the started nodes by the name of their worker.
func (f *Fleet) Nodes() map[string]*Node { return f.nodes }

// Backend returns the backend server of a worker, nil if it was never started.
func (f *Fleet) Backend(worker string) *standin.Backend { return f.backends[worker] }

// Controllers returns the controllers in the order of their addresses in ControllerAddresses.
func (f *Fleet) Controllers() []*Controller { return f.controllers }

// InForce reports whether every node outside the partitioned data centre has installed the given version or a newer one.
func (f *Fleet) InForce(v tiller.Version) bool {
	for _, n := range f.nodes {
		if !f.IsPartitioned(n.plan.DataCentre) && v.NewerThan(n.server.Version()) {
			return false
		}
	}

	return true
}

// NodeSentBytes returns the number of bytes of control messages that the nodes have sent since their last start.
func (f *Fleet) NodeSentBytes() int64 {
	total := int64(0)
	for _, n := range f.nodes {
		total += metrics.GetOrRegisterCounter("control.sent_bytes", n.metrics).Count()
	}

	return total
}

// ControllerSentBytes returns the number of bytes of control messages that the controllers have sent.
func (f *Fleet) ControllerSentBytes() int64 {
	total := int64(0)
	for _, c := range f.controllers {
		total += metrics.GetOrRegisterCounter("control.sent_bytes", c.metrics).Count()
	}

	return total
}

// Plan returns the plan of the node's worker.
func (n *Node) Plan() WorkerPlan { return n.plan }

// Server returns the server of the node.
func (n *Node) Server() *nodeserver.Server { return n.server }

// Stop drains and stops the node.
func (n *Node) Stop() error { return n.process.stop() }

// Server returns the server of the controller's latest start.
func (c *Controller) Server() *controlserver.Server { return c.server }

// Kill ends the controller abruptly, as if its process had been killed.
func (c *Controller) Kill() error {
	err := c.server.Kill()

	// The sockets are closed already, so the errors of the parts carry no information.
	_ = c.process.stop()

	return err
}
