package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/nodeserver"
	"gitlab.com/sycamoretiller/sycamoretiller/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/standin"
)

// plan is the fleet file of a deployment.
type plan struct {
	HomeRegion    string           `yaml:"home_region"`
	DataCentres   []string         `yaml:"data_centres"`
	Workers       []workerPlan     `yaml:"workers"`
	ServiceTimeMs int              `yaml:"service_time_ms"`
	ColdStartMs   int              `yaml:"cold_start_ms"`
	RestartMs     int              `yaml:"restart_ms"`
	Scripts       []standin.Script `yaml:"scripts"`
	ShiftWorker   string           `yaml:"shift_worker"`
	DrainWorker   string           `yaml:"drain_worker"`
	CutDataCentre string           `yaml:"cut_data_centre"`
	CrashPath     string           `yaml:"crash_path"`
}

type workerPlan struct {
	Name        string `yaml:"name"`
	DataCentre  string `yaml:"data_centre"`
	Service     string `yaml:"service"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
}

// Ports of every process; each has an address of its own.
const (
	controlPort = 7100
	callPort    = 7101
	backendPort = 7102
	heartbeatMs = 100
	drainMs     = 10_000
	controllers = 3
)

// process is a running part of the fleet.
type process struct {
	cancel context.CancelFunc
	done   chan error
}

func start(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, done: make(chan error, 1)}

	go func() { p.done <- run(ctx) }()

	return p
}

func (p *process) stop() error {
	p.cancel()

	return <-p.done
}

type runningNode struct {
	plan    workerPlan
	server  *nodeserver.Server
	process *process
	metrics metrics.Registry
}

type runningController struct {
	settings controlserver.Settings
	server   *controlserver.Server
	process  *process
}

// fleet is a whole deployment in one process.
type fleet struct {
	plan        plan
	folder      string
	ledger      *standin.Ledger
	mu          sync.Mutex
	cut         string
	controllers []*runningController
	nodes       map[string]*runningNode
	backends    map[string]*standin.Backend
	processes   map[string]*process
	traffic     metrics.Registry
}

func newFleet(p plan, folder string) *fleet {
	return &fleet{
		plan: p, folder: folder, ledger: standin.NewLedger(), nodes: map[string]*runningNode{},
		backends: map[string]*standin.Backend{}, processes: map[string]*process{}, traffic: metrics.NewRegistry(),
	}
}

// address gives data centre d (from 1) and process i (from 1) a loopback address of its own.
func address(dataCentre, i, port int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", dataCentre, i, port)
}

func (f *fleet) dataCentreNumber(name string) int {
	return slices.Index(f.plan.DataCentres, name) + 1
}

// passes cuts one data centre off from the others.
func (f *fleet) passes(from, to tiller.Address) bool {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()

	if cut == "" {
		return true
	}

	number := f.dataCentreNumber(cut)

	return (octet(from) == number) == (octet(to) == number)
}

func octet(a tiller.Address) int {
	parts := strings.Split(string(a), ".")
	if len(parts) < 3 {
		return 0
	}

	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}

	return n
}

func (f *fleet) setCut(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cut = name
}

const controllerSlot = 200

func (f *fleet) controllerAddresses() []string {
	out := make([]string, 0, controllers)
	for i := range controllers {
		out = append(out, address(i%len(f.plan.DataCentres)+1, controllerSlot+i, controlPort))
	}

	return out
}

func (f *fleet) startControllers(ctx context.Context) error {
	addresses := f.controllerAddresses()

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

		f.controllers = append(f.controllers, &runningController{settings: s})

		if err := f.startController(ctx, i); err != nil {
			return err
		}
	}

	return nil
}

func (f *fleet) startController(ctx context.Context, i int) error {
	c := f.controllers[i]

	server, err := controlserver.New(c.settings, controlserver.Options{Filter: f.passes, Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	if err != nil {
		return err
	}

	c.server = server
	c.process = start(ctx, func(ctx context.Context) error { return runner.Run(ctx, server.Parts()...) })

	return nil
}

func (f *fleet) nodeSettings(w workerPlan) nodeserver.Settings {
	number, slot := f.position(w)

	var seeds []string

	for _, other := range f.plan.Workers {
		if other.Name != w.Name && len(seeds) < 4 {
			n, s := f.position(other)
			seeds = append(seeds, address(n, s, controlPort))
		}
	}

	return nodeserver.Settings{
		Name: w.Name, DataCentre: w.DataCentre, Service: w.Service, Address: address(number, slot, controlPort),
		CallAddress: address(number, slot, callPort), Controllers: f.controllerAddresses(), Seeds: seeds, DrainMs: drainMs,
	}
}

func (f *fleet) position(w workerPlan) (dataCentre, slot int) {
	return f.dataCentreNumber(w.DataCentre), slices.IndexFunc(f.plan.Workers, func(o workerPlan) bool { return o.Name == w.Name }) + 1
}

func (f *fleet) startNode(ctx context.Context, w workerPlan) error {
	registry := metrics.NewRegistry()

	server, err := nodeserver.New(f.nodeSettings(w), nodeserver.Options{Filter: f.passes, Log: logr.Discard(), Metrics: registry})
	if err != nil {
		return err
	}

	f.nodes[w.Name] = &runningNode{plan: w, server: server, metrics: registry, process: start(ctx, func(ctx context.Context) error {
		return runner.Run(ctx, server.Parts()...)
	})}

	return nil
}

func (f *fleet) startBackend(ctx context.Context, w workerPlan) {
	number, slot := f.position(w)
	b := standin.NewBackend(standin.BackendOptions{
		Worker: tiller.Worker(w.Name), Service: tiller.Service(w.Service), Address: address(number, slot, backendPort),
		NodeControl: address(number, slot, controlPort), Slots: w.Slots, Connections: w.Connections, Ledger: f.ledger,
		ServiceTime: time.Duration(f.plan.ServiceTimeMs) * time.Millisecond, ColdStart: time.Duration(f.plan.ColdStartMs) * time.Millisecond,
		RestartIn: time.Duration(f.plan.RestartMs) * time.Millisecond,
	})
	f.backends[w.Name] = b
	f.processes[w.Name] = start(ctx, b.Run)
}

func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return eris.Wrap(err, "create folder")
	}

	if err := f.startControllers(ctx); err != nil {
		return err
	}

	for _, w := range f.plan.Workers {
		if err := f.startNode(ctx, w); err != nil {
			return err
		}

		f.startBackend(ctx, w)
	}

	return nil
}

// stop stops nodes before backend servers, so that calls in flight can finish.
func (f *fleet) stop() error {
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

// targets returns the nodes that callers reach.
func (f *fleet) targets() []standin.Target {
	var out []standin.Target

	for _, w := range f.plan.Workers {
		if n := f.nodes[w.Name]; n != nil {
			out = append(out, standin.Target{DataCentre: tiller.DataCentre(w.DataCentre), Address: n.server.CallAddress()})
		}
	}

	return out
}
