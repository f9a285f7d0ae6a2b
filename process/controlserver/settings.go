package controlserver

import (
	"fmt"
	"slices"

	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
)

// Settings is the content of a controller's settings file.
type Settings struct {
	// Name is the controller's name, unique among the controllers.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the VM runs in.
	DataCentre string `yaml:"data_centre"`
	// Address receives messages from other processes and operators over TCP and UDP.
	Address string `yaml:"address"`
	// BindHost is the IP address to listen on if it differs from the one that others send to, such as behind network address translation;
	// empty means the same.
	BindHost string `yaml:"bind_host"`
	// Peers are the addresses of the other controllers.
	Peers []string `yaml:"peers"`
	// DataFolder is the folder of the log and the snapshots.
	DataFolder string `yaml:"data_folder"`
	// InitialVoters are the addresses of the controllers that form a new cluster together. A controller among them with an empty data
	// folder starts as a voter. Remove the setting once the cluster exists.
	InitialVoters []string `yaml:"initial_voters"`
	// MetricsAddress is a second address that serves health, readiness and metrics; empty means none.
	MetricsAddress string `yaml:"metrics_address"`
	// HeartbeatMs is the leader's heartbeat period in milliseconds.
	HeartbeatMs int64 `yaml:"heartbeat_ms"`
	// Verbose logs at debug level, which includes every lost message.
	Verbose bool `yaml:"verbose"`
}

const (
	defaultHeartbeatMs = 200
	minHeartbeatMs     = 20
	maxHeartbeatMs     = 2000
	maxPeers           = 6
)

// ReadSettings reads and validates a settings file; the error names the file and every fault in it.
func ReadSettings(path string) (Settings, error) {
	s := Settings{HeartbeatMs: defaultHeartbeatMs}
	err := parser.Settings(path, &s, func() []parser.Fault { return Settings.Check(s) })

	return s, err
}

// Check returns every fault in the settings, nil if they are valid.
func (s Settings) Check() []parser.Fault {
	faults := slices.Concat(parser.CheckName("name", s.Name), parser.CheckName("data_centre", s.DataCentre))

	fault := func(key, text string) { faults = append(faults, parser.Fault{Key: key, Text: text}) }

	if err := transporter.CheckAddress(s.Address); err != nil {
		fault("address", err.Error())
	}

	if err := transporter.CheckHost(s.BindHost); err != nil {
		fault("bind_host", err.Error())
	}

	if s.MetricsAddress != "" {
		if err := transporter.CheckAddress(s.MetricsAddress); err != nil {
			fault("metrics_address", err.Error())
		}
	}

	if len(s.Peers) > maxPeers {
		fault("peers", fmt.Sprintf("%d peers; at most %d are allowed", len(s.Peers), maxPeers))
	}

	for i, a := range s.Peers {
		if err := transporter.CheckAddress(a); err != nil {
			fault(fmt.Sprintf("peers[%d]", i), err.Error())
		}
	}

	for i, a := range s.InitialVoters {
		if err := transporter.CheckAddress(a); err != nil {
			fault(fmt.Sprintf("initial_voters[%d]", i), err.Error())
		}
	}

	if len(s.InitialVoters) > replicator.MaxVoters {
		fault("initial_voters", fmt.Sprintf("%d voters; at most %d are allowed", len(s.InitialVoters), replicator.MaxVoters))
	}

	if s.DataFolder == "" {
		fault("data_folder", "a folder is needed for the log")
	}

	if s.HeartbeatMs < minHeartbeatMs || s.HeartbeatMs > maxHeartbeatMs {
		fault("heartbeat_ms", fmt.Sprintf("%d ms; allowed are %d to %d", s.HeartbeatMs, minHeartbeatMs, maxHeartbeatMs))
	}

	return faults
}
