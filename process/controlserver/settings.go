package controlserver

import (
	"fmt"
	"slices"

	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
)

// Settings are a controller's settings file.
type Settings struct {
	// Name is the controller's name, unique among the controllers.
	Name string `yaml:"name"`
	// DataCentre is where the VM runs.
	DataCentre string `yaml:"data_centre"`
	// Address takes messages from other processes and operators over TCP and UDP.
	Address string `yaml:"address"`
	// Peers are the addresses of the other controllers.
	Peers []string `yaml:"peers"`
	// DataFolder holds the log and the snapshots.
	DataFolder string `yaml:"data_folder"`
	// HeartbeatMs is the leader's heartbeat period in milliseconds.
	HeartbeatMs int64 `yaml:"heartbeat_ms"`
	// Verbose logs every lost message.
	Verbose bool `yaml:"verbose"`
}

const (
	defaultHeartbeatMs = 200
	minHeartbeatMs     = 20
	maxHeartbeatMs     = 2000
	maxPeers           = 6
)

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	s := Settings{HeartbeatMs: defaultHeartbeatMs}
	err := parser.Settings(path, &s, func() []parser.Fault { return Settings.Check(s) })

	return s, err
}

// Check returns every fault in the settings.
func (s Settings) Check() []parser.Fault {
	faults := slices.Concat(parser.CheckName("name", s.Name), parser.CheckName("data_centre", s.DataCentre))

	fault := func(key, text string) { faults = append(faults, parser.Fault{Key: key, Text: text}) }

	if err := transporter.CheckAddress(s.Address); err != nil {
		fault("address", err.Error())
	}

	if len(s.Peers) > maxPeers {
		fault("peers", fmt.Sprintf("%d peers; at most %d are allowed", len(s.Peers), maxPeers))
	}

	for i, a := range s.Peers {
		if err := transporter.CheckAddress(a); err != nil {
			fault(fmt.Sprintf("peers[%d]", i), err.Error())
		}
	}

	if s.DataFolder == "" {
		fault("data_folder", "a folder is needed for the log")
	}

	if s.HeartbeatMs < minHeartbeatMs || s.HeartbeatMs > maxHeartbeatMs {
		fault("heartbeat_ms", fmt.Sprintf("%d ms; allowed are %d to %d", s.HeartbeatMs, minHeartbeatMs, maxHeartbeatMs))
	}

	return faults
}
