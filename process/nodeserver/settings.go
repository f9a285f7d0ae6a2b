package nodeserver

import (
	"fmt"
	"slices"

	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
)

// Settings are a node's settings file.
type Settings struct {
	// Name is the worker's name, unique in the fleet.
	Name string `yaml:"name"`
	// DataCentre is where the VM runs.
	DataCentre string `yaml:"data_centre"`
	// Service is what the worker on this VM offers.
	Service string `yaml:"service"`
	// Address takes messages from other processes and operators over TCP and UDP.
	Address string `yaml:"address"`
	// CallAddress takes calls over HTTP.
	CallAddress string `yaml:"call_address"`
	// Controllers are the addresses of the control VMs.
	Controllers []string `yaml:"controllers"`
	// Seeds are the addresses of a few nodes to meet the others through.
	Seeds []string `yaml:"seeds"`
	// DrainMs is the longest wait for calls in flight at a stop, in milliseconds.
	DrainMs int64 `yaml:"drain_ms"`
	// Verbose logs every lost message.
	Verbose bool `yaml:"verbose"`
}

const (
	defaultDrainMs = 30_000
	maxDrainMs     = 600_000
)

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	s := Settings{DrainMs: defaultDrainMs}
	err := parser.Settings(path, &s, func() []parser.Fault { return Settings.Check(s) })

	return s, err
}

// Check returns every fault in the settings.
func (s Settings) Check() []parser.Fault {
	faults := slices.Concat(
		parser.CheckName("name", s.Name), parser.CheckName("data_centre", s.DataCentre), parser.CheckName("service", s.Service),
	)

	fault := func(key, text string) { faults = append(faults, parser.Fault{Key: key, Text: text}) }

	check := func(key, address string) {
		if err := transporter.CheckAddress(address); err != nil {
			fault(key, err.Error())
		}
	}

	check("address", s.Address)
	check("call_address", s.CallAddress)

	for i, a := range s.Controllers {
		check(fmt.Sprintf("controllers[%d]", i), a)
	}

	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), a)
	}

	if len(s.Controllers) == 0 {
		fault("controllers", "at least one controller is needed")
	}

	if s.DrainMs < 0 || s.DrainMs > maxDrainMs {
		fault("drain_ms", fmt.Sprintf("%d ms; allowed are 0 to %d", s.DrainMs, maxDrainMs))
	}

	return faults
}
