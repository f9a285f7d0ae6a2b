package assembler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// address returns the loopback address and port of process i in a data centre. Both numbers start at 1.
func address(dataCentre, i, port int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", dataCentre, i, port)
}

func (f *Fleet) dataCentreNumber(name string) int {
	return slices.Index(f.plan.DataCentres, name) + 1
}

// allowMessage reports whether a message may pass. It drops those between the partitioned data centre and the others.
func (f *Fleet) allowMessage(from, to tiller.Address) bool {
	f.mu.Lock()
	partitioned := f.partitioned
	f.mu.Unlock()

	if partitioned == "" {
		return true
	}

	number := f.dataCentreNumber(partitioned)

	return (dataCentreOctet(from) == number) == (dataCentreOctet(to) == number)
}

// dataCentreOctet returns the number of the data centre that is part of an address, zero if there is none.
func dataCentreOctet(a tiller.Address) int {
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

// Partition separates a data centre from all others, until the next call. An empty name heals the partition.
func (f *Fleet) Partition(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.partitioned = name
}

// ControllerAddresses returns the addresses of all controllers.
func (f *Fleet) ControllerAddresses() []string {
	out := make([]string, 0, controllers)
	for i := range controllers {
		out = append(out, address(i%len(f.plan.DataCentres)+1, controllerOctet+i, controlPort))
	}

	return out
}

// position returns the number of the worker's data centre and the worker's number in it, which are the last two octets of the worker's
// addresses. Both start at 1.
func (f *Fleet) position(w WorkerPlan) (dataCentre, octet int) {
	for _, o := range f.plan.Workers {
		if o.DataCentre == w.DataCentre {
			octet++
		}

		if o.Name == w.Name {
			break
		}
	}

	return f.dataCentreNumber(w.DataCentre), octet
}

// IsPartitioned reports whether a data centre is separated from the others.
func (f *Fleet) IsPartitioned(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.partitioned != "" && f.partitioned == name
}

// BackendAddress returns the address on which the backend server of a worker listens, empty if the plan has no such worker.
func (f *Fleet) BackendAddress(worker string) string {
	for _, w := range f.plan.Workers {
		if w.Name == worker {
			dataCentre, octet := f.position(w)

			return address(dataCentre, octet, backendPort)
		}
	}

	return ""
}
