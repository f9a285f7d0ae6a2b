package assembler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// address gives data centre d (from 1) and process i (from 1) a loopback address of its own.
func address(dataCentre, i, port int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", dataCentre, i, port)
}

func (f *Fleet) dataCentreNumber(name string) int {
	return slices.Index(f.plan.DataCentres, name) + 1
}

// passes cuts one data centre off from the others.
func (f *Fleet) passes(from, to tiller.Address) bool {
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

// Cut separates a data centre from all others; an empty name heals the network.
func (f *Fleet) Cut(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cut = name
}

// ControllerAddresses returns the addresses of all controllers.
func (f *Fleet) ControllerAddresses() []string {
	out := make([]string, 0, controllers)
	for i := range controllers {
		out = append(out, address(i%len(f.plan.DataCentres)+1, controllerSlot+i, controlPort))
	}

	return out
}

// position returns the number of the data centre and the worker's own number in it, both from 1.
func (f *Fleet) position(w WorkerPlan) (dataCentre, slot int) {
	for _, o := range f.plan.Workers {
		if o.DataCentre == w.DataCentre {
			slot++
		}

		if o.Name == w.Name {
			break
		}
	}

	return f.dataCentreNumber(w.DataCentre), slot
}

// IsCut reports whether a data centre is cut off.
func (f *Fleet) IsCut(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.cut != "" && f.cut == name
}

// BackendAddress returns where the backend server of a worker listens.
func (f *Fleet) BackendAddress(worker string) string {
	for _, w := range f.plan.Workers {
		if w.Name == worker {
			number, slot := f.position(w)

			return address(number, slot, backendPort)
		}
	}

	return ""
}
