package nodeserver

import (
	"fmt"
	"slices"

	"gitlab.com/sycamoretiller/sycamoretiller/document/parser"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
)

// Settings is the content of a node's settings file.
type Settings struct {
	// Name is the worker's name, unique in the fleet.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the VM runs in.
	DataCentre string `yaml:"data_centre"`
	// Service is the service that the worker on this VM provides.
	Service string `yaml:"service"`
	// Address receives messages from other processes and operators over TCP and UDP.
	Address string `yaml:"address"`
	// CallAddress receives calls over HTTP.
	CallAddress string `yaml:"call_address"`
	// CallerAddress receives calls from callers if callers and other nodes must not share an address; empty means that the call address
	// receives both.
	CallerAddress string `yaml:"caller_address"`
	// MonitorAddress serves only health, readiness and metrics; empty means that only the control address serves them.
	MonitorAddress string `yaml:"monitor_address"`
	// MetricsAddress is a second address that serves the same as the monitor address; empty means none.
	MetricsAddress string `yaml:"metrics_address"`
	// BindHost is the IP address to listen on if it differs from the one that others send to, such as behind network address translation;
	// empty means the same.
	BindHost string `yaml:"bind_host"`
	// BackendAddress is where the backend server listens; empty means that its announcements specify it.
	BackendAddress string `yaml:"backend_address"`
	// AnnounceLeaseMs is how long an announcement of the backend server stays valid unless renewed, in milliseconds.
	AnnounceLeaseMs int64 `yaml:"announce_lease_ms"`
	// ConnectionsOptional accepts announcements without a number of connections; only the document limits connections then.
	ConnectionsOptional bool `yaml:"connections_unannounced"`
	// QuarantineByCaller counts crashes for each calling service apart, instead of for all callers of a request together.
	QuarantineByCaller bool `yaml:"quarantine_by_caller"`
	// DrainLingerMs is how long a draining backend server accepts calls from nodes that do not know yet that it drains, in milliseconds.
	DrainLingerMs int64 `yaml:"drain_linger_ms"`
	// ConfirmCrashes counts a broken connection as a crash of the backend server only if its port then refuses connections.
	ConfirmCrashes bool `yaml:"confirm_crashes"`
	// LeaveNoticeMs is how long a stopping node keeps serving after it reports that it is not ready, in milliseconds.
	LeaveNoticeMs int64 `yaml:"leave_notice_ms"`
	// Controllers are the addresses of the controllers.
	Controllers []string `yaml:"controllers"`
	// Seeds are the addresses of nodes that introduce this node to the membership.
	Seeds []string `yaml:"seeds"`
	// DrainMs is the maximum wait for calls in flight when the node stops, in milliseconds.
	DrainMs int64 `yaml:"drain_ms"`
	// LinkBytesPerSecond is the rate of the VM's network link in each direction; zero means that calls are not paced.
	LinkBytesPerSecond int64 `yaml:"link_bytes_per_second"`
	// Verbose logs at debug level, which includes every lost message.
	Verbose bool `yaml:"verbose"`
}

const (
	defaultDrainMs = 30_000
	// maxDurationMs bounds each duration in the settings.
	maxDurationMs = 600_000

	defaultAnnounceLeaseMs = int64(registrar.DefaultLease)
	defaultLeaveNoticeMs   = 500
)

// ReadSettings reads and validates a settings file; the error names the file and every fault in it.
func ReadSettings(path string) (Settings, error) {
	s := Settings{DrainMs: defaultDrainMs, AnnounceLeaseMs: defaultAnnounceLeaseMs, LeaveNoticeMs: defaultLeaveNoticeMs}
	err := parser.Settings(path, &s, func() []parser.Fault { return Settings.Check(s) })

	return s, err
}

// Check returns every fault in the settings, nil if they are valid.
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

	if err := transporter.CheckHost(s.BindHost); err != nil {
		fault("bind_host", err.Error())
	}

	check("address", s.Address)
	check("call_address", s.CallAddress)

	for key, address := range map[string]string{
		"caller_address": s.CallerAddress, "monitor_address": s.MonitorAddress, "metrics_address": s.MetricsAddress,
		"backend_address": s.BackendAddress,
	} {
		if address != "" {
			check(key, address)
		}
	}

	for i, a := range s.Controllers {
		check(fmt.Sprintf("controllers[%d]", i), a)
	}

	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), a)
	}

	if s.LinkBytesPerSecond < 0 {
		fault("link_bytes_per_second", fmt.Sprintf("%d; a rate is not negative", s.LinkBytesPerSecond))
	}

	if len(s.Controllers) == 0 {
		fault("controllers", "at least one controller is needed")
	}

	for _, span := range []struct {
		key   string
		value int64
	}{
		{"drain_ms", s.DrainMs},
		{"announce_lease_ms", s.AnnounceLeaseMs},
		{"drain_linger_ms", s.DrainLingerMs},
		{"leave_notice_ms", s.LeaveNoticeMs},
	} {
		if span.value < 0 || span.value > maxDurationMs {
			fault(span.key, fmt.Sprintf("%d ms; allowed are 0 to %d", span.value, maxDurationMs))
		}
	}

	return faults
}
